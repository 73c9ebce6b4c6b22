/**
 * Keeps a relay's configuration and server list in sync with the shared store,
 * which a few entries read for all, and with peer entries. The sync with peers
 * continues while this entry can't reach the store.
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { type Instance, InstanceState } from "../connection/instance.ts";
import type { PeerLink } from "../connection/peer_link.ts";
import type { GossipDigest } from "../connection/peer_protocol.ts";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import { messageOf } from "../errors.ts";
import { hashText } from "../hashing.ts";
import type { ContentHash, EntryId } from "../ids.ts";
import type { RouteTable } from "../version/route_table.ts";
import { ConfigurationAnnouncements } from "./configuration_announcements.ts";
import { CrashBlockArchive } from "./crash_block_archive.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { RegisteredServer, UnusableField } from "./registered_server.ts";
import type { Log } from "./log.ts";
import { Membership } from "./membership.ts";
import { ObjectWatch } from "./object_watch.ts";
import { Peers } from "./peers.ts";
import type { Relay, ServerChange } from "./relay.ts";
import { UnusableRegistrations } from "./unusable_registrations.ts";

/** Where the configuration is stored, and how it is parsed. */
export interface ConfigurationSource {
  readonly kind: string;
  readonly name: string;
  /** Errors: throws when the configuration is incomplete or invalid. */
  readonly parse: (spec: unknown) => RouteTable;
}

/** Where backend servers register, and how registrations are parsed. */
export interface ServerSource {
  readonly kind: string;
  /**
   * Returns `undefined` for a registration without a usable server, and calls
   * `onUnusable` with the reason.
   */
  readonly parse: (
    object: StoredObject,
    onUnusable: (field: UnusableField) => void,
  ) => RegisteredServer | undefined;
}

/** Dependencies and settings of a store sync. */
export interface StoreSyncOptions {
  readonly entry: EntryId;
  /** IP address for traffic between entries. */
  readonly host: string;
  /** Port for traffic between entries. */
  readonly peerPort: number;
  /** Identifies the deployment; its hash is the peers' shared key. */
  readonly deployment: string;
  readonly objects: ObjectStore;
  readonly configuration: ConfigurationSource;
  readonly servers: ServerSource;
  /** Interval at which backend servers renew their registrations, in ms. */
  readonly heartbeatMs: number;
  readonly relay: Relay;
  readonly log: Log;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Called when a configuration was adopted. */
  readonly onConfiguration: (table: RouteTable) => void;
}

/**
 * Longest time that the store blocks a watch call, in ms. Its response also
 * shows all entries that the store is reachable.
 */
const WATCH_WAIT_MS = 600;
/**
 * Outage after which registrations may have expired, in heartbeats: they expire
 * after three missed ones, of which one may precede the outage; less jitter.
 */
const OUTAGE_MIN_HEARTBEATS = 1.85;
/** Delay after changes that batches those of one event, in ms. */
const SERVER_BATCH_DELAY_MS = 100;
/** Interval between digests, in ms; servers take 1 s to prefill a prompt. */
const DIGEST_INTERVAL_MS = 150;
/** Time for a peer to send its changes before another one is queried, in ms. */
const CHANGES_TIMEOUT_MS = 250;
/** Longest time that the start waits for the stored blocks, in ms. */
const RESTORE_WAIT_MAX_MS = 500;
/** Chunk name under which peers request the configuration. */
const CONFIGURATION_CHUNK = "configuration" as ContentHash;
/** The same, answered only if small enough to be copied between peers. */
const SMALL_CONFIGURATION_CHUNK = "small-configuration" as ContentHash;
/**
 * Largest configuration answered under that name; a slow link transfers it in
 * 0.1 s. Larger ones are read from the store.
 */
const SMALL_CONFIGURATION_MAX_CHARACTERS = 65_536;

const MS_PER_S = 1_000;
/** Time without the announced configuration after which it is logged, in ms. */
const BEHIND_LOG_AFTER_MS = 500;
/** Shortest time between two of these log lines, in ms. */
const BEHIND_LOG_INTERVAL_MS = 1_000;

/** Follows the store and the peers until closed. */
export class StoreSync {
  readonly #options: StoreSyncOptions;
  readonly #peers: Peers;
  readonly #membership: Membership;
  readonly #blockArchive: CrashBlockArchive;
  readonly #configurationWatch: ObjectWatch;
  readonly #serverWatch: ObjectWatch;
  readonly #unusableRegistrations: UnusableRegistrations;
  /** The object that holds the adopted configuration. */
  #configurationObject: StoredObject | undefined;
  /** The same as JSON or empty, cached once a peer has requested it. */
  #configurationJson: string | undefined;
  #hasServerList = false;
  #isFetchingConfiguration = false;
  readonly #announcements = ConfigurationAnnouncements.create<PeerLink>();
  #behindLoggedMs = Number.NEGATIVE_INFINITY;
  /** When the pending request for a peer's changes was sent, in ms. */
  #changesRequestedMs: number | undefined;

  private constructor(options: StoreSyncOptions) {
    this.#options = options;
    this.#unusableRegistrations = UnusableRegistrations.create(options.log);
    this.#configurationWatch = this.#createConfigurationWatch();
    this.#serverWatch = this.#createServerWatch();
    this.#peers = this.#createPeers();
    this.#membership = this.#createMembership();
    this.#blockArchive = this.#createBlockArchive();
  }

  /** Creates a store sync; `start` starts it. */
  static create(options: StoreSyncOptions): StoreSync {
    return new StoreSync(options);
  }

  /** Whether the server list has been read. */
  get hasServerList(): boolean {
    return this.#hasServerList;
  }

  /** Listens for peers and starts the watches and the membership task. */
  async start(): Promise<void> {
    await this.#peers.listen(this.#options.host, this.#options.peerPort);
    this.#membership.run();
    // Requests wait for the configuration, so the blocks are read before it.
    await Promise.race([
      this.#blockArchive.restore(),
      sleep(RESTORE_WAIT_MAX_MS),
    ]);
    this.#blockArchive.run();
    this.#configurationWatch.run();
    this.#serverWatch.run();
  }

  /** Sends a digest soon, to pass on changes read from the store. */
  scheduleDigestBroadcast(): void {
    this.#peers.scheduleDigestBroadcast();
  }

  /** Announces an assigned stream soon, unless peers form a partial mesh. */
  schedulePlacementBroadcast(): void {
    this.#peers.schedulePlacementBroadcast();
  }

  /** Changes the interval at which servers renew their registrations, in ms. */
  setHeartbeat(heartbeatMs: number): void {
    const thresholdMs = outageThresholdMs(heartbeatMs);
    this.#configurationWatch.setOutageThreshold(thresholdMs);
    this.#serverWatch.setOutageThreshold(thresholdMs);
  }

  /** Changes the id of the deployment. */
  setDeployment(deployment: string): void {
    this.#peers.setKey(hashText(deployment));
  }

  /** Reads the store without waiting: it may be reachable again. */
  retryNow(): void {
    this.#configurationWatch.retryNow();
    this.#serverWatch.retryNow();
  }

  /** Removes the registration; links stay open until `close`. */
  deregister(): Promise<void> {
    return this.#membership.close();
  }

  /** Stops all tasks, closes all links and removes the registration. */
  async close(): Promise<void> {
    this.#blockArchive.close();
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
      digestIntervalMs: DIGEST_INTERVAL_MS,
      createDigest: () => relay.createDigest(),
      onDigest: (digest, link) => this.#mergeDigest(digest, link),
      onPeerLost: (peer) => {
        this.#announcements.forgetPeer(peer);
        relay.removePeer(peer);
      },
      readChunk: (name) => this.#readChunk(name),
      readChanges: (after) => relay.changesAfter(after),
    });
  }

  #createMembership(): Membership {
    const { entry, host, peerPort, objects, log, random } = this.#options;
    return Membership.create({
      objects,
      self: { entry, address: `${host}:${peerPort}` },
      incarnation: randomUUID(),
      log,
      random,
      isAlone: () => this.#peers.isAlone,
      goneEntries: () => this.#peers.goneEntries(),
      onMembers: (members) => {
        const names = new Set([
          entry,
          ...members.map((member) => member.entry),
        ]);
        this.#options.relay.setRegisteredEntryCount(names.size);
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

  #createBlockArchive(): CrashBlockArchive {
    const { entry, objects, log, relay } = this.#options;
    const { crashAccount, now } = relay.context;
    return CrashBlockArchive.create({
      entry,
      objects,
      account: crashAccount,
      isWriter: () => relay.readerElection.isFirstReader,
      log,
      now: () => ({ monotonicMs: now(), unixMs: Date.now() }),
    });
  }

  #createConfigurationWatch(): ObjectWatch {
    const { kind, name } = this.#options.configuration;
    const adoptFrom = (objects: readonly StoredObject[]) => {
      const found = objects.find((object) => object.name === name);
      if (found !== undefined) this.#adoptConfiguration(found);
    };
    return ObjectWatch.create({
      ...this.#createWatchOptions(),
      kind,
      batchDelayMs: 0,
      onList: ({ objects }) => adoptFrom(objects),
      onChanges: (changes) => {
        const existing = changes.filter(({ isDeleted }) => !isDeleted);
        adoptFrom(existing.map(({ object }) => object).toReversed());
      },
    });
  }

  #createServerWatch(): ObjectWatch {
    const { relay, servers } = this.#options;
    return ObjectWatch.create({
      ...this.#createWatchOptions(),
      kind: servers.kind,
      batchDelayMs: SERVER_BATCH_DELAY_MS,
      onList: ({ objects, revision }, isAfterOutage) => {
        const listed = objects.map((object) => this.#parseServer(object));
        relay.replaceServerList(listed, { revision, isAfterOutage });
        this.#hasServerList = true;
      },
      onChanges: (changes, isAfterOutage) => {
        const changed = changes.map(({ object, isDeleted }) =>
          isDeleted ? this.#parseRemoval(object) : this.#parseServer(object)
        );
        relay.applyServerChanges(changed, isAfterOutage);
      },
    });
  }

  #createWatchOptions() {
    const { objects, log, random, relay } = this.#options;
    return {
      objects,
      log,
      random,
      waitMs: WATCH_WAIT_MS,
      outageThresholdMs: outageThresholdMs(this.#options.heartbeatMs),
      readerElection: relay.readerElection,
    };
  }

  #parseServer(object: StoredObject): ServerChange {
    const { name, revision } = object;
    const server = this.#options.servers.parse(object, (field) => {
      this.#unusableRegistrations.record(name, field);
    });
    if (server !== undefined) this.#unusableRegistrations.forget(name);
    return { name, revision, server };
  }

  #parseRemoval({ name, revision }: StoredObject): ServerChange {
    this.#unusableRegistrations.forget(name);
    return { name, revision, server: undefined, isRemoved: true };
  }

  #adoptConfiguration(object: StoredObject, source = "platform"): void {
    const { configuration, relay, log, onConfiguration } = this.#options;
    try {
      const table = configuration.parse(object.spec);
      const behindMs = Math.round(
        this.#announcements.behindMs(performance.now()),
      );
      if (!relay.adopt(table, { source, behind_ms: behindMs })) return;
      relay.context.metrics.configurationBehindSeconds
        .observe(behindMs / MS_PER_S);
      this.#announcements.markAdopted(table.version);
      this.#configurationObject = object;
      this.#configurationJson = undefined;
      onConfiguration(table);
      this.#peers.broadcastDigest();
    } catch (error) {
      log(LOG_EVENTS.revisionFailed, {
        revision: object.revision,
        reason: messageOf(error),
      });
    }
  }

  async #mergeDigest(digest: GossipDigest, link: PeerLink): Promise<void> {
    const { relay, log } = this.#options;
    relay.mergeDigest(digest);
    this.#fetchChanges(digest, link);
    if (relay.needsServerRelist && this.#serverWatch.requestRelist()) {
      log(LOG_EVENTS.serverListMismatch, { peer: digest.entry });
    }
    const version = digest.orders?.configuration ?? -1;
    this.#announcements.record(
      { peer: digest.entry, version, link, heardMs: performance.now() },
      relay.configurationVersion,
    );
    this.#logIfBehind();
    if (
      version <= relay.configurationVersion || this.#isFetchingConfiguration
    ) return;
    this.#isFetchingConfiguration = true;
    try {
      await this.#fetchConfiguration(digest.entry, link);
    } catch (error) {
      log(LOG_EVENTS.revisionFailed, {
        revision: version,
        reason: messageOf(error),
      });
    } finally {
      this.#isFetchingConfiguration = false;
    }
  }

  #logIfBehind(): void {
    const nowMs = performance.now();
    const behindMs = this.#announcements.behindMs(nowMs);
    const isDue = nowMs - this.#behindLoggedMs >= BEHIND_LOG_INTERVAL_MS;
    if (behindMs < BEHIND_LOG_AFTER_MS || !isDue) return;
    this.#behindLoggedMs = nowMs;
    const { configurationVersion } = this.#options.relay;
    const announcements = this.#announcements.newerThan(configurationVersion);
    this.#options.log(LOG_EVENTS.configurationBehind, {
      adopted: configurationVersion,
      announced: announcements.map(({ peer, version }) => `${peer} ${version}`),
      behind_ms: Math.round(behindMs),
    });
  }

  /** Fetches and merges changes to a peer's server list that this one lacks. */
  async #fetchChanges(digest: GossipDigest, link: PeerLink): Promise<void> {
    const { relay } = this.#options;
    const after = relay.compareServerList(digest);
    const requestedMs = this.#changesRequestedMs ?? Number.NEGATIVE_INFINITY;
    const nowMs = performance.now();
    if (after === undefined || nowMs - requestedMs < CHANGES_TIMEOUT_MS) return;
    this.#changesRequestedMs = nowMs;
    const changes = await link.requestChanges(after);
    if (changes !== undefined) relay.mergeServerChanges(digest.entry, changes);
    if (this.#changesRequestedMs === nowMs) {
      this.#changesRequestedMs = undefined;
    }
  }

  /** Fetches a newer configuration: from the peer if small, else the store. */
  async #fetchConfiguration(peer: EntryId, link: PeerLink): Promise<void> {
    const { objects, log } = this.#options;
    const { kind, name } = this.#options.configuration;
    const adoptFrom = (json: string | undefined) => {
      if (json !== undefined) this.#adoptConfiguration(JSON.parse(json), peer);
      return json !== undefined;
    };
    if (adoptFrom(await link.requestChunk(SMALL_CONFIGURATION_CHUNK))) return;
    try {
      const stored = await objects.read(kind, name);
      if (stored !== undefined) this.#adoptConfiguration(stored);
    } catch (error) {
      log(LOG_EVENTS.platformUnreachable, { kind, reason: messageOf(error) });
      adoptFrom(await link.requestChunk(CONFIGURATION_CHUNK));
    }
  }

  #readChunk(name: ContentHash): string | undefined {
    if (this.#configurationObject === undefined) return undefined;
    this.#configurationJson ??= formatObject(this.#configurationObject);
    const { length } = this.#configurationJson;
    const isTooLarge = name === SMALL_CONFIGURATION_CHUNK &&
      length > SMALL_CONFIGURATION_MAX_CHARACTERS;
    return length === 0 || isTooLarge ? undefined : this.#configurationJson;
  }
}

function outageThresholdMs(heartbeatMs: number): number {
  return OUTAGE_MIN_HEARTBEATS * heartbeatMs;
}

/** Returns the object as JSON; empty if it is nested too deeply for that. */
function formatObject(object: StoredObject): string {
  try {
    return JSON.stringify(object);
  } catch {
    return "";
  }
}
