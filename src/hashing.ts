/** Hashes for content addressing, request fingerprints and even choices. */

import { createHash } from "node:crypto";
import { crc32 } from "node:zlib";
import type { ContentHash } from "./ids.ts";

/** Returns the SHA-256 of `text` in hexadecimal. */
export function hashText(text: string): ContentHash {
  return createHash("sha256").update(text).digest("hex") as ContentHash;
}

/** Returns the SHA-256 of several parts, encoded so that they stay distinct. */
export function hashParts(parts: readonly string[]): ContentHash {
  return hashText(JSON.stringify(parts));
}

/**
 * Returns the SHA-256 of several parts and a body, encoded so that they stay
 * distinct. The body is hashed as it is, since text of it takes several times
 * its memory.
 */
export function hashPartsAndBody(
  parts: readonly string[],
  body: Buffer,
): ContentHash {
  return createHash("sha256").update(JSON.stringify(parts)).update(body)
    .digest("hex") as ContentHash;
}

/**
 * Returns a 32-bit hash of a key for rendezvous hashing: the item of lowest hash
 * is chosen, each equally often over many keys.
 *
 * CRC-32 alone doesn't do: it is linear, so for all keys the hashes of two items
 * differ in the same bits, and an item that differs from all others in a high
 * bit is the lowest for half of the keys. The finalizer of MurmurHash3
 * (public domain) destroys that.
 */
export function rendezvousHash(item: string, key: string): number {
  let hash = crc32(item + key);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
