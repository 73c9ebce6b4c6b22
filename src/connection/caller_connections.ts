/** Keeps and closes the connections of an HTTP server's callers. */

import { setMaxListeners } from "node:events";
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import { Socket } from "node:net";
import { DiscardPace } from "./discard_pace.ts";
import {
  IdleVerdict,
  judgeIdleConnection,
  remainingIdleMs,
} from "./idle_policy.ts";
import { closeWhenSent, lingeringClose } from "./lingering_close.ts";
import { HALF_CLOSED } from "./response_writer.ts";

const HTTP_BAD_REQUEST = 400;
const HTTP_METHOD_NOT_ALLOWED = 405;
const HTTP_REQUEST_TIMEOUT = 408;
/** Time after a timeout in which requests that have arrived are read, in ms. */
const READ_DELAY_MS = 50;
/**
 * Time in which responses begin after a caller has ended its sending direction,
 * in ms. It may have left, which shows only once something is written to it.
 */
const HALF_CLOSED_WAIT_MS = 300;
/** Statuses by the error codes of Node's HTTP parser. */
const REFUSAL_STATUS: ReadonlyMap<string, number> = new Map([
  ["HPE_HEADER_OVERFLOW", 431],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
  ["ERR_HTTP_REQUEST_TIMEOUT", HTTP_REQUEST_TIMEOUT],
]);

/**
 * Requests on one connection that may wait for their responses. Callers send few
 * ahead; the connection of one that sends more is closed.
 */
const PIPELINED_MAX = 64;

/** Dependencies of `CallerConnections`. */
export interface CallerConnectionsOptions {
  readonly server: Server;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

/** What is known of one connection. */
interface ConnectionState {
  /**
   * The latest request and its response; `undefined` once it was answered, so
   * that an idle connection does not hold its fields.
   */
  request: IncomingMessage | undefined;
  response: ServerResponse | undefined;
  /** Why the bytes after the latest request are none. */
  refusal?: Error;
  /** Whether a response has announced the end of the connection. */
  isClosing: boolean;
  /** Responses to requests that are read and not answered completely. */
  readonly open: Set<ServerResponse>;
  /** Aborted some time after the caller has ended its sending direction. */
  readonly left: AbortController;
  announcedMs: number;
  idleSinceMs: number;
}

/** The connections of one server. */
export class CallerConnections {
  readonly #server: Server;
  readonly #now: () => number;
  readonly #pace: DiscardPace;
  readonly #states = new WeakMap<Socket, ConnectionState>();
  #hasHeaderLimit = false;
  #headerLimitTimer: NodeJS.Timeout | undefined;

  private constructor({ server, now }: CallerConnectionsOptions) {
    this.#server = server;
    this.#now = now;
    this.#pace = DiscardPace.create(now);
  }

  /** Takes over the idle timeouts of a server that does not listen yet. */
  static create(options: CallerConnectionsOptions): CallerConnections {
    const connections = new CallerConnections(options);
    const { server } = options;
    // Otherwise Node closes a connection whose caller has ended its sending
    // direction, also while a response is open.
    Object.assign(server, { httpAllowHalfOpen: true });
    server.prependListener(
      "request",
      (request, response) => connections.#track(request, response),
    );
    // With a listener, Node leaves it to the listener to close the connection.
    server.on("timeout", (socket) => connections.#expire(socket));
    server.on(
      "clientError",
      (error, socket) => connections.#handleError(error, socket as Socket),
    );
    // Without a listener, Node closes the connection of a CONNECT request.
    server.on(
      "connect",
      (_, socket) => refuseTunnel(socket as Socket, connections.#pace),
    );
    return connections;
  }

  /** Changes how long connections may stay idle, in ms. */
  setIdleLimit(limitMs: number): void {
    // Node writes this into `Keep-Alive` of the requests that begin from now.
    this.#server.keepAliveTimeout = limitMs;
  }

  /**
   * Changes how long a connection may take until it has sent a header section,
   * in ms. A lower limit applies once no connection is left that was opened
   * under the higher one and has sent nothing.
   */
  setHeaderLimit(limitMs: number): void {
    const server = this.#server;
    const apply = () => server.headersTimeout = limitMs;
    clearTimeout(this.#headerLimitTimer);
    const isLower = this.#hasHeaderLimit && limitMs < server.headersTimeout;
    this.#hasHeaderLimit = true;
    if (!isLower) return void apply();
    this.#headerLimitTimer = setTimeout(apply, server.headersTimeout).unref();
  }

  /** Whether no request was read on a request's connection after it. */
  isLatest(request: IncomingMessage): boolean {
    return this.#states.get(request.socket)?.request === request;
  }

  /** Whether no request will be read on a request's connection after it. */
  isLast(request: IncomingMessage): boolean {
    return request.socket.readableEnded && this.isLatest(request);
  }

  /**
   * Returns a signal that aborts some time after a request's caller has ended
   * its sending direction; the caller may then have left.
   */
  leftSignal({ socket }: IncomingMessage): AbortSignal {
    const { left } = this.#states.get(socket) ??
      { left: new AbortController() };
    return left.signal;
  }

  /** Records that the response to a request announces the connection's end. */
  markClosing({ socket }: IncomingMessage): void {
    const state = this.#states.get(socket);
    if (state !== undefined) state.isClosing = true;
  }

  /**
   * Whether a response before a request has announced the end of its connection.
   * The request can't get a response, so it must not be served.
   */
  isClosing({ socket }: IncomingMessage): boolean {
    return socket.destroyed || socket.writableEnded ||
      this.#states.get(socket)?.isClosing === true;
  }

  /** Whether a request was read completely on a connection and is open. */
  isServing(socket: Socket): boolean {
    const state = this.#states.get(socket);
    return state !== undefined && state.open.size > 0 &&
      state.request?.complete === true;
  }

  #track(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const state = this.#states.get(socket) ?? this.#open(request, response);
    if (state.open.size >= PIPELINED_MAX) socket.destroy();
    if (socket.destroyed) return;
    state.request = request;
    state.response = response;
    state.open.add(response);
    state.announcedMs = this.#server.keepAliveTimeout;
    response.once("close", () => {
      state.open.delete(response);
      state.idleSinceMs = this.#now();
      if (state.request === request && request.complete) {
        state.request = undefined;
        state.response = undefined;
      }
      const { refusal } = state;
      if (refusal !== undefined && state.open.size === 0) {
        this.#refuse(refusal, socket);
      }
    });
  }

  #open(request: IncomingMessage, response: ServerResponse): ConnectionState {
    const { socket } = request;
    const state: ConnectionState = {
      request,
      response,
      open: new Set(),
      left: new AbortController(),
      isClosing: false,
      announcedMs: 0,
      idleSinceMs: 0,
    };
    // Each pipelined request listens.
    setMaxListeners(0, state.left.signal);
    this.#states.set(socket, state);
    let leftTimer: NodeJS.Timeout | undefined;
    socket.once("end", () => {
      // If the event loop was blocked, what has arrived meanwhile is read first.
      leftTimer = setTimeout(
        () => setImmediate(() => state.left.abort(HALF_CLOSED)),
        HALF_CLOSED_WAIT_MS,
      );
    });
    socket.once("close", () => {
      clearTimeout(leftTimer);
      abortQueued(state.open);
    });
    // Node calls this after a response that closes the connection.
    socket.destroySoon = () => {
      const { request: latest } = state;
      if (latest === undefined || latest.complete) return closeWhenSent(socket);
      lingeringClose(socket, this.#pace);
      latest.once("end", () => socket.destroy());
      latest.resume();
    };
    return state;
  }

  #handleError(error: Error, socket: Socket): void {
    if (refusalStatus(error) !== HTTP_REQUEST_TIMEOUT) {
      return this.#refuse(error, socket);
    }
    // If the event loop was blocked, what has arrived meanwhile is read first.
    const request = this.#states.get(socket)?.request;
    const wasComplete = request?.complete ?? true;
    setTimeout(() =>
      setImmediate(() => {
        const latest = this.#states.get(socket)?.request;
        const hasArrived = latest !== request ||
          (!wasComplete && latest?.complete);
        if (!hasArrived) this.#refuse(error, socket);
      }), READ_DELAY_MS);
  }

  /** Answers bytes that are no request, or a request that takes too long. */
  #refuse(error: Error, socket: Socket): void {
    if (socket.writableEnded) {
      // What a lingering connection discards is reported again.
      if (socket.readableEnded) socket.destroy();
      return;
    }
    if (!socket.writable) return void socket.destroy();
    const state = this.#states.get(socket);
    if (state === undefined || state.open.size === 0) {
      socket.write(formatRefusal(error));
      return lingeringClose(socket, this.#pace);
    }
    const { request, response } = state;
    if (request === undefined || response === undefined || request.complete) {
      // These bytes came after a request, which is answered first.
      state.refusal = error;
    } else if (response.headersSent) {
      socket.destroy();
    } else {
      response.writeHead(refusalStatus(error), { connection: "close" }).end();
    }
  }

  #expire(socket: Socket): void {
    const state = this.#states.get(socket);
    if (state !== undefined && state.open.size > 0) return;
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

/** Closes the responses that were to follow another one on a connection. */
function abortQueued(responses: Iterable<ServerResponse>): void {
  for (const response of [...responses]) {
    // Node reports the close only to the response that is being written.
    if (response.socket !== null) continue;
    response.destroy();
    response.emit("close");
  }
}

/** Refuses CONNECT; Node has handed over the whole connection. */
function refuseTunnel(socket: Socket, pace: DiscardPace): void {
  socket.on("error", () => socket.destroy());
  socket.resume();
  socket.write(formatResponse(HTTP_METHOD_NOT_ALLOWED));
  lingeringClose(socket, pace);
}

/** Returns the response to bytes from which Node could read no request. */
function formatRefusal(error: Error): string {
  return formatResponse(refusalStatus(error));
}

function formatResponse(status: number): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    "Connection: close\r\nContent-Length: 0\r\n\r\n";
}

function refusalStatus(error: Error): number {
  const code = "code" in error ? String(error.code) : "";
  return REFUSAL_STATUS.get(code) ?? HTTP_BAD_REQUEST;
}
