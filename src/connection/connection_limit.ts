/**
 * Limits the connections of a server, so that callers who open many and send
 * little don't take all descriptors of the process. A further connection takes
 * the place of the oldest one that has never sent a complete request, or else of
 * the oldest one on which no request is served.
 */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";

/** Options of `limitConnections`. */
export interface ConnectionLimitOptions {
  readonly max: number;
  /** Whether a connection must stay: a request on it is served. */
  readonly isServing: (socket: Socket) => boolean;
  /** Called when a connection was closed to make room. */
  readonly onClosed?: () => void;
}

/** Keeps a server within a number of connections. */
export function limitConnections(
  server: Server,
  { max, isServing, onClosed }: ConnectionLimitOptions,
): void {
  /** The oldest first. */
  const sockets = new Set<Socket>();
  const proven = new WeakSet<Socket>();
  server.on("request", (request: IncomingMessage) => {
    const { socket } = request;
    if (!proven.has(socket)) request.once("end", () => proven.add(socket));
  });
  server.on("connection", (socket: Socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
    if (sockets.size <= max) return;
    const isUnproven = (other: Socket) =>
      other !== socket && !proven.has(other) && !isServing(other);
    const victim = find(sockets, isUnproven) ??
      find(sockets, (other) => !isServing(other)) ?? socket;
    sockets.delete(victim);
    victim.destroy();
    onClosed?.();
  });
}

function find(
  sockets: Iterable<Socket>,
  isWanted: (socket: Socket) => boolean,
): Socket | undefined {
  for (const socket of sockets) if (isWanted(socket)) return socket;
  return undefined;
}
