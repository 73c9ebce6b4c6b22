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
  type GossipDigest,
  packMessage,
  PEER_KEY_HEADER,
  PEER_MESSAGE_MAX_BYTES,
  type ServerChanges,
} from "../connection/peer_protocol.ts";
import { type Instance, InstanceState } from "../connection/instance.ts";
import { DIGEST_FANOUT, DIGEST_INTERVAL_MS } from "../constants.ts";
import { hashParts } from "../hashing.ts";
import type { ContentHash, EntryId } from "../ids.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { EntryPosition } from "./server_pool.ts";
import type { Log } from "./log.ts";

/** What the exchange needs of its entry. */
export interface PeersOptions {
  readonly entry: EntryId;
  readonly key: string;
  readonly log: Log;
  readonly createDigest: () => GossipDigest;
  readonly onDigest: (digest: GossipDigest, link: PeerLink) => void;
  /** Called when a link to an entry ended. */
  readonly onPeerLost?: (entry: EntryId) => void;
  readonly readChunk: (hash: ContentHash) => string | undefined;
  /** Returns changes of this entry's list of servers; none if absent. */
  readonly readChanges?: (after: number) => ServerChanges;
  /** How often digests are sent, in ms. */
  readonly digestIntervalMs?: number;
}

/** Only each second digest is sent where there are many entries. */
const CROWDED_TURNS = 2;
/**
 * Entries from which on links reach only a part of them. Placing then rests on
 * what an entry sees itself: in the emulator (59 entries) streams take as long
 * with digests each 600 ms as each 150 ms.
 */
export const PARTIAL_MESH_MIN_ENTRIES = 2 * DIGEST_FANOUT + 2;
/** Time in which news gathers before it is sent, in ms; prompts come some ms apart. */
const NEWS_GATHER_MS = 10;

/** Pause before an entry is dialled again that could not be reached, in ms. */
const REDIAL_MIN_MS = 150;
/** Longest such pause, in ms: an entry that is back dials others itself at once. */
const REDIAL_MAX_MS = 1_200;
/** How much longer each such pause is than the one before. */
const REDIAL_GROWTH = 2;

/** When an entry is dialled again that could not be reached. */
interface Redial {
  /** On the monotonic clock, in ms. */
  readonly atMs: number;
  readonly pauseMs: number;
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
  /** By address, the entries that could not be reached. */
  readonly #redials = new Map<string, Redial>();
  /** Entries that dialled the accepted links, once they have said who they are. */
  readonly #named = new WeakMap<PeerLink, EntryId>();
  readonly #timer: NodeJS.Timeout;
  #turn = 0;
  #announcement: NodeJS.Timeout | undefined;
  #entries: readonly Instance[] = [];
  /** Entries to dial, by address. */
  #chosen: ReadonlyMap<string, Instance> = new Map();

  private constructor(options: PeersOptions) {
    this.#options = options;
    this.#server.on("upgrade", (request, socket, head) => {
      this.#accept(request, socket, head);
    });
    const { digestIntervalMs: intervalMs = DIGEST_INTERVAL_MS } = options;
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
    clearTimeout(this.#announcement);
    for (const link of this.#links()) link.close();
    this.#acceptor.close();
    this.#server.close();
  }

  /** Takes over the entries of the platform's latest list. */
  setInstances(instances: readonly Instance[]): void {
    this.#entries = instances.filter(({ role, state }) =>
      role === "entry" && state === InstanceState.Live
    );
    this.#chosen = this.#choose();
    this.#dialChosen();
  }

  /** Where this entry stands among the live ones, itself included. */
  get entryPosition(): EntryPosition {
    const names = this.#others().map(({ name }) => name);
    const before = names.filter((name) => name < this.#options.entry);
    return { index: before.length, count: names.length + 1 };
  }

  /** Sends a digest now, to every peer that is linked. */
  broadcastDigest(): void {
    const bytes = packMessage(this.#options.createDigest());
    for (const link of this.#linkedOnce()) link.sendPacked(bytes);
  }

  /** Links by peer: one that dialled this entry too hears on this entry's link. */
  #linkedOnce(): PeerLink[] {
    const dialled = new Set(
      this.#others()
        .filter(({ address }) => this.#dialled.get(address)?.isOpen)
        .map(({ name }) => name),
    );
    const accepted = [...this.#accepted].filter((link) =>
      !dialled.has(this.#named.get(link) ?? "")
    );
    return [...this.#dialled.values(), ...accepted];
  }

  /** Sends a digest soon, together with other news of the next moments. */
  scheduleDigestBroadcast(): void {
    this.#announcement ??= setTimeout(() => {
      this.#announcement = undefined;
      this.broadcastDigest();
    }, NEWS_GATHER_MS);
  }

  /**
   * Tells soon where work went. Among many entries that would cost a digest a
   * link for each stream, 82 a second at letter 1's size, and reach few of them.
   */
  schedulePlacementBroadcast(): void {
    if (!this.#isCrowded) this.scheduleDigestBroadcast();
  }

  get #isCrowded(): boolean {
    return this.#accepted.size > DIGEST_FANOUT ||
      this.#entries.length >= PARTIAL_MESH_MIN_ENTRIES;
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
          this.#named.set(from, digest.entry);
          this.#options.onDigest(digest, from);
        },
        onClose: (closed) => {
          this.#accepted.delete(closed);
          const entry = this.#named.get(closed);
          if (entry !== undefined) this.#options.onPeerLost?.(entry);
        },
      });
      this.#accepted.add(link);
    });
  }

  #handlers(): PeerLinkHandlers {
    const { readChanges } = this.#options;
    return {
      onDigest: (digest, link) => this.#options.onDigest(digest, link),
      readChunk: this.#options.readChunk,
      ...(readChanges === undefined ? {} : { readChanges }),
      onOpen: () => undefined,
      onClose: () => undefined,
    };
  }

  /** Each entry dials the peers whose hash with its own name is lowest. */
  #choose(): ReadonlyMap<string, Instance> {
    return new Map(
      this.#others()
        .map((peer) => ({ peer, rank: this.#rankOf(peer) }))
        .sort((a, b) => (a.rank < b.rank ? -1 : 1))
        .slice(0, DIGEST_FANOUT)
        .map(({ peer }) => [peer.address, peer] as const),
    );
  }

  /** Ends links to entries that are not chosen, and dials those that are. */
  #dialChosen(): void {
    for (const [address, link] of this.#dialled) {
      if (!this.#chosen.has(address)) link.close();
    }
    for (const address of this.#redials.keys()) {
      if (!this.#chosen.has(address)) this.#redials.delete(address);
    }
    const nowMs = performance.now();
    for (const [address, peer] of this.#chosen) {
      const { atMs = 0 } = this.#redials.get(address) ?? {};
      if (!this.#dialled.has(address) && atMs <= nowMs) this.#dial(peer);
    }
  }

  /** Notes that an entry could not be reached. */
  #postpone(address: string): void {
    const pastMs = this.#redials.get(address)?.pauseMs;
    const pauseMs = pastMs === undefined
      ? REDIAL_MIN_MS
      : Math.min(REDIAL_MAX_MS, pastMs * REDIAL_GROWTH);
    const atMs = performance.now() + pauseMs;
    this.#redials.set(address, { atMs, pauseMs });
  }

  #rankOf(peer: Instance): string {
    return hashParts([this.#options.entry, peer.name]);
  }

  #dial({ address, name }: Instance): void {
    const link = PeerLink.dial(address, {
      key: this.#options.key,
      handlers: {
        ...this.#handlers(),
        onOpen: () => {
          this.#redials.delete(address);
          this.#options.log(LOG_EVENTS.peerConnected, { peer: name });
        },
        onClose: (_, wasOpen) => {
          this.#dialled.delete(address);
          if (!wasOpen) return this.#postpone(address);
          this.#options.log(LOG_EVENTS.peerDisconnected, { peer: name });
          this.#options.onPeerLost?.(name as EntryId);
        },
      },
    });
    this.#dialled.set(address, link);
  }

  #exchange(): void {
    this.#dialChosen();
    this.#turn = (this.#turn + 1) % (this.#isCrowded ? CROWDED_TURNS : 1);
    if (this.#turn === 0) this.broadcastDigest();
  }
}
