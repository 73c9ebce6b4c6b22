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
  readonly #close: () => void;

  private constructor(outgoing: ClientRequest, onExceeded: () => void) {
    let socket: Socket | undefined;
    let startBytes = 0;
    const check = () => {
      const framing = (socket?.bytesRead ?? 0) - startBytes -
        this.#contentBytes;
      const limit = FRAMING_MAX_BYTES + FRAMING_RATIO * this.#contentBytes;
      if (framing <= limit) return;
      this.close();
      onExceeded();
    };
    this.#close = () => socket?.off("data", check);
    outgoing.once("socket", (opened) => {
      socket = opened;
      startBytes = opened.bytesRead;
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

  /** Stops counting. */
  close(): void {
    this.#close();
  }
}
