/** A WebSocket link to a peer entry, for either side of the connection. */

import { match } from "ts-pattern";
import { WebSocket } from "ws";
import { PEER_CHUNK_TIMEOUT_MS } from "../constants.ts";
import type { ContentHash } from "../ids.ts";
import { parsePeerMessage } from "./parse_peer_message.ts";
import {
  type ChangesRequest,
  type ChunkRequest,
  type GossipDigest,
  packMessage,
  PEER_KEY_HEADER,
  PEER_MESSAGE_MAX_BYTES,
  PEER_PATH,
  type PeerMessage,
  PeerMessageKind,
  type PeerResponse,
  type RetryLoanRequest,
  type ServerChanges,
} from "./peer_protocol.ts";

/** Handlers of a link's messages and state changes. */
export interface PeerLinkHandlers {
  readonly onDigest: (digest: GossipDigest, link: PeerLink) => void;
  /** Returns a chunk, or `undefined` if this entry does not hold it. */
  readonly readChunk: (hash: ContentHash) => string | undefined;
  /** Returns changes to this entry's list of servers; without it, none. */
  readonly readChanges?: (after: number) => ServerChanges;
  /** Lends part of the retry budget; without it, nothing. */
  readonly lendRetries?: (service: string, wanted: number) => number;
  /** `wasOpen` is whether the link was ever open. */
  readonly onClose: (link: PeerLink, wasOpen: boolean) => void;
  readonly onOpen: () => void;
}

/** After how many calls of `keepAlive` without data a link is acted on. */
export interface KeepAliveLimits {
  /** Calls after which the peer is pinged. */
  readonly pingCalls: number;
  /** Calls after which the link is closed. */
  readonly closeCalls: number;
}

type ResponseHandler = (response: PeerResponse | undefined) => void;

/** An open or opening link. */
export class PeerLink {
  readonly #socket: WebSocket;
  readonly #handlers: PeerLinkHandlers;
  readonly #pendingRequests = new Map<number, ResponseHandler>();
  #lastCorrelation = 0;
  #wasOpen: boolean;
  /** Calls of `keepAlive` since data arrived. */
  #silentCalls = 0;

  private constructor(socket: WebSocket, handlers: PeerLinkHandlers) {
    this.#socket = socket;
    this.#handlers = handlers;
    this.#wasOpen = this.isOpen;
    socket.once("open", () => {
      this.#wasOpen = true;
      handlers.onOpen();
    });
    const markAlive = () => {
      this.#silentCalls = 0;
    };
    for (const event of ["message", "ping", "pong"]) {
      socket.on(event, markAlive);
    }
    socket.on("message", (data) => this.#handleMessage(data as Buffer));
    socket.on("error", () => socket.terminate());
    socket.on("close", () => this.#handleClose());
  }

  /** Wraps the socket of an accepted connection. */
  static create(socket: WebSocket, handlers: PeerLinkHandlers): PeerLink {
    return new PeerLink(socket, handlers);
  }

  /** Connects to a peer at `address`. */
  static dial(
    address: string,
    options: { readonly key: string; readonly handlers: PeerLinkHandlers },
  ): PeerLink {
    const socket = new WebSocket(`ws://${address}${PEER_PATH}`, {
      headers: { [PEER_KEY_HEADER]: options.key },
      handshakeTimeout: PEER_CHUNK_TIMEOUT_MS,
      maxPayload: PEER_MESSAGE_MAX_BYTES,
      perMessageDeflate: false,
    });
    return new PeerLink(socket, options.handlers);
  }

  /** Whether messages can be sent now. */
  get isOpen(): boolean {
    return this.#socket.readyState === WebSocket.OPEN;
  }

  /**
   * Pings the peer if nothing arrives, and closes the link if that goes on: a
   * connection may become silent without an error. To be called at a regular
   * interval; calls are counted, so that a process that was suspended reads
   * what has arrived before it judges its links.
   *
   * @returns whether the link was closed
   */
  keepAlive({ pingCalls, closeCalls }: KeepAliveLimits): boolean {
    if (!this.isOpen) return false;
    this.#silentCalls++;
    if (this.#silentCalls % pingCalls === 0) this.#socket.ping();
    const isSilent = this.#silentCalls >= closeCalls;
    if (isSilent) this.close();
    return isSilent;
  }

  /** Closes the link at once. */
  close(): void {
    this.#socket.terminate();
  }

  /** Sends a message; drops it when the link is not open. */
  send(message: PeerMessage): void {
    this.sendPacked(packMessage(message));
  }

  /** Sends bytes of `packMessage`, so that links can share the packing. */
  sendPacked(bytes: Buffer): void {
    if (this.isOpen) this.#socket.send(bytes);
  }

  /** Requests a chunk; `undefined` when none arrives in time. */
  async requestChunk(hash: ContentHash): Promise<string | undefined> {
    const kind = PeerMessageKind.ChunkRequest;
    const response = await this.#request((correlation) => ({
      kind,
      correlation,
      hash,
    }));
    const isChunk = response?.kind === PeerMessageKind.ChunkResponse;
    return isChunk ? response.text ?? undefined : undefined;
  }

  /** Requests changes; `undefined` when none arrive in time. */
  async requestChanges(after: number): Promise<ServerChanges | undefined> {
    const kind = PeerMessageKind.ChangesRequest;
    const response = await this.#request((correlation) => ({
      kind,
      correlation,
      after,
    }));
    const isChanges = response?.kind === PeerMessageKind.ChangesResponse;
    return isChanges ? response : undefined;
  }

  /** Requests part of the peer's retry budget; 0 when none is lent in time. */
  async requestRetryLoan(service: string, wanted: number): Promise<number> {
    const kind = PeerMessageKind.RetryLoanRequest;
    const response = await this.#request((correlation) => ({
      kind,
      correlation,
      service,
      wanted,
    }));
    const isLoan = response?.kind === PeerMessageKind.RetryLoanResponse;
    return isLoan ? Math.min(response.count, wanted) : 0;
  }

  #request(
    createRequest: (correlation: number) => PeerMessage,
  ): Promise<PeerResponse | undefined> {
    const correlation = ++this.#lastCorrelation;
    return new Promise((resolve) => {
      const timer = setTimeout(() => settle(undefined), PEER_CHUNK_TIMEOUT_MS);
      const settle: ResponseHandler = (response) => {
        clearTimeout(timer);
        this.#pendingRequests.delete(correlation);
        resolve(response);
      };
      this.#pendingRequests.set(correlation, settle);
      this.send(createRequest(correlation));
    });
  }

  #handleMessage(data: Buffer): void {
    const message = parsePeerMessage(data);
    if (message === undefined) return this.close();
    match(message)
      .with({ kind: PeerMessageKind.Digest }, (digest) => {
        this.#handlers.onDigest(digest, this);
      })
      .with({ kind: PeerMessageKind.ChunkRequest }, (request) => {
        this.#sendChunk(request);
      })
      .with({ kind: PeerMessageKind.ChangesRequest }, (request) => {
        this.#sendChanges(request);
      })
      .with({ kind: PeerMessageKind.RetryLoanRequest }, (request) => {
        this.#lendRetries(request);
      })
      .with(
        { kind: PeerMessageKind.ChunkResponse },
        { kind: PeerMessageKind.ChangesResponse },
        { kind: PeerMessageKind.RetryLoanResponse },
        (response) =>
          this.#pendingRequests.get(response.correlation)?.(response),
      )
      .exhaustive();
  }

  #sendChunk({ correlation, hash }: ChunkRequest): void {
    const text = this.#handlers.readChunk(hash) ?? null;
    this.send({ kind: PeerMessageKind.ChunkResponse, correlation, text });
  }

  #sendChanges({ correlation, after }: ChangesRequest): void {
    const changes = this.#handlers.readChanges?.(after) ??
      { upTo: after, news: [] };
    this.send({
      kind: PeerMessageKind.ChangesResponse,
      correlation,
      ...changes,
    });
  }

  #lendRetries({ correlation, service, wanted }: RetryLoanRequest): void {
    const count = this.#handlers.lendRetries?.(service, wanted) ?? 0;
    this.send({ kind: PeerMessageKind.RetryLoanResponse, correlation, count });
  }

  #handleClose(): void {
    for (const settle of [...this.#pendingRequests.values()]) settle(undefined);
    this.#handlers.onClose(this, this.#wasOpen);
  }
}
