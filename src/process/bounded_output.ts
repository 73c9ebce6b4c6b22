/** Non-blocking output: lines that do not fit its buffer are dropped. */

import { write, writeSync } from "node:fs";
import process from "node:process";
import { Writable } from "node:stream";

/**
 * Buffer size while the reader of the output is slow, in bytes; each UTF-16 code
 * unit counts as one.
 */
const BUFFER_MAX_BYTES = 1_000_000;
/** Delay before a flush, so that one call writes many lines, in ms. */
const FLUSH_DELAY_MS = 50;

/** Buffers lines and writes them to a file descriptor. */
export class BoundedOutput extends Writable {
  readonly #descriptor: number;
  #buffer: string[] = [];
  #bufferedBytes = 0;
  #droppedCount = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  private constructor(descriptor: number) {
    super({ decodeStrings: false });
    this.#descriptor = descriptor;
    process.once("exit", () => this.#flushSync());
  }

  /** Creates an output to a file descriptor. */
  static create(descriptor: number): BoundedOutput {
    return new BoundedOutput(descriptor);
  }

  /** Returns the number of lines dropped since the last call. */
  takeDroppedCount(): number {
    const droppedCount = this.#droppedCount;
    this.#droppedCount = 0;
    return droppedCount;
  }

  override _write(line: string, _: unknown, done: () => void): void {
    if (this.#bufferedBytes + line.length > BUFFER_MAX_BYTES) {
      this.#droppedCount++;
    } else {
      this.#buffer.push(line);
      this.#bufferedBytes += line.length;
      this.#timer ??= setTimeout(() => this.#flush(), FLUSH_DELAY_MS).unref();
    }
    done();
  }

  #flush(): void {
    this.#timer = undefined;
    if (this.#isWriting || this.#buffer.length === 0) return;
    const bytes = Buffer.from(this.#takeBuffer());
    this.#isWriting = true;
    this.#writeAll(bytes);
  }

  /** Writes on a libuv thread, so that a full pipe does not block the process. */
  #writeAll(bytes: Buffer): void {
    write(this.#descriptor, bytes, (error, written) => {
      const rest = bytes.subarray(written ?? 0);
      // After an error the rest is dropped: the reader has closed its end, and
      // there is nowhere else to report that.
      if (error === null && rest.length > 0) return this.#writeAll(rest);
      this.#isWriting = false;
      this.#flush();
    });
  }

  #takeBuffer(): string {
    const text = this.#buffer.join("");
    this.#buffer = [];
    this.#bufferedBytes = 0;
    return text;
  }

  #flushSync(): void {
    try {
      writeSync(this.#descriptor, this.#takeBuffer());
    } catch {
      // The reader has closed its end; the process exits anyway.
    }
  }
}
