/** One WebSocket to a peer entry, the same on the dialling and accepting side. */

import { pack, unpack } from "msgpackr";
import { match } from "ts-pattern";
import { WebSocket } from "ws";
import { PEER_CHUNK_TIMEOUT_MS } from "../constants.ts";
import type { ContentHash } from "../ids.ts";
import {
  type ChunkRequest,
  type Digest,
  PEER_KEY_HEADER,
  PEER_MESSAGE_MAX_BYTES,
  PEER_PATH,
  type PeerMessage,
  PeerMessageKind,
} from "./peer_protocol.ts";

/** What a link does with what it receives. */
export interface PeerLinkHandlers {
  readonly onDigest: (digest: Digest, link: PeerLink) => void;
  /** Returns a chunk that this entry holds. */
  readonly readChunk: (hash: ContentHash) => string | undefined;
  /** `wasOpen` says whether the link had been open before. */
  readonly onClose: (link: PeerLink, wasOpen: boolean) => void;
  readonly onOpen: () => void;
}

type ChunkWaiter = (text: string | undefined) => void;

/** An open or opening link. */
export class PeerLink {
  readonly #socket: WebSocket;
  readonly #handlers: PeerLinkHandlers;
  readonly #waiting = new Map<number, ChunkWaiter>();
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
    if (this.isOpen) this.#socket.send(pack(message));
  }

  /** Asks the peer for a chunk; `undefined` when it gives none in time. */
  requestChunk(hash: ContentHash): Promise<string | undefined> {
    const correlation = ++this.#correlation;
    return new Promise((resolve) => {
      const timer = setTimeout(() => settle(undefined), PEER_CHUNK_TIMEOUT_MS);
      const settle: ChunkWaiter = (text) => {
        clearTimeout(timer);
        this.#waiting.delete(correlation);
        resolve(text);
      };
      this.#waiting.set(correlation, settle);
      this.send({ kind: PeerMessageKind.ChunkRequest, correlation, hash });
    });
  }

  #receive(data: Buffer): void {
    match(unpack(data) as PeerMessage)
      .with({ kind: PeerMessageKind.Digest }, (digest) => {
        this.#handlers.onDigest(digest, this);
      })
      .with({ kind: PeerMessageKind.ChunkRequest }, (request) => {
        this.#answerChunk(request);
      })
      .with({ kind: PeerMessageKind.ChunkAnswer }, (answer) => {
        this.#waiting.get(answer.correlation)?.(answer.text ?? undefined);
      })
      .otherwise(() => this.close());
  }

  #answerChunk({ correlation, hash }: ChunkRequest): void {
    const text = this.#handlers.readChunk(hash) ?? null;
    this.send({ kind: PeerMessageKind.ChunkAnswer, correlation, text });
  }

  #ended(): void {
    for (const settle of [...this.#waiting.values()]) settle(undefined);
    this.#handlers.onClose(this, this.#wasOpen);
  }
}
