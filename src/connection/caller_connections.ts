/** Keeps and closes the connections of an HTTP server's callers. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  IdleVerdict,
  judgeIdleConnection,
  remainingIdleMs,
} from "./idle_policy.ts";

/** Dependencies of `CallerConnections`. */
export interface CallerConnectionsOptions {
  readonly server: Server;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

/** What is known of one connection. */
interface ConnectionState {
  /** Requests that are read and not answered completely. */
  openCount: number;
  promisedMs: number;
  idleSinceMs: number;
}

/** The connections of one server. */
export class CallerConnections {
  readonly #server: Server;
  readonly #now: () => number;
  readonly #states = new WeakMap<Socket, ConnectionState>();

  private constructor({ server, now }: CallerConnectionsOptions) {
    this.#server = server;
    this.#now = now;
  }

  /** Takes over the idle timeouts of a server that does not listen yet. */
  static create(options: CallerConnectionsOptions): CallerConnections {
    const connections = new CallerConnections(options);
    const { server } = options;
    server.prependListener(
      "request",
      (request, response) => connections.#track(request, response),
    );
    // With a listener, Node leaves it to the listener to close the connection.
    server.on("timeout", (socket) => connections.#expire(socket));
    return connections;
  }

  /** Changes how long connections may stay idle, in ms. */
  setIdleLimit(limitMs: number): void {
    // Node writes this into `Keep-Alive` of the requests that begin from now.
    this.#server.keepAliveTimeout = limitMs;
  }

  #track({ socket }: IncomingMessage, response: ServerResponse): void {
    const state = this.#states.get(socket) ??
      { openCount: 0, promisedMs: 0, idleSinceMs: 0 };
    this.#states.set(socket, state);
    state.openCount++;
    state.promisedMs = this.#server.keepAliveTimeout;
    response.once("close", () => {
      state.openCount--;
      state.idleSinceMs = this.#now();
    });
  }

  #expire(socket: Socket): void {
    const state = this.#states.get(socket);
    if (state !== undefined && state.openCount > 0) return;
    const remainingMs = state === undefined ? 0 : remainingIdleMs(state, {
      limitMs: this.#server.keepAliveTimeout,
      nowMs: this.#now(),
    });
    if (remainingMs > 0) socket.setTimeout(remainingMs);
    else this.#closeUnlessRead(socket);
  }

  /** Closes a connection unless a request on it waits to be read. */
  #closeUnlessRead(socket: Socket): void {
    // Timers run before the reads of the same iteration, immediates after them.
    // The HTTP parser reads without events, but its reads are counted.
    const { bytesRead: bytesBefore } = socket;
    const startMs = this.#now();
    setImmediate(() => {
      const verdict = judgeIdleConnection({
        bytesBefore,
        bytesAfter: socket.bytesRead,
        tookMs: this.#now() - startMs,
      });
      if (verdict === IdleVerdict.Close) socket.destroy();
      if (verdict === IdleVerdict.LookAgain) this.#closeUnlessRead(socket);
    });
  }
}
