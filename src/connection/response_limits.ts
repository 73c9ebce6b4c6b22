/**
 * Limits on what a peer may send as one response: bytes without end must
 * neither fill the memory nor keep a call waiting.
 */

import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Bytes that a connection may spend on other than content. Node bounds one head
 * and the extensions of one chunk by 16 KiB each, but not informational
 * responses, empty lines and chunks without end.
 */
const FRAMING_MAX_BYTES = 131_072;
/** Further bytes for each byte of content; a chunk of one byte takes 6. */
const FRAMING_RATIO = 16;

/** Counts the bytes of one response that are not content. */
export class FramingLimit {
  #contentBytes = 0;
  /** Bytes that were returned by `takeBytes`. */
  #takenBytes = 0;
  /** Bytes of the connection that were parsed. */
  #parsedBytes = 0;
  readonly #close: () => void;

  private constructor(outgoing: ClientRequest, onExceeded: () => void) {
    let socket: Socket | undefined;
    const check = (data: Buffer) => {
      this.#parsedBytes += data.length;
      const limit = FRAMING_MAX_BYTES + FRAMING_RATIO * this.#contentBytes;
      if (this.#framingBytes <= limit) return;
      this.close();
      onExceeded();
    };
    this.#close = () => socket?.off("data", check);
    outgoing.once("socket", (opened) => {
      socket = opened;
      opened.on("data", check);
    });
    outgoing.once("close", () => this.close());
  }

  /** Watches a request's connection; calls `onExceeded` at most once. */
  static create(
    outgoing: ClientRequest,
    onExceeded: () => void,
  ): FramingLimit {
    return new FramingLimit(outgoing, onExceeded);
  }

  /** Records content that was read. */
  addContent(bytes: number): void {
    this.#contentBytes += bytes;
  }

  /** Returns the bytes other than content since the last call. */
  takeBytes(): number {
    const bytes = Math.max(0, this.#framingBytes - this.#takenBytes);
    this.#takenBytes += bytes;
    return bytes;
  }

  get #framingBytes(): number {
    return this.#parsedBytes - this.#contentBytes;
  }

  /** Stops counting. */
  close(): void {
    this.#close();
  }
}
