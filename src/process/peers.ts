/**
 * The peers of an entry: who is live by the platform's list, links to a bounded
 * number of them, and the exchange of digests.
 */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Duplex } from "node:stream";
import { WebSocketServer } from "ws";
import { listen } from "../connection/http_server.ts";
import { PeerLink, type PeerLinkHandlers } from "../connection/peer_link.ts";
import {
  type Digest,
  PEER_KEY_HEADER,
  PEER_MESSAGE_MAX_BYTES,
} from "../connection/peer_protocol.ts";
import { type Instance, InstanceState } from "../connection/instance.ts";
import { DIGEST_FANOUT, DIGEST_INTERVAL_MS } from "../constants.ts";
import { hashParts } from "../hashing.ts";
import type { ContentHash, EntryId } from "../ids.ts";
import { EVENTS } from "./event_catalog.ts";
import type { Standing } from "./fleet.ts";
import type { Log } from "./log.ts";

/** What the exchange needs of its entry. */
export interface PeersOptions {
  readonly entry: EntryId;
  readonly key: string;
  readonly log: Log;
  readonly createDigest: () => Digest;
  readonly onDigest: (digest: Digest, link: PeerLink) => void;
  readonly readChunk: (hash: ContentHash) => string | undefined;
  /** How often digests are sent, in ms. */
  readonly intervalMs?: number;
}

/** Links to other entries. */
export class Peers {
  readonly #options: PeersOptions;
  readonly #server: Server = createServer();
  readonly #acceptor = new WebSocketServer({
    noServer: true,
    maxPayload: PEER_MESSAGE_MAX_BYTES,
    perMessageDeflate: false,
  });
  readonly #dialled = new Map<string, PeerLink>();
  readonly #accepted = new Set<PeerLink>();
  readonly #timer: NodeJS.Timeout;
  #entries: readonly Instance[] = [];

  private constructor(options: PeersOptions) {
    this.#options = options;
    this.#server.on("upgrade", (request, socket, head) => {
      this.#accept(request, socket, head);
    });
    const { intervalMs = DIGEST_INTERVAL_MS } = options;
    this.#timer = setInterval(() => this.#exchange(), intervalMs);
  }

  /** Starts the exchange; `listen` opens it to other entries. */
  static create(options: PeersOptions): Peers {
    return new Peers(options);
  }

  /** Listens for peers; resolves with the port. */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Ends all links. */
  close(): void {
    clearInterval(this.#timer);
    for (const link of this.#links()) link.close();
    this.#acceptor.close();
    this.#server.close();
  }

  /** Takes over the entries of the platform's latest list. */
  setInstances(instances: readonly Instance[]): void {
    this.#entries = instances.filter(({ role, state }) =>
      role === "entry" && state === InstanceState.Live
    );
    this.#dialChosen();
  }

  /** Where this entry stands among the live ones, itself included. */
  get standing(): Standing {
    const names = this.#others().map(({ name }) => name);
    const before = names.filter((name) => name < this.#options.entry);
    return { index: before.length, count: names.length + 1 };
  }

  /** Sends a digest now, to every peer that is linked. */
  announce(): void {
    const digest = this.#options.createDigest();
    for (const link of this.#links()) link.send(digest);
  }

  /** Asks the open links, one after the other, for a chunk. */
  async fetchChunk(hash: ContentHash): Promise<string | undefined> {
    for (const link of this.#links()) {
      if (!link.isOpen) continue;
      const text = await link.requestChunk(hash);
      if (text !== undefined) return text;
    }
    return undefined;
  }

  #others(): readonly Instance[] {
    return this.#entries.filter(({ name }) => name !== this.#options.entry);
  }

  #links(): PeerLink[] {
    return [...this.#dialled.values(), ...this.#accepted];
  }

  #accept(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    if (request.headers[PEER_KEY_HEADER] !== this.#options.key) {
      socket.destroy();
      return;
    }
    this.#acceptor.handleUpgrade(request, socket, head, (webSocket) => {
      const link = PeerLink.create(webSocket, {
        ...this.#handlers(),
        onDigest: (digest, from) => {
          this.#options.onDigest(digest, from);
          // A peer that is dialled too hears on the link of our own.
          if (this.#isDialled(digest.entry)) return;
          from.send(this.#options.createDigest());
        },
        onClose: (closed) => this.#accepted.delete(closed),
      });
      this.#accepted.add(link);
    });
  }

  #isDialled(entry: EntryId): boolean {
    const peer = this.#entries.find(({ name }) => name === entry);
    return this.#dialled.get(peer?.address ?? "")?.isOpen === true;
  }

  #handlers(): PeerLinkHandlers {
    return {
      onDigest: (digest, link) => this.#options.onDigest(digest, link),
      readChunk: this.#options.readChunk,
      onOpen: () => undefined,
      onClose: () => undefined,
    };
  }

  /** Each entry dials the peers whose hash with its own name is lowest. */
  #dialChosen(): void {
    const chosen = new Map(
      this.#others()
        .map((peer) => ({ peer, rank: this.#rankOf(peer) }))
        .sort((a, b) => (a.rank < b.rank ? -1 : 1))
        .slice(0, DIGEST_FANOUT)
        .map(({ peer }) => [peer.address, peer] as const),
    );
    for (const [address, link] of this.#dialled) {
      if (!chosen.has(address)) link.close();
    }
    for (const [address, peer] of chosen) {
      if (!this.#dialled.has(address)) this.#dial(peer);
    }
  }

  #rankOf(peer: Instance): string {
    return hashParts([this.#options.entry, peer.name]);
  }

  #dial({ address, name }: Instance): void {
    const link = PeerLink.dial(address, {
      key: this.#options.key,
      handlers: {
        ...this.#handlers(),
        onOpen: () => this.#options.log(EVENTS.peerConnected, { peer: name }),
        onClose: (_, wasOpen) => {
          this.#dialled.delete(address);
          if (wasOpen) this.#options.log(EVENTS.peerLost, { peer: name });
        },
      },
    });
    this.#dialled.set(address, link);
  }

  #exchange(): void {
    this.#dialChosen();
    const digest = this.#options.createDigest();
    for (const link of this.#dialled.values()) link.send(digest);
  }
}
