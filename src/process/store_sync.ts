/**
 * Keeps a relay's configuration and list of servers up to date: from the shared
 * store, which a few entries read for all, and from the other entries, also
 * while the store turns this one away.
 */

import { type Instance, InstanceState } from "../connection/instance.ts";
import type { PeerLink } from "../connection/peer_link.ts";
import type { GossipDigest } from "../connection/peer_protocol.ts";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import { messageOf } from "../errors.ts";
import { hashText } from "../hashing.ts";
import type { ContentHash, EntryId } from "../ids.ts";
import type { RouteTable } from "../version/route_table.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { LiveServer } from "./live_server.ts";
import type { Log } from "./log.ts";
import { Membership } from "./membership.ts";
import { ObjectWatch } from "./object_watch.ts";
import { Peers } from "./peers.ts";
import type { Relay, ServerChange } from "./relay.ts";

/** Where the configuration is kept, and how it is read. */
export interface ConfigurationSource {
  readonly kind: string;
  readonly name: string;
  /** Errors: throws when the configuration is not whole. */
  readonly parse: (spec: unknown) => RouteTable;
}

/** Where backend servers register, and how their entries are read. */
export interface ServerSource {
  readonly kind: string;
  /** Returns `undefined` for an entry that names no server to use. */
  readonly parse: (object: StoredObject) => LiveServer | undefined;
}

/** What a follower needs of its process. */
export interface StoreSyncOptions {
  readonly entry: EntryId;
  /** IP for the traffic between entries. */
  readonly host: string;
  /** Port for it. */
  readonly peerPort: number;
  /** The same for the entries of one deployment, and for no others. */
  readonly deployment: string;
  readonly objects: ObjectStore;
  readonly configuration: ConfigurationSource;
  readonly servers: ServerSource;
  /** How often backend servers renew their entries, in ms. */
  readonly heartbeatMs: number;
  readonly relay: Relay;
  readonly log: Log;
  /** Number from 0 up to 1. */
  readonly random: () => number;
  /** Called when a configuration has come into force. */
  readonly onConfiguration: (table: RouteTable) => void;
}

/** Longest time that the store holds a watch, in ms; its end is a sign of life for all. */
const WATCH_WAIT_MS = 600;
/**
 * Outage after which entries may have lapsed, in heartbeats: they lapse after
 * three without a sign, of which one may have passed before; less some jitter.
 */
const OUTAGE_MIN_HEARTBEATS = 1.85;
/** Pause after changes so that those of one event come together, in ms. */
const GATHER_MS = 100;
/** How often entries tell each other their work, in ms; a prompt is read for 1 s. */
const DIGEST_MS = 150;
/** Time for a peer to tell its changes before another one is asked, in ms. */
const CHANGES_PATIENCE_MS = 250;
/** Names the configuration among what peers ask each other for. */
const CONFIGURATION_CHUNK = "configuration" as ContentHash;
/** The same, given only while it is small enough to be copied from peer to peer. */
const SMALL_CONFIGURATION_CHUNK = "small-configuration" as ContentHash;
/** Larger configurations are read from the store; a slow link carries this in 0.1 s. */
const SMALL_CONFIGURATION_MAX_CHARACTERS = 65_536;

/** Follows the store and the peers until it is closed. */
export class StoreSync {
  readonly #options: StoreSyncOptions;
  readonly #peers: Peers;
  readonly #membership: Membership;
  readonly #configurationWatch: ObjectWatch;
  readonly #serverWatch: ObjectWatch;
  /** The object that holds the configuration in force. */
  #configuration: StoredObject | undefined;
  /** The same as JSON, once a peer has asked for it. */
  #configurationText: string | undefined;
  #hasServers = false;
  #isFetching = false;
  /** When the peer was asked that has not answered with its changes yet, in ms. */
  #askedChangesMs: number | undefined;

  private constructor(options: StoreSyncOptions) {
    this.#options = options;
    this.#configurationWatch = this.#watchConfiguration();
    this.#serverWatch = this.#watchServers();
    this.#peers = this.#createPeers();
    this.#membership = this.#createMembership();
  }

  /** Makes a follower; `start` lets it follow. */
  static create(options: StoreSyncOptions): StoreSync {
    return new StoreSync(options);
  }

  /** Whether the list of servers was read. */
  get hasServerList(): boolean {
    return this.#hasServers;
  }

  /** Listens for peers and starts to follow. */
  async start(): Promise<void> {
    await this.#peers.listen(this.#options.host, this.#options.peerPort);
    this.#configurationWatch.run();
    this.#serverWatch.run();
    this.#membership.run();
  }

  /** Tells other entries soon what the store told this one. */
  scheduleDigestBroadcast(): void {
    this.#peers.scheduleDigestBroadcast();
  }

  /** Tells other entries soon where work went, where they are few. */
  schedulePlacementBroadcast(): void {
    this.#peers.schedulePlacementBroadcast();
  }

  /** Takes the registration back; links stay until `close`. */
  deregister(): Promise<void> {
    return this.#membership.close();
  }

  /** Ends all tasks and links. */
  async close(): Promise<void> {
    this.#configurationWatch.close();
    this.#serverWatch.close();
    this.#peers.close();
    await this.#membership.close();
  }

  #createPeers(): Peers {
    const { entry, deployment, log, relay } = this.#options;
    return Peers.create({
      entry,
      key: hashText(deployment),
      log,
      digestIntervalMs: DIGEST_MS,
      createDigest: () => relay.createDigest(),
      onDigest: (digest, link) => this.#takeDigest(digest, link),
      onPeerLost: (lost) => relay.removePeer(lost),
      readChunk: (name) => this.#readChunk(name),
      readChanges: (after) => relay.changesAfter(after),
    });
  }

  #createMembership(): Membership {
    const { entry, host, peerPort, objects, log, random } = this.#options;
    return Membership.create({
      objects,
      self: { entry, address: `${host}:${peerPort}` },
      log,
      random,
      onMembers: (members) => {
        this.#options.relay.setRegisteredEntryCount(members.length);
        this.#peers.setInstances(
          members.map(({ entry: name, address }): Instance => ({
            name,
            address,
            role: "entry",
            state: InstanceState.Live,
          })),
        );
      },
    });
  }

  #watchConfiguration(): ObjectWatch {
    const { kind, name } = this.#options.configuration;
    const take = (objects: readonly StoredObject[]) => {
      const main = objects.find((object) => object.name === name);
      if (main !== undefined) this.#adopt(main);
    };
    return ObjectWatch.create({
      ...this.#watchOptions(),
      kind,
      batchDelayMs: 0,
      onList: ({ objects }) => take(objects),
      onChanges: (changes) => {
        const kept = changes.filter(({ isDeleted }) => !isDeleted);
        take(kept.map(({ object }) => object).toReversed());
      },
    });
  }

  #watchServers(): ObjectWatch {
    const { relay, servers } = this.#options;
    return ObjectWatch.create({
      ...this.#watchOptions(),
      kind: servers.kind,
      batchDelayMs: GATHER_MS,
      onList: ({ objects, revision }, isAfterOutage) => {
        const listed = objects.map((object) => this.#readServer(object));
        relay.replaceServerList(listed, { revision, isAfterOutage });
        this.#hasServers = true;
      },
      onChanges: (changes, isAfterOutage) => {
        const changed = changes.map(({ object, isDeleted }) => ({
          ...this.#readServer(object),
          ...(isDeleted ? { server: undefined } : {}),
        }));
        relay.applyServerChanges(changed, isAfterOutage);
      },
    });
  }

  #watchOptions() {
    const { objects, log, random, relay } = this.#options;
    return {
      objects,
      log,
      random,
      waitMs: WATCH_WAIT_MS,
      outageThresholdMs: OUTAGE_MIN_HEARTBEATS * this.#options.heartbeatMs,
      readerElection: relay.readerElection,
    };
  }

  #readServer(object: StoredObject): ServerChange {
    const { name, revision } = object;
    const server = this.#options.servers.parse(object);
    return { name, revision, server };
  }

  #adopt(main: StoredObject, source = "platform"): void {
    const { configuration, relay, log, onConfiguration } = this.#options;
    try {
      const table = configuration.parse(main.spec);
      if (!relay.adopt(table, source)) return;
      this.#configuration = main;
      this.#configurationText = undefined;
      onConfiguration(table);
      this.#peers.broadcastDigest();
    } catch (error) {
      log(LOG_EVENTS.revisionFailed, {
        revision: main.revision,
        reason: messageOf(error),
      });
    }
  }

  async #takeDigest(digest: GossipDigest, link: PeerLink): Promise<void> {
    const { relay, log } = this.#options;
    relay.mergeDigest(digest);
    this.#fetchChanges(digest, link);
    if (relay.needsServerRelist && this.#serverWatch.requestRelist()) {
      log(LOG_EVENTS.serverListMismatch, { peer: digest.entry });
    }
    const version = digest.orders?.configuration ?? -1;
    if (version <= relay.configurationVersion || this.#isFetching) return;
    this.#isFetching = true;
    try {
      await this.#fetchConfiguration(digest.entry, link);
    } catch (error) {
      log(LOG_EVENTS.revisionFailed, {
        revision: version,
        reason: messageOf(error),
      });
    } finally {
      this.#isFetching = false;
    }
  }

  /** Takes over what a peer's list of servers has and this entry's has not. */
  async #fetchChanges(digest: GossipDigest, link: PeerLink): Promise<void> {
    const { relay } = this.#options;
    const after = relay.compareServerList(digest);
    const askedMs = this.#askedChangesMs ?? Number.NEGATIVE_INFINITY;
    const nowMs = performance.now();
    if (after === undefined || nowMs - askedMs < CHANGES_PATIENCE_MS) return;
    this.#askedChangesMs = nowMs;
    const changes = await link.requestChanges(after);
    if (changes !== undefined) relay.mergeServerChanges(digest.entry, changes);
    if (this.#askedChangesMs === nowMs) this.#askedChangesMs = undefined;
  }

  /** Gets a newer configuration where it is cheapest: a peer, else the store. */
  async #fetchConfiguration(peer: EntryId, link: PeerLink): Promise<void> {
    const { objects, log } = this.#options;
    const { kind, name } = this.#options.configuration;
    const take = (text: string | undefined) => {
      if (text !== undefined) this.#adopt(JSON.parse(text), peer);
      return text !== undefined;
    };
    if (take(await link.requestChunk(SMALL_CONFIGURATION_CHUNK))) return;
    try {
      const main = await objects.read(kind, name);
      if (main !== undefined) this.#adopt(main);
    } catch (error) {
      log(LOG_EVENTS.platformUnreachable, { kind, reason: messageOf(error) });
      take(await link.requestChunk(CONFIGURATION_CHUNK));
    }
  }

  #readChunk(name: ContentHash): string | undefined {
    if (this.#configuration === undefined) return undefined;
    this.#configurationText ??= JSON.stringify(this.#configuration);
    const { length } = this.#configurationText;
    const isRefused = name === SMALL_CONFIGURATION_CHUNK &&
      length > SMALL_CONFIGURATION_MAX_CHARACTERS;
    return isRefused ? undefined : this.#configurationText;
  }
}
