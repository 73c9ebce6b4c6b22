/**
 * Incremental, non-cryptographic hash of a completion's text. It detects only
 * accidental changes; the cursor that carries it is authenticated.
 */

import xxhash from "xxhash-wasm";

const { create64 } = await xxhash();
const RADIX = 36;

/** Hash of all text added so far, independent of how it was split. */
export class TextHash {
  readonly #hash = create64();

  private constructor() {}

  /** Creates the hash of the empty text. */
  static create(): TextHash {
    return new TextHash();
  }

  /** Appends text. */
  update(text: string): void {
    this.#hash.update(text);
  }

  /** Returns the hash of all text added so far. */
  digest(): string {
    return this.#hash.digest().toString(RADIX);
  }
}

/** Returns the hash of one text. */
export function hashResponseText(text: string): string {
  const hash = TextHash.create();
  hash.update(text);
  return hash.digest();
}
