/** One WebSocket to a peer entry, the same on the dialling and accepting side. */

import { match } from "ts-pattern";
import { WebSocket } from "ws";
import { PEER_CHUNK_TIMEOUT_MS } from "../constants.ts";
import type { ContentHash } from "../ids.ts";
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
  type ServerChanges,
  unpackMessage,
} from "./peer_protocol.ts";

/** What a link does with what it receives. */
export interface PeerLinkHandlers {
  readonly onDigest: (digest: GossipDigest, link: PeerLink) => void;
  /** Returns a chunk that this entry holds. */
  readonly readChunk: (hash: ContentHash) => string | undefined;
  /** Returns changes of this entry's list of servers; none if absent. */
  readonly readChanges?: (after: number) => ServerChanges;
  /** `wasOpen` says whether the link had been open before. */
  readonly onClose: (link: PeerLink, wasOpen: boolean) => void;
  readonly onOpen: () => void;
}

type AnswerWaiter = (answer: PeerResponse | undefined) => void;

/** An open or opening link. */
export class PeerLink {
  readonly #socket: WebSocket;
  readonly #handlers: PeerLinkHandlers;
  readonly #waiting = new Map<number, AnswerWaiter>();
  #correlation = 0;
  #wasOpen: boolean;

  private constructor(socket: WebSocket, handlers: PeerLinkHandlers) {
    this.#socket = socket;
    this.#handlers = handlers;
    this.#wasOpen = this.isOpen;
    socket.once("open", () => {
      this.#wasOpen = true;
      handlers.onOpen();
    });
    socket.on("message", (data) => this.#receive(data as Buffer));
    socket.on("error", () => socket.terminate());
    socket.on("close", () => this.#ended());
  }

  /** Wraps a socket that a peer opened. */
  static create(socket: WebSocket, handlers: PeerLinkHandlers): PeerLink {
    return new PeerLink(socket, handlers);
  }

  /** Opens a link to a peer at `address`. */
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

  /** Closes the link at once. */
  close(): void {
    this.#socket.terminate();
  }

  /** Sends a message, or drops it when the link is not open. */
  send(message: PeerMessage): void {
    this.sendPacked(packMessage(message));
  }

  /** Sends what `packMessage` returned, which serves several links. */
  sendPacked(bytes: Buffer): void {
    if (this.isOpen) this.#socket.send(bytes);
  }

  /** Asks the peer for a chunk; `undefined` when it gives none in time. */
  async requestChunk(hash: ContentHash): Promise<string | undefined> {
    const kind = PeerMessageKind.ChunkRequest;
    const answer = await this.#ask((correlation) => ({
      kind,
      correlation,
      hash,
    }));
    const isChunk = answer?.kind === PeerMessageKind.ChunkResponse;
    return isChunk ? answer.text ?? undefined : undefined;
  }

  /** Asks the peer for changes; `undefined` when it gives none in time. */
  async requestChanges(after: number): Promise<ServerChanges | undefined> {
    const kind = PeerMessageKind.ChangesRequest;
    const answer = await this.#ask((correlation) => ({
      kind,
      correlation,
      after,
    }));
    const isChanges = answer?.kind === PeerMessageKind.ChangesResponse;
    return isChanges ? answer : undefined;
  }

  #ask(
    createRequest: (correlation: number) => PeerMessage,
  ): Promise<PeerResponse | undefined> {
    const correlation = ++this.#correlation;
    return new Promise((resolve) => {
      const timer = setTimeout(() => settle(undefined), PEER_CHUNK_TIMEOUT_MS);
      const settle: AnswerWaiter = (answer) => {
        clearTimeout(timer);
        this.#waiting.delete(correlation);
        resolve(answer);
      };
      this.#waiting.set(correlation, settle);
      this.send(createRequest(correlation));
    });
  }

  #receive(data: Buffer): void {
    match(unpackMessage(data))
      .with({ kind: PeerMessageKind.Digest }, (digest) => {
        this.#handlers.onDigest(digest, this);
      })
      .with({ kind: PeerMessageKind.ChunkRequest }, (request) => {
        this.#answerChunk(request);
      })
      .with({ kind: PeerMessageKind.ChangesRequest }, (request) => {
        this.#answerChanges(request);
      })
      .with(
        { kind: PeerMessageKind.ChunkResponse },
        { kind: PeerMessageKind.ChangesResponse },
        (answer) => this.#waiting.get(answer.correlation)?.(answer),
      )
      .otherwise(() => this.close());
  }

  #answerChunk({ correlation, hash }: ChunkRequest): void {
    const text = this.#handlers.readChunk(hash) ?? null;
    this.send({ kind: PeerMessageKind.ChunkResponse, correlation, text });
  }

  #answerChanges({ correlation, after }: ChangesRequest): void {
    const changes = this.#handlers.readChanges?.(after) ??
      { upTo: after, news: [] };
    this.send({
      kind: PeerMessageKind.ChangesResponse,
      correlation,
      ...changes,
    });
  }

  #ended(): void {
    for (const settle of [...this.#waiting.values()]) settle(undefined);
    this.#handlers.onClose(this, this.#wasOpen);
  }
}
