/** An output that never blocks its writers: lines beyond a bound are dropped. */

import { write, writeSync } from "node:fs";
import process from "node:process";
import { Writable } from "node:stream";

/** Lines kept while the reader of the output is slow, in bytes. */
const HELD_MAX_BYTES = 1_000_000;
/** Lines are gathered for so long, so that few calls write many of them, in ms. */
const GATHER_MS = 50;

/** Lines on their way to a file descriptor. */
export class BoundedOutput extends Writable {
  readonly #descriptor: number;
  #held: string[] = [];
  #heldBytes = 0;
  #dropped = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  private constructor(descriptor: number) {
    super({ decodeStrings: false });
    this.#descriptor = descriptor;
    process.once("exit", () => this.#writeRest());
  }

  /** Makes an output to a file descriptor. */
  static create(descriptor: number): BoundedOutput {
    return new BoundedOutput(descriptor);
  }

  /** Count of lines that were dropped since the last call. */
  takeDroppedCount(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }

  override _write(line: string, _: unknown, done: () => void): void {
    if (this.#heldBytes + line.length > HELD_MAX_BYTES) {
      this.#dropped++;
    } else {
      this.#held.push(line);
      this.#heldBytes += line.length;
      this.#timer ??= setTimeout(() => this.#flush(), GATHER_MS).unref();
    }
    done();
  }

  #flush(): void {
    this.#timer = undefined;
    if (this.#isWriting || this.#held.length === 0) return;
    const bytes = Buffer.from(this.#take());
    this.#isWriting = true;
    this.#writeAll(bytes);
  }

  /** Writes on a thread of the pool, so that a full pipe holds up only that. */
  #writeAll(bytes: Buffer): void {
    write(this.#descriptor, bytes, (error, written) => {
      const rest = bytes.subarray(written ?? 0);
      // Nobody reads any more, and there is nowhere else to say so.
      if (error === null && rest.length > 0) return this.#writeAll(rest);
      this.#isWriting = false;
      this.#flush();
    });
  }

  #take(): string {
    const text = this.#held.join("");
    this.#held = [];
    this.#heldBytes = 0;
    return text;
  }

  #writeRest(): void {
    try {
      writeSync(this.#descriptor, this.#take());
    } catch {
      // The reader has gone; the process ends anyway.
    }
  }
}
