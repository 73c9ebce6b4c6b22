/**
 * Collects a body from its pieces. Large pieces are kept as they are, so that
 * nothing is copied before the end; small ones are copied together, since each
 * piece costs far more memory than its bytes.
 */

import { GrowableBuffer } from "./growable_buffer.ts";

/** Least size of a piece that is kept as it is, in bytes. */
const KEPT_MIN_BYTES = 4_096;
/** Size from which small pieces that were copied together are kept. */
const GATHERED_MAX_BYTES = 65_536;

/** The pieces of one body. */
export class BodyPieces {
  #pieces: Buffer[] = [];
  #length = 0;
  readonly #gathered = GrowableBuffer.create();

  private constructor() {}

  /** Starts without pieces. */
  static create(): BodyPieces {
    return new BodyPieces();
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** Appends a piece, which must not change afterwards. */
  append(piece: Buffer): void {
    this.#length += piece.length;
    const isKept = piece.length >= KEPT_MIN_BYTES;
    if (!isKept) this.#gathered.append(piece);
    if (isKept || this.#gathered.length >= GATHERED_MAX_BYTES) this.#flush();
    if (isKept) this.#pieces.push(piece);
  }

  /** Returns the whole body and starts again. */
  take(): Buffer {
    this.#flush();
    const [first, ...others] = this.#pieces;
    const body = others.length === 0
      ? first ?? Buffer.alloc(0)
      : Buffer.concat(this.#pieces, this.#length);
    this.#pieces = [];
    this.#length = 0;
    return body;
  }

  #flush(): void {
    if (this.#gathered.length > 0) this.#pieces.push(this.#gathered.take());
  }
}
