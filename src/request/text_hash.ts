/**
 * Running hash of an answer's text. It guards against honest mistakes only; the
 * cursor that carries it is authenticated.
 */

import xxhash from "xxhash-wasm";

const { create64 } = await xxhash();
const BASE = 36;

/** Hash of all text given so far, however it was cut into parts. */
export class TextHash {
  readonly #hash = create64();

  private constructor() {}

  /** Starts with the empty text. */
  static create(): TextHash {
    return new TextHash();
  }

  /** Adds text. */
  update(text: string): void {
    this.#hash.update(text);
  }

  /** Returns the hash of all text so far. */
  digest(): string {
    return this.#hash.digest().toString(BASE);
  }
}

/** Returns the hash of one text. */
export function hashResponseText(text: string): string {
  const hash = TextHash.create();
  hash.update(text);
  return hash.digest();
}
