/** SHA-256 helpers shared by content addressing and fingerprints. */

import { createHash } from "node:crypto";
import type { ContentHash } from "./ids.ts";

/** Returns the SHA-256 of `text` in hexadecimal. */
export function hashText(text: string): ContentHash {
  return createHash("sha256").update(text).digest("hex") as ContentHash;
}

/** Returns one SHA-256 over several parts, none of which can run into the next. */
export function hashParts(parts: readonly string[]): ContentHash {
  return hashText(JSON.stringify(parts));
}
