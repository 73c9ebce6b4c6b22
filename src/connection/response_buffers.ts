/**
 * Buffers of responses that are collected whole before they are used. They
 * share a limit, so that many large responses together can't end the process.
 */

import { GrowableBuffer } from "./growable_buffer.ts";

/** Limits of the responses that are collected at one time. */
export interface ResponseLimits {
  /** Largest response, in bytes. */
  readonly responseMaxBytes: number;
  /** Largest sum of the responses under way, in bytes. */
  readonly totalMaxBytes: number;
}

/**
 * Limits for calls without others: a page of the store's objects or one object
 * has about 1 MB, other responses have some KB.
 */
const DEFAULT_LIMITS: ResponseLimits = {
  responseMaxBytes: 8_388_608,
  totalMaxBytes: 25_165_824,
};

/** Part of the memory that responses under way may use. */
const MEMORY_SHARE = 0.25;

/**
 * Returns limits for responses of any size: a part of the memory that the
 * process may use, in bytes.
 */
export function memoryShareLimits(memoryBytes: number): ResponseLimits {
  const bytes = Math.floor(memoryBytes * MEMORY_SHARE);
  return { responseMaxBytes: bytes, totalMaxBytes: bytes };
}

/** A response exceeded a limit. */
export class ResponseTooLarge extends Error {
  constructor(limitBytes: number) {
    super(`response exceeds ${limitBytes} bytes`);
    this.name = "ResponseTooLarge";
  }
}

/** The buffers of all responses that are being collected. */
export class ResponseBuffers {
  readonly #limits: ResponseLimits;
  readonly #open = new Set<ResponseBuffer>();
  #totalBytes = 0;

  private constructor(limits: ResponseLimits) {
    this.#limits = limits;
  }

  /** Creates buffers with common limits. */
  static create(limits = DEFAULT_LIMITS): ResponseBuffers {
    return new ResponseBuffers(limits);
  }

  /** Bytes buffered now. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * Opens the buffer of one response; `close` it when the response has ended.
   *
   * @param maxBytes a lower limit for this response, if any
   */
  open(maxBytes = Number.POSITIVE_INFINITY): ResponseBuffer {
    const limitBytes = Math.min(maxBytes, this.#limits.responseMaxBytes);
    const buffer = ResponseBuffer.create({
      limitBytes,
      onChange: (bytes) => this.#addBytes(bytes),
      onClose: (closed) => this.#open.delete(closed),
    });
    this.#open.add(buffer);
    return buffer;
  }

  #addBytes(bytes: number): void {
    this.#totalBytes += bytes;
    if (this.#totalBytes > this.#limits.totalMaxBytes) this.#evictLargest();
  }

  /** Drops the largest response, so that small ones still complete. */
  #evictLargest(): void {
    const [first, ...others] = this.#open;
    if (first === undefined) return;
    const largest = others.reduce(
      (found, buffer) => buffer.length > found.length ? buffer : found,
      first,
    );
    largest.evict(this.#limits.totalMaxBytes);
  }
}

/** Options of a `ResponseBuffer`. */
export interface ResponseBufferOptions {
  readonly limitBytes: number;
  /** Called with each change of the length, in bytes. */
  readonly onChange: (bytes: number) => void;
  readonly onClose: (buffer: ResponseBuffer) => void;
}

/** The bytes of one response. */
export class ResponseBuffer {
  readonly #options: ResponseBufferOptions;
  readonly #bytes = GrowableBuffer.create();
  #evicted: ResponseTooLarge | undefined;

  private constructor(options: ResponseBufferOptions) {
    this.#options = options;
  }

  /** Creates an empty buffer. */
  static create(options: ResponseBufferOptions): ResponseBuffer {
    return new ResponseBuffer(options);
  }

  /** Number of bytes buffered. */
  get length(): number {
    return this.#bytes.length;
  }

  /** Errors: `ResponseTooLarge` if a response of `bytes` can't be collected. */
  checkLength(bytes: number): void {
    if (this.#evicted !== undefined) throw this.#evicted;
    const { limitBytes } = this.#options;
    if (bytes > limitBytes) throw new ResponseTooLarge(limitBytes);
  }

  /** Appends a copy of `bytes`. Errors: `ResponseTooLarge`. */
  append(bytes: Buffer): void {
    this.checkLength(this.length + bytes.length);
    this.#bytes.append(bytes);
    this.#options.onChange(bytes.length);
    if (this.#evicted !== undefined) throw this.#evicted;
  }

  /** Returns the collected bytes and closes. Errors: `ResponseTooLarge`. */
  take(): Buffer {
    this.checkLength(this.length);
    const bytes = this.#bytes.take();
    this.#options.onChange(-bytes.length);
    this.close();
    return bytes;
  }

  /** Drops the bytes; later calls throw. */
  evict(totalMaxBytes: number): void {
    this.#evicted = new ResponseTooLarge(totalMaxBytes);
    this.close();
  }

  /** Drops the bytes. */
  close(): void {
    this.#options.onClose(this);
    this.#options.onChange(-this.#bytes.take().length);
  }
}
