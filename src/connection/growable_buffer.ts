/**
 * Bytes collected piece by piece. Pieces are copied: keeping each piece costs
 * far more memory than its bytes when a peer sends one byte at a time.
 */

const CAPACITY_MIN_BYTES = 1_024;

/** A buffer whose capacity at most doubles what it holds. */
export class GrowableBuffer {
  #bytes: Buffer = Buffer.alloc(0);
  #length = 0;

  private constructor() {}

  /** Creates an empty buffer. */
  static create(): GrowableBuffer {
    return new GrowableBuffer();
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** Appends a copy of `bytes`. */
  append(bytes: Buffer): void {
    const length = this.#length + bytes.length;
    if (length > this.#bytes.length) this.#grow(length);
    bytes.copy(this.#bytes, this.#length);
    this.#length = length;
  }

  /** Returns the bytes and empties the buffer. */
  take(): Buffer {
    const taken = this.#bytes.subarray(0, this.#length);
    this.#bytes = Buffer.alloc(0);
    this.#length = 0;
    return taken;
  }

  #grow(length: number): void {
    const capacity = Math.max(
      CAPACITY_MIN_BYTES,
      length,
      2 * this.#bytes.length,
    );
    const bytes = Buffer.allocUnsafeSlow(capacity);
    this.#bytes.copy(bytes, 0, 0, this.#length);
    this.#bytes = bytes;
  }
}
