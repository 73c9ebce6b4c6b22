/** SHA-256 helpers for content addressing and request fingerprints. */

import { createHash } from "node:crypto";
import type { ContentHash } from "./ids.ts";

/** Returns the SHA-256 of `text` in hexadecimal. */
export function hashText(text: string): ContentHash {
  return createHash("sha256").update(text).digest("hex") as ContentHash;
}

/** Returns the SHA-256 of several parts, encoded so that they stay distinct. */
export function hashParts(parts: readonly string[]): ContentHash {
  return hashText(JSON.stringify(parts));
}
