/**
 * Limits of a server that answers probes or links of peers: its requests are
 * short and have no bodies, so what else is sent there is not read.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerLoad } from "./caller_load.ts";
import { limitConnections } from "./connection_limit.ts";

/** Options with which Node creates such a server. */
export const DOOR_OPTIONS = { maxHeaderSize: 8_192 };

/** Time that a request may take to arrive, in ms. */
const REQUEST_TIMEOUT_MS = 5_000;
/** Time in which a caller reads a response after which it is closed, in ms. */
const CLOSE_DELAY_MS = 500;

/** Limits of one server. */
export interface Door {
  readonly connectionsMax: number;
  /** Counts what its connections hold; nothing does if absent. */
  readonly load?: CallerLoad | undefined;
  /** Whether a connection must stay; none if absent. */
  readonly isServing?: (socket: Socket) => boolean;
  /** Called when a connection was closed to make room. */
  readonly onClosed?: (() => void) | undefined;
}

/** Limits a server that was created with `DOOR_OPTIONS`. */
export function guardDoor(
  server: Server,
  { connectionsMax, load, isServing = () => false, onClosed }: Door,
): void {
  server.headersTimeout = REQUEST_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  load?.watch(server);
  limitConnections(server, { max: connectionsMax, isServing, onClosed });
  server.prependListener("request", closeUnlessRead);
}

/** Has the connection of a request with a body closed after the response. */
function closeUnlessRead(
  { headers, socket }: IncomingMessage,
  response: ServerResponse,
): void {
  const hasBody = headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
  if (!hasBody) return;
  response.setHeader("connection", "close");
  // Closed at once, it would be reset, and the response might not arrive.
  socket.destroySoon = () => {
    socket.end();
    // Node resumes the connection to drop the body.
    socket.on("resume", () => socket.pause());
    socket.pause();
    const timer = setTimeout(() => socket.destroy(), CLOSE_DELAY_MS);
    socket.once("close", () => clearTimeout(timer));
  };
}
