/**
 * Meters what the callers of HTTP servers hold and cost, for the account that
 * decides which of them yield: heads and their fields, bodies, bytes that are
 * neither, and responses that their callers don't read.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type {
  CallerAccount,
  CallerHolding,
} from "../admission/caller_account.ts";
import type { ReadingTurns } from "../admission/reading_turns.ts";

/** Memory of an open request besides its fields, in bytes. */
const REQUEST_BYTES = 8_192;
/** Memory of one field of a request besides its characters, in bytes. */
const FIELD_BYTES = 320;
/** Memory of one byte of the shortest fields while they are parsed, in bytes. */
const FIELD_BYTE_WEIGHT = 12;
/** Memory of one byte of the smallest chunks until they are collected, in bytes. */
const CHUNK_BYTE_WEIGHT = 32;
/** Bytes that are neither a request nor a body and that a parser keeps. */
const UNPARSED_MAX_BYTES = 65_536;
/** Bytes that are read of a connection after it was paused. */
const PAUSED_BYTES = 65_536;
/** Bytes of a request line, and of a line of a field, besides their words. */
const REQUEST_LINE_BYTES = 14;
const FIELD_LINE_BYTES = 4;

/** Dependencies of `CallerLoad`. */
export interface CallerLoadOptions {
  readonly account: CallerAccount;
  readonly turns: ReadingTurns;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called when a caller had to yield. */
  readonly onYield: () => void;
}

/** What is known of one connection. */
interface Connection {
  readonly holding: CallerHolding;
  readonly requests: Set<HeldRequest>;
  /** Bytes since the last request that belong to no body. */
  unparsedBytes: number;
  /** Bytes of the current read that were not parsed yet. */
  unreadBytes: number;
  isPaused: boolean;
  stopReads: () => void;
}

/** The callers of all servers of one process. */
export class CallerLoad {
  readonly #options: CallerLoadOptions;
  readonly #connections = new WeakMap<Socket, Connection>();
  readonly #requests = new WeakMap<IncomingMessage, HeldRequest>();

  private constructor(options: CallerLoadOptions) {
    this.#options = options;
  }

  /** Starts without servers. */
  static create(options: CallerLoadOptions): CallerLoad {
    return new CallerLoad(options);
  }

  /** Meters the connections of a server that does not listen yet. */
  watch(server: Server): void {
    // Without a limit of their number, fields would be dropped; all of them
    // together are limited by their bytes.
    server.maxHeadersCount = 0;
    server.on("connection", (socket: Socket) => this.#open(socket));
    server.prependListener("request", (request, response) => {
      this.#addRequest(request, response);
    });
  }

  /** Stops metering a connection that another protocol takes over. */
  release(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    connection.holding.close();
    connection.stopReads();
  }

  /** Returns the account of a request of a watched server. */
  request(request: IncomingMessage): HeldRequest | undefined {
    return this.#requests.get(request);
  }

  #open(socket: Socket): void {
    const { account, onYield } = this.#options;
    const connection: Connection = {
      holding: account.open(() => {
        onYield();
        yieldConnection(socket, connection);
      }),
      requests: new Set(),
      unparsedBytes: 0,
      unreadBytes: 0,
      isPaused: false,
      stopReads: () => undefined,
    };
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      connection.holding.close();
      for (const request of connection.requests) request.onClosed?.();
    });
    connection.stopReads = this.#meterReads(socket, connection);
  }

  /** Listens before and after the HTTP parser, which parses synchronously. */
  #meterReads(socket: Socket, connection: Connection): () => void {
    const { now, turns } = this.#options;
    let startMs = 0;
    let continued: HeldRequest | undefined;
    const before = (bytes: Buffer) => {
      startMs = now();
      connection.unparsedBytes += bytes.length;
      connection.unreadBytes = bytes.length;
      continued = findIncomplete(connection);
    };
    const after = () => {
      update(connection);
      const request = continued;
      // An idle connection must not hold its last request.
      continued = undefined;
      if (request === undefined || request.isComplete) return;
      const tookMs = now() - startMs;
      request.spentMs += tookMs;
      const delayMs = turns.recordRead({ tookMs, spentMs: request.spentMs });
      if (delayMs > 0) pause(connection, { request, delayMs });
    };
    socket.prependListener("data", before);
    socket.on("data", after);
    return () => {
      socket.off("data", before);
      socket.off("data", after);
    };
  }

  #addRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined) return;
    const headBytes = countHeadBytes(request);
    connection.unreadBytes = Math.max(0, connection.unreadBytes - headBytes);
    // Spaces that were not counted must not add up over many requests.
    connection.unparsedBytes = Math.min(
      connection.unreadBytes,
      Math.max(0, connection.unparsedBytes - headBytes),
    );
    const held = HeldRequest.create({
      request,
      response,
      headBytes,
      onChange: () => update(connection),
      onBody: (bytes) => {
        connection.unparsedBytes = Math.max(
          0,
          connection.unparsedBytes - bytes,
        );
        connection.unreadBytes = Math.max(0, connection.unreadBytes - bytes);
      },
      keep: () => connection.holding.keep(),
    });
    connection.requests.add(held);
    this.#requests.set(request, held);
    // Node resumes the connection when it asks for more of a body.
    const readOn = request._read;
    request._read = (size) => {
      if (!connection.isPaused) readOn.call(request, size);
    };
    response.once("prefinish", () => {
      if (!hasKept(connection)) connection.holding.unkeep();
      update(connection);
    });
    response.once("close", () => {
      held.onYield = undefined;
      if (!hasKept(connection)) connection.holding.unkeep();
      update(connection);
    });
    update(connection);
  }
}

/** What a request reports to its connection. */
interface HeldRequestOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly headBytes: number;
  readonly onChange: () => void;
  readonly onBody: (bytes: number) => void;
  readonly keep: () => boolean;
}

/** What one request holds. */
export class HeldRequest {
  readonly #options: HeldRequestOptions;
  #bodyBytes = 0;
  #isSent = false;
  /** Processor time that reading its body took so far, in ms. */
  spentMs = 0;
  /** Refuses the request when its caller has to yield, if it can be refused. */
  onYield: (() => void) | undefined;
  /** Called when its connection closes. */
  onClosed: (() => void) | undefined;

  private constructor(options: HeldRequestOptions) {
    this.#options = options;
  }

  /** Starts with the head of a request. */
  static create(options: HeldRequestOptions): HeldRequest {
    return new HeldRequest(options);
  }

  /** Bytes that are held for it, of a response that was not sent on too. */
  get bytes(): number {
    const { request, response, headBytes } = this.#options;
    const fields = request.rawHeaders.length / 2;
    return REQUEST_BYTES + headBytes + fields * FIELD_BYTES + this.#bodyBytes +
      response.writableLength;
  }

  /** Whether the whole request has arrived. */
  get isComplete(): boolean {
    return this.#options.request.complete;
  }

  /** Whether it was answered and nothing of it is to be read. */
  get hasEnded(): boolean {
    return this.#options.response.closed && this.isComplete;
  }

  /** Whether a server works on it, so that its caller does not yield. */
  get isKept(): boolean {
    return this.#isSent && !this.#options.response.writableEnded;
  }

  /**
   * Refuses it and closes its connection, if that is possible. The connection
   * does not linger, since what it holds is needed at once.
   */
  refuse(): boolean {
    const { request, response } = this.#options;
    const { onYield } = this;
    if (onYield === undefined || response.headersSent) return false;
    response.once("finish", () => request.socket.destroy());
    onYield();
    return true;
  }

  /** Whether its body comes in chunks, after which fields may follow. */
  get isChunked(): boolean {
    return this.#options.request.headers["transfer-encoding"] !== undefined;
  }

  /** Reads nothing more from its connection until `readOn`. */
  pause(): void {
    this.#options.request.socket.pause();
  }

  /** Reads on, unless Node has paused the connection for other reasons. */
  readOn(): void {
    this.#options.request._read(0);
  }

  /** Counts bytes of its body that were collected. */
  add(bytes: number): void {
    this.#bodyBytes += bytes;
    this.#options.onBody(bytes);
    this.#options.onChange();
  }

  /** Records that its body was dropped. */
  drop(): void {
    this.#bodyBytes = 0;
    this.#options.onChange();
  }

  /**
   * Records that it is about to be sent to a server. Returns `false` if requests
   * at servers would hold too much; it must not be sent then.
   */
  markSent(): boolean {
    if (!this.#options.keep()) return false;
    this.#isSent = true;
    return true;
  }
}

function countHeadBytes(
  { method = "", url = "", rawHeaders }: IncomingMessage,
): number {
  let bytes = method.length + url.length + REQUEST_LINE_BYTES;
  for (const text of rawHeaders) bytes += text.length + FIELD_LINE_BYTES / 2;
  return bytes;
}

function unparsedWeight(incomplete: HeldRequest | undefined): number {
  if (incomplete === undefined) return FIELD_BYTE_WEIGHT;
  return incomplete.isChunked ? CHUNK_BYTE_WEIGHT : 1;
}

function findIncomplete({ requests }: Connection): HeldRequest | undefined {
  for (const request of requests) if (!request.isComplete) return request;
  return undefined;
}

function hasKept({ requests }: Connection): boolean {
  for (const { isKept } of requests) if (isKept) return true;
  return false;
}

/** Tells the account what a connection holds. */
function update(connection: Connection): void {
  const { holding, requests, unparsedBytes, isPaused } = connection;
  let bytes = isPaused ? PAUSED_BYTES : 0;
  bytes += Math.min(unparsedBytes, UNPARSED_MAX_BYTES) *
    unparsedWeight(findIncomplete(connection));
  for (const request of requests) {
    if (request.hasEnded) requests.delete(request);
    else bytes += request.bytes;
  }
  holding.setBytes(bytes);
}

function pause(
  connection: Connection,
  { request, delayMs }: {
    readonly request: HeldRequest;
    readonly delayMs: number;
  },
): void {
  if (connection.isPaused) return;
  connection.isPaused = true;
  request.pause();
  update(connection);
  setTimeout(() => {
    connection.isPaused = false;
    request.readOn();
  }, delayMs);
}

/** Refuses the only request of a connection, or closes the connection. */
function yieldConnection(socket: Socket, { requests }: Connection): void {
  const [request, ...others] = requests;
  const wasRefused = others.length === 0 && request?.refuse() === true;
  if (!wasRefused) socket.destroy();
}
