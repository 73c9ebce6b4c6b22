/**
 * Limits how fast connections discard bytes that nobody wants. Read at full speed,
 * these take memory faster than V8 collects their buffers, and the process keeps
 * most of it.
 */

import type { Socket } from "node:net";

/** Bytes that all connections together discard in 1 ms. */
const BYTES_PER_MS = 32_768;

/** The pace of all connections of one server. */
export class DiscardPace {
  readonly #now: () => number;
  #nextReadMs = Number.NEGATIVE_INFINITY;

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Creates a pace by a monotonic clock in ms. */
  static create(now: () => number): DiscardPace {
    return new DiscardPace(now);
  }

  /** Reads a connection in turns with all others at this pace until it closes. */
  limit(socket: Socket): void {
    let timer: NodeJS.Timeout | undefined;
    socket.on("data", (bytes: Buffer) => {
      const nowMs = this.#now();
      this.#nextReadMs = Math.max(nowMs, this.#nextReadMs) +
        bytes.length / BYTES_PER_MS;
      socket.pause();
      clearTimeout(timer);
      timer = setTimeout(() => {
        timer = undefined;
        socket.resume();
      }, this.#nextReadMs - nowMs);
    });
    // Node resumes the connection when it asks for more of a body.
    socket.on("resume", () => {
      if (timer !== undefined) socket.pause();
    });
    socket.once("close", () => clearTimeout(timer));
  }
}
