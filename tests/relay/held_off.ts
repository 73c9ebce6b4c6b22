/** Servers and constants for tests of pauses that servers ask for. */

import { RequestKind } from "../../src/request/proxy_request.ts";
import { createServer, PLAIN_SERVICE } from "./scripted.ts";

export const ENGINES = ["a1", "b1"].map((name) => createServer(name));
export const PLAIN_SERVERS = ["a1", "b1"].map((name) =>
  createServer(name, { service: PLAIN_SERVICE })
);
/** Length of a pause that no request of a test outlasts, in ms. */
export const LONG_MS = 30_000;
export const KINDS = Object.values(RequestKind);

/** Returns the servers for requests of a kind. */
export function serversFor(kind: RequestKind) {
  return kind === RequestKind.Stream ? ENGINES : PLAIN_SERVERS;
}
