/**
 * Closes a connection whose caller is still sending. Closing it at once would
 * reset it, and the caller might never read the response.
 */

import { Socket } from "node:net";
import type { DiscardPace } from "./discard_pace.ts";

/** Longest time to discard what a caller still sends, in ms. */
const LINGER_MAX_MS = 2_000;
/** Most bytes to discard. */
const LINGER_MAX_BYTES = 16 * 1_024 * 1_024;
const CHECK_INTERVAL_MS = 50;

/**
 * Ends the sending direction and keeps reading until the caller closes too, or
 * a limit is reached. The owner of the connection must continue reading.
 *
 * @param pace shared with all connections of the server that linger
 */
export function lingeringClose(socket: Socket, pace: DiscardPace): void {
  if (socket.destroyed) return;
  if (socket.readableEnded) return closeWhenSent(socket);
  socket.end();
  pace.limit(socket);
  const limitBytes = socket.bytesRead + LINGER_MAX_BYTES;
  let checksLeft = LINGER_MAX_MS / CHECK_INTERVAL_MS;
  const timer = setInterval(() => {
    if (--checksLeft <= 0 || socket.bytesRead > limitBytes) socket.destroy();
  }, CHECK_INTERVAL_MS);
  socket.once("close", () => clearInterval(timer));
}

/** Closes a connection of which everything was read, after what is queued. */
export function closeWhenSent(socket: Socket): void {
  Socket.prototype.destroySoon.call(socket);
}
