/**
 * Collects a body from its pieces. A large one is kept in memory of its own,
 * which is given back to the system as soon as the body is dropped: buffers that
 * wait for a garbage collection can take several times what is held.
 */

import { GrowableBuffer } from "./growable_buffer.ts";

/** Size up to which a body is kept in an ordinary buffer, in bytes. */
const SMALL_MAX_BYTES = 65_536;
/** Steps in which the memory of a large body grows, in bytes. */
const STEP_BYTES = 65_536;

/** The bytes of one body. */
export class BodyBuffer {
  readonly #maxBytes: number;
  readonly #small = GrowableBuffer.create();
  #large: ArrayBuffer | undefined;
  #largeLength = 0;

  private constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Starts empty; at most `maxBytes` may be appended. */
  static create(maxBytes: number): BodyBuffer {
    return new BodyBuffer(maxBytes);
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.#small.length + this.#largeLength;
  }

  /** Appends a copy of a piece. */
  append(piece: Buffer): void {
    const length = this.length + piece.length;
    if (this.#large === undefined && length <= SMALL_MAX_BYTES) {
      return this.#small.append(piece);
    }
    const large = this.#grow(length);
    if (this.#small.length > 0) this.#copy(this.#small.take(), large);
    this.#copy(piece, large);
  }

  /** Returns the whole body and starts again; see `freeBody`. */
  take(): Buffer {
    const large = this.#large;
    if (large === undefined) return this.#small.take();
    const body = Buffer.from(large, 0, this.#largeLength);
    this.#large = undefined;
    this.#largeLength = 0;
    return body;
  }

  /** Drops the bytes. */
  drop(): void {
    freeBody(this.take());
  }

  #grow(length: number): ArrayBuffer {
    const steps = Math.ceil(length / STEP_BYTES);
    const capacity = Math.min(this.#maxBytes, steps * STEP_BYTES);
    this.#large ??= new ArrayBuffer(0, { maxByteLength: this.#maxBytes });
    if (this.#large.byteLength < capacity) this.#large.resize(capacity);
    return this.#large;
  }

  #copy(piece: Buffer, large: ArrayBuffer): void {
    piece.copy(new Uint8Array(large), this.#largeLength);
    this.#largeLength += piece.length;
  }
}

/** Frees the memory of a body that nothing will read, nor write to a server. */
export function freeBody({ buffer }: Buffer): void {
  if (buffer instanceof ArrayBuffer && buffer.resizable) buffer.resize(0);
}
