/**
 * The peers of an entry: the live entries of the platform's list, links to a
 * bounded number of them, and the gossip of digests.
 */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Duplex } from "node:stream";
import { WebSocketServer } from "ws";
import {
  type Door,
  DOOR_OPTIONS,
  guardDoor,
} from "../connection/guarded_door.ts";
import { listen } from "../connection/http_server.ts";
import {
  type KeepAliveLimits,
  PeerLink,
  type PeerLinkHandlers,
} from "./peer_link.ts";
import {
  type GossipDigest,
  packMessage,
  PEER_KEY_HEADER,
  PEER_MESSAGE_MAX_BYTES,
  type ServerChanges,
} from "./peer_protocol.ts";
import { type Instance, InstanceState } from "../connection/instance.ts";
import { DIGEST_FANOUT, DIGEST_INTERVAL_MS } from "../constants.ts";
import type { ContentHash, EntryId } from "../ids.ts";
import type { Source } from "../process/ask_sources.ts";
import type { RetryLender } from "../placement/retry_budget.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { EntryPosition } from "../process/server_pool.ts";
import type { Log } from "../process/log.ts";
import { rankPeers } from "./rank_peers.ts";

/** Dependencies and settings of the links to peers. */
export interface PeersOptions {
  readonly entry: EntryId;
  /** Preferred for links; if absent, zones don't count. */
  readonly zone?: string;
  /** Shown by entries to each other; see `setKey`. */
  readonly key: string;
  readonly log: Log;
  readonly createDigest: () => GossipDigest;
  readonly onDigest: (digest: GossipDigest, link: PeerLink) => void;
  /** Called when a link to an entry opened. */
  readonly onPeerLinked?: () => void;
  /** Called when a link to an entry closed. */
  readonly onPeerLost?: (entry: EntryId) => void;
  readonly readChunk: (hash: ContentHash) => string | undefined;
  /** Returns changes to this entry's server list; none if absent. */
  readonly readChanges?: (after: number) => ServerChanges;
  /** Lends part of the retry budget; nothing if absent. */
  readonly lendRetries?: (service: string, wanted: number) => number;
  /** Limits of the port; connections of peers stay. */
  readonly door?: Door;
  /** Interval between digests, in ms. */
  readonly digestIntervalMs?: number;
  /** Time without a link after which an entry counts as gone, in ms. */
  readonly goneAfterMs?: number;
}

/** In a partial mesh, a digest is sent in one of this many rounds. */
const PARTIAL_MESH_DIGEST_ROUNDS = 2;
/**
 * Number of entries from which on links reach only some of them. Servers are
 * then chosen mostly by what an entry sees itself: with 59 emulated entries,
 * streams take as long with digests every 600 ms as every 150 ms.
 */
export const PARTIAL_MESH_MIN_ENTRIES = 2 * DIGEST_FANOUT + 2;
/** Delay that batches changes into a digest, in ms; prompts come ms apart. */
const BROADCAST_DELAY_MS = 10;

/** Delay before an unreachable entry is dialled again, in ms. */
const REDIAL_DELAY_MIN_MS = 150;
/** Longest such delay, in ms; a restarted entry dials its peers at once. */
const REDIAL_DELAY_MAX_MS = 1_200;
/** Factor by which the delay grows with each failure. */
const REDIAL_DELAY_FACTOR = 2;

/** Time without data after which a peer is pinged, in ms. */
const PING_AFTER_MS = 450;
/**
 * Time without data after which a link is closed, in ms. What peers report
 * counts for 1,200 to 1,650 ms anyway.
 */
const SILENT_AFTER_MS = 1_500;

/** Time after which a chunk is requested from another peer too, in ms. */
const CHUNK_OVERDUE_MS = 150;

/** Time without a link after which another entry is dialled too, in ms. */
const UNREACHABLE_AFTER_MS = 2_000;
/** Time without a link after which an entry counts as gone, in ms. */
const GONE_AFTER_MS = 30_000;
/** Most entries that are dialled, while some can't be reached. */
const CANDIDATES_MAX = 2 * DIGEST_FANOUT;

/** When to dial an unreachable entry again. */
interface Redial {
  /** On the monotonic clock, in ms. */
  readonly notBeforeMs: number;
  readonly delayMs: number;
}

/** Limits of the port for peers if none are set. */
const DEFAULT_DOOR: Door = { connectionsMax: 1_024 };
const HTTP_NOT_FOUND = 404;

/** Links to other entries, and the digests sent over them. */
export class Peers {
  readonly #options: PeersOptions;
  #key: string;
  #previousKey: string;
  readonly #server: Server = createServer(DOOR_OPTIONS);
  readonly #webSocketServer = new WebSocketServer({
    noServer: true,
    maxPayload: PEER_MESSAGE_MAX_BYTES,
    perMessageDeflate: false,
  });
  readonly #outboundLinks = new Map<string, PeerLink>();
  readonly #inboundLinks = new Set<PeerLink>();
  /** Connections whose other end has shown the key. */
  readonly #linkedSockets = new WeakSet<Duplex>();
  /** Unreachable entries, by address. */
  readonly #redials = new Map<string, Redial>();
  /** Entries at the far end: as dialled, or from their first digest. */
  readonly #peerNames = new WeakMap<PeerLink, EntryId>();
  readonly #keepAliveLimits: KeepAliveLimits;
  readonly #digestIntervalMs: number;
  readonly #digestTimer: NodeJS.Timeout;
  #digestRound = 0;
  /** Times that `retryLenders` was called. */
  #lenderRound = 0;
  #scheduledBroadcast: NodeJS.Timeout | undefined;
  #liveEntries: readonly Instance[] = [];
  /** Entries that may be dialled, in the order of preference. */
  #candidates: readonly Instance[] = [];
  #listedAddresses: ReadonlySet<string> = new Set();
  /** Digest intervals since a dialled entry was last linked, by address. */
  #unlinkedTicks: ReadonlyMap<string, number> = new Map();

  private constructor(options: PeersOptions) {
    this.#options = options;
    this.#key = options.key;
    this.#previousKey = options.key;
    this.#server.on("upgrade", (request, socket, head) => {
      this.#acceptLink(request, socket, head);
    });
    // Nothing but links of peers is served here.
    this.#server.on("request", (_request, response) => {
      response.writeHead(HTTP_NOT_FOUND, { connection: "close" }).end();
    });
    guardDoor(this.#server, {
      ...DEFAULT_DOOR,
      ...options.door,
      isServing: (socket) => this.#linkedSockets.has(socket),
    });
    const { digestIntervalMs = DIGEST_INTERVAL_MS } = options;
    this.#digestIntervalMs = digestIntervalMs;
    this.#keepAliveLimits = {
      pingCalls: Math.ceil(PING_AFTER_MS / digestIntervalMs),
      closeCalls: Math.ceil(SILENT_AFTER_MS / digestIntervalMs),
    };
    this.#digestTimer = setInterval(() => this.#tick(), digestIntervalMs);
  }

  /** Creates the links and starts the digests; `listen` accepts peers. */
  static create(options: PeersOptions): Peers {
    return new Peers(options);
  }

  /** Listens for peers; resolves with the port. */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Closes all links and stops listening. */
  close(): void {
    clearInterval(this.#digestTimer);
    clearTimeout(this.#scheduledBroadcast);
    for (const link of this.#allLinks()) link.close();
    this.#webSocketServer.close();
    this.#server.close();
  }

  /**
   * Changes the key. Links stay, and entries that still show the previous key
   * are accepted: entries learn of a change at different times.
   */
  setKey(key: string): void {
    if (key === this.#key) return;
    this.#previousKey = this.#key;
    this.#key = key;
  }

  /** Applies the platform's latest instance list. */
  setInstances(instances: readonly Instance[]): void {
    this.#liveEntries = instances.filter(({ role, state }) =>
      role === "entry" && state === InstanceState.Live
    );
    this.#listedAddresses = new Set(
      this.#liveEntries.map(({ address }) => address),
    );
    const { entry, zone } = this.#options;
    this.#candidates = rankPeers(this.#otherEntries(), { entry, zone })
      .slice(0, CANDIDATES_MAX);
    this.#reconcileLinks();
  }

  /** This entry's position among the live ones, itself included. */
  get entryPosition(): EntryPosition {
    const peerNames = this.#otherEntries().map(({ name }) => name);
    const before = peerNames.filter((name) => name < this.#options.entry);
    return { index: before.length, count: peerNames.length + 1 };
  }

  /** Whether no link to another entry is open. */
  get isAlone(): boolean {
    return !this.#allLinks().some((link) => link.isOpen);
  }

  /**
   * Names of entries that were dialled in vain for a long time. Of this zone's
   * entries or those of other zones none while fewer are linked than not: this
   * entry or its zone may be the one that is cut off.
   */
  goneEntries(): readonly string[] {
    const { zone } = this.#options;
    const chosen = [...this.#choosePeers().values()];
    return [
      ...this.#goneAmong(chosen.filter((peer) => peer.zone === zone)),
      ...this.#goneAmong(chosen.filter((peer) => peer.zone !== zone)),
    ];
  }

  #goneAmong(peers: readonly Instance[]): readonly string[] {
    const { goneAfterMs = GONE_AFTER_MS } = this.#options;
    const minTicks = goneAfterMs / this.#digestIntervalMs;
    const ticksOf = ({ address }: Instance) =>
      this.#unlinkedTicks.get(address) ?? 0;
    const unlinkedCount = peers.filter((peer) => ticksOf(peer) > 0).length;
    if (peers.length - unlinkedCount < unlinkedCount) return [];
    return peers
      .filter((peer) => ticksOf(peer) >= minTicks)
      .map(({ name }) => name);
  }

  /** Sends a digest to every linked peer now. */
  broadcastDigest(): void {
    const bytes = packMessage(this.#options.createDigest());
    for (const link of this.#oneLinkPerPeer()) link.sendPacked(bytes);
  }

  /** One link per peer: the outbound one where both entries dialled. */
  #oneLinkPerPeer(): PeerLink[] {
    const outboundPeers = new Set(
      [...this.#outboundLinks.values()]
        .filter((link) => link.isOpen)
        .map((link) => this.#peerNames.get(link)),
    );
    const inboundOnly = [...this.#inboundLinks].filter((link) => {
      const name = this.#peerNames.get(link);
      return name === undefined || !outboundPeers.has(name);
    });
    return [...this.#outboundLinks.values(), ...inboundOnly];
  }

  /** Sends a digest soon; calls until then are batched into it. */
  scheduleDigestBroadcast(): void {
    this.#scheduledBroadcast ??= setTimeout(() => {
      this.#scheduledBroadcast = undefined;
      this.broadcastDigest();
    }, BROADCAST_DELAY_MS);
  }

  /**
   * Announces an assigned stream soon, unless the links form a partial mesh:
   * there a digest per link and stream would be 82 a second at the specified
   * deployment size, and reach few entries.
   */
  schedulePlacementBroadcast(): void {
    if (!this.#isPartialMesh) this.scheduleDigestBroadcast();
  }

  get #isPartialMesh(): boolean {
    return this.#inboundLinks.size > DIGEST_FANOUT ||
      this.#liveEntries.length >= PARTIAL_MESH_MIN_ENTRIES;
  }

  /** Yields the linked peers as sources of a chunk. */
  *chunkSources(hash: ContentHash): Generator<Source<string>, void> {
    for (const link of this.#allLinks()) {
      if (!link.isOpen) continue;
      yield {
        overdueMs: CHUNK_OVERDUE_MS,
        ask: () => link.requestChunk(hash),
      };
    }
  }

  /** Yields the linked peers as lenders of retries, each time from the next on. */
  *retryLenders(): Generator<RetryLender, void> {
    const links = this.#oneLinkPerPeer().filter((link) => link.isOpen);
    const start = this.#lenderRound++ % Math.max(1, links.length);
    for (const link of [...links.slice(start), ...links.slice(0, start)]) {
      yield (service, wanted) => link.requestRetryLoan(service, wanted);
    }
  }

  #otherEntries(): readonly Instance[] {
    return this.#liveEntries.filter(({ name }) => name !== this.#options.entry);
  }

  #allLinks(): PeerLink[] {
    return [...this.#outboundLinks.values(), ...this.#inboundLinks];
  }

  #acceptLink(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    const key = request.headers[PEER_KEY_HEADER];
    if (key !== this.#key && key !== this.#previousKey) {
      socket.destroy();
      return;
    }
    this.#linkedSockets.add(socket);
    this.#options.door?.load?.release(request.socket);
    this.#webSocketServer.handleUpgrade(request, socket, head, (webSocket) => {
      const link = PeerLink.create(webSocket, {
        ...this.#handlers(),
        onDigest: (digest, sender) => {
          this.#peerNames.set(sender, digest.entry);
          this.#options.onDigest(digest, sender);
        },
        onClose: (closedLink) => {
          this.#inboundLinks.delete(closedLink);
          this.#handleLost(this.#peerNames.get(closedLink));
        },
      });
      this.#inboundLinks.add(link);
      this.#options.onPeerLinked?.();
    });
  }

  #handlers(): PeerLinkHandlers {
    const { readChanges, lendRetries } = this.#options;
    return {
      onDigest: (digest, link) => this.#options.onDigest(digest, link),
      readChunk: this.#options.readChunk,
      ...(readChanges === undefined ? {} : { readChanges }),
      ...(lendRetries === undefined ? {} : { lendRetries }),
      onOpen: () => undefined,
      onClose: () => undefined,
    };
  }

  /**
   * Entries to dial, by address: the first ones that can be reached, and those
   * before them that can't, in case they return.
   */
  #choosePeers(): ReadonlyMap<string, Instance> {
    const maxTicks = UNREACHABLE_AFTER_MS / this.#digestIntervalMs;
    const chosen = new Map<string, Instance>();
    let reachableCount = 0;
    for (const peer of this.#candidates) {
      if (reachableCount === DIGEST_FANOUT) break;
      chosen.set(peer.address, peer);
      const ticks = this.#unlinkedTicks.get(peer.address) ?? 0;
      if (ticks < maxTicks) reachableCount++;
    }
    return chosen;
  }

  #countUnlinkedTicks(): void {
    const inboundNames = new Set(
      [...this.#inboundLinks].map((link) => this.#peerNames.get(link)),
    );
    const unlinked = [...this.#choosePeers().values()].filter((peer) =>
      this.#outboundLinks.get(peer.address)?.isOpen !== true &&
      !inboundNames.has(peer.name as EntryId)
    );
    this.#unlinkedTicks = new Map(
      unlinked.map(({ address }) => [
        address,
        (this.#unlinkedTicks.get(address) ?? 0) + 1,
      ]),
    );
  }

  /** Closes links to entries that aren't chosen, and dials those that are. */
  #reconcileLinks(): void {
    const chosenPeers = this.#choosePeers();
    for (const [address, link] of this.#outboundLinks) {
      // One that is linked but not listed lives; its registration was lost.
      const isUnlisted = !this.#listedAddresses.has(address) && link.isOpen;
      if (!chosenPeers.has(address) && !isUnlisted) link.close();
    }
    for (const address of this.#redials.keys()) {
      if (!chosenPeers.has(address)) this.#redials.delete(address);
    }
    const nowMs = performance.now();
    for (const [address, peer] of chosenPeers) {
      const { notBeforeMs = 0 } = this.#redials.get(address) ?? {};
      if (!this.#outboundLinks.has(address) && notBeforeMs <= nowMs) {
        this.#dialPeer(peer);
      }
    }
  }

  /** Records that an entry was unreachable, and when to dial it again. */
  #scheduleRedial(address: string): void {
    const previousDelayMs = this.#redials.get(address)?.delayMs;
    const delayMs = previousDelayMs === undefined
      ? REDIAL_DELAY_MIN_MS
      : Math.min(REDIAL_DELAY_MAX_MS, previousDelayMs * REDIAL_DELAY_FACTOR);
    const notBeforeMs = performance.now() + delayMs;
    this.#redials.set(address, { notBeforeMs, delayMs });
  }

  #dialPeer({ address, name }: Instance): void {
    const link = PeerLink.dial(address, {
      key: this.#key,
      handlers: {
        ...this.#handlers(),
        onOpen: () => {
          this.#redials.delete(address);
          this.#options.log(LOG_EVENTS.peerConnected, { peer: name });
          this.#options.onPeerLinked?.();
        },
        onClose: (_, wasOpen) => {
          this.#outboundLinks.delete(address);
          if (!wasOpen) return this.#scheduleRedial(address);
          this.#options.log(LOG_EVENTS.peerDisconnected, { peer: name });
          this.#handleLost(name as EntryId);
        },
      },
    });
    this.#outboundLinks.set(address, link);
    this.#peerNames.set(link, name as EntryId);
  }

  /** Reports an entry as lost unless another link to it is open. */
  #handleLost(entry: EntryId | undefined): void {
    const isLinked = this.#allLinks().some((link) =>
      link.isOpen && this.#peerNames.get(link) === entry
    );
    if (entry !== undefined && !isLinked) this.#options.onPeerLost?.(entry);
  }

  /** Closes links on which nothing arrives, so that they are dialled again. */
  #closeSilentLinks(): void {
    for (const link of this.#allLinks()) {
      if (!link.keepAlive(this.#keepAliveLimits)) continue;
      this.#options.log(LOG_EVENTS.peerSilent, {
        peer: this.#peerNames.get(link) ?? "",
      });
    }
  }

  #tick(): void {
    this.#closeSilentLinks();
    this.#countUnlinkedTicks();
    this.#reconcileLinks();
    this.#digestRound = (this.#digestRound + 1) %
      (this.#isPartialMesh ? PARTIAL_MESH_DIGEST_ROUNDS : 1);
    if (this.#digestRound === 0) this.broadcastDigest();
  }
}
