/**
 * Reads the body of a response into one buffer. Node keeps each chunk of a
 * paused response as an object of its own, so that chunks of one byte take more
 * than a hundred times their size while nobody reads them.
 */

import type { IncomingMessage } from "node:http";
import { GrowableBuffer } from "./growable_buffer.ts";

/** Unread bytes from which on nothing more is read from the connection. */
const UNREAD_MAX_BYTES = 16_384;

/** The unread bytes of one body. */
export class BodyReader {
  readonly #incoming: IncomingMessage;
  readonly #unread = GrowableBuffer.create();
  #isEnded = false;
  #error: Error | undefined;
  #wake: () => void = () => undefined;

  private constructor(
    incoming: IncomingMessage,
    onContent: (bytes: number) => void,
  ) {
    this.#incoming = incoming;
    // It would resume the connection.
    incoming._read = () => undefined;
    incoming.on("data", (chunk: Buffer) => {
      onContent(chunk.length);
      this.#append(chunk);
    });
    incoming.on("error", (error) => this.#end(error));
    incoming.once("end", () => this.#end());
    incoming.once("close", () => this.#end());
    if (incoming.readableEnded || incoming.destroyed) this.#isEnded = true;
    incoming.socket.resume();
  }

  /** Starts to read a body; `onContent` is called as its bytes arrive. */
  static create(
    incoming: IncomingMessage,
    onContent: (bytes: number) => void,
  ): BodyReader {
    return new BodyReader(incoming, onContent);
  }

  /**
   * Resolves with all unread bytes; with `undefined` at the end of the body or
   * its connection. Errors: rejects if the connection failed.
   */
  async take(): Promise<Buffer | undefined> {
    if (this.#unread.length === 0 && !this.#isEnded) {
      this.#incoming.socket.resume();
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
    if (this.#unread.length > 0) return this.#unread.take();
    if (this.#error !== undefined) throw this.#error;
    return undefined;
  }

  #append(chunk: Buffer): void {
    this.#unread.append(chunk);
    if (this.#unread.length >= UNREAD_MAX_BYTES) this.#incoming.socket.pause();
    this.#wake();
  }

  #end(error?: Error): void {
    this.#isEnded = true;
    this.#error ??= error;
    this.#wake();
  }
}
