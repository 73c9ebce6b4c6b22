/**
 * Keeps a relay's configuration and server list in sync with the shared store,
 * which a few entries read for all, and with peer entries. The sync with peers
 * continues while this entry can't reach the store.
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { type Instance, InstanceState } from "../connection/instance.ts";
import type { Door } from "../connection/guarded_door.ts";
import type { PeerLink } from "../gossip/peer_link.ts";
import type { GossipDigest } from "../gossip/peer_protocol.ts";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import { hashText } from "../hashing.ts";
import type { EntryId } from "../ids.ts";
import type { RouteTable } from "../version/route_table.ts";
import {
  type ConfigurationSource,
  ConfigurationSync,
} from "./configuration_sync.ts";
import type { RetryLender } from "../placement/retry_budget.ts";
import { CrashBlockArchive } from "./crash_block_archive.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { RegisteredServer, UnusableField } from "./registered_server.ts";
import type { Log } from "./log.ts";
import { Membership } from "../gossip/membership.ts";
import { ObjectWatch } from "./object_watch.ts";
import { Peers } from "../gossip/peers.ts";
import type { Relay, ServerChange } from "./relay.ts";
import { type RolloutFormat, RolloutSync } from "../rollout/rollout_sync.ts";
import { UnusableRegistrations } from "./unusable_registrations.ts";

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
  readonly zone: string;
  /** IP address for traffic between entries. */
  readonly host: string;
  /** Port for traffic between entries. */
  readonly peerPort: number;
  /** Limits of the port for peers; see `PeersOptions`. */
  readonly peerDoor?: Door;
  /** Identifies the deployment; its hash is the peers' shared key. */
  readonly deployment: string;
  readonly objects: ObjectStore;
  readonly configuration: ConfigurationSource;
  readonly servers: ServerSource;
  /** Where orders of other versions are stored; absent if there are none. */
  readonly rollouts?: RolloutFormat;
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
/** Follows the store and the peers until closed. */
export class StoreSync {
  readonly #options: StoreSyncOptions;
  readonly #peers: Peers;
  readonly #configurationSync: ConfigurationSync;
  readonly #membership: Membership;
  readonly #blockArchive: CrashBlockArchive;
  readonly #configurationWatch: ObjectWatch;
  readonly #serverWatch: ObjectWatch;
  readonly #rolloutSync: RolloutSync | undefined;
  readonly #unusableRegistrations: UnusableRegistrations;
  #hasServerList = false;
  /** When the pending request for a peer's changes was sent, in ms. */
  #changesRequestedMs: number | undefined;

  private constructor(options: StoreSyncOptions) {
    this.#options = options;
    this.#unusableRegistrations = UnusableRegistrations.create(options.log);
    this.#configurationSync = ConfigurationSync.create({
      ...options,
      broadcastDigest: () => this.#peers.broadcastDigest(),
    });
    this.#configurationWatch = this.#createConfigurationWatch();
    this.#serverWatch = this.#createServerWatch();
    this.#rolloutSync = this.#createRolloutSync();
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
    this.#rolloutSync?.run();
  }

  /** Sends a digest soon, to pass on changes read from the store. */
  scheduleDigestBroadcast(): void {
    this.#peers.scheduleDigestBroadcast();
  }

  /** Announces an assigned stream soon, unless peers form a partial mesh. */
  schedulePlacementBroadcast(): void {
    this.#peers.schedulePlacementBroadcast();
  }

  /** Yields the peers that may lend part of their retry budget. */
  retryLenders(): Iterable<RetryLender> {
    return this.#peers.retryLenders();
  }

  /** Changes the interval at which servers renew their registrations, in ms. */
  setHeartbeat(heartbeatMs: number): void {
    const thresholdMs = outageThresholdMs(heartbeatMs);
    this.#configurationWatch.setOutageThreshold(thresholdMs);
    this.#serverWatch.setOutageThreshold(thresholdMs);
    this.#rolloutSync?.setOutageThreshold(thresholdMs);
  }

  /** Changes the id of the deployment. */
  setDeployment(deployment: string): void {
    this.#peers.setKey(hashText(deployment));
  }

  /** Reads the store without waiting: it may be reachable again. */
  retryNow(): void {
    this.#configurationWatch.retryNow();
    this.#serverWatch.retryNow();
    this.#rolloutSync?.retryNow();
  }

  /** Reads again what the store may have lost: it came back from a copy. */
  handleRestoredStore(): void {
    this.#blockArchive.refresh();
    this.#membership.refresh();
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
    this.#rolloutSync?.close();
    this.#peers.close();
    await this.#membership.close();
  }

  #createPeers(): Peers {
    const { entry, zone, deployment, log, relay, peerDoor } = this.#options;
    return Peers.create({
      ...peerDoor !== undefined && { door: peerDoor },
      entry,
      zone,
      key: hashText(deployment),
      log,
      digestIntervalMs: DIGEST_INTERVAL_MS,
      createDigest: () => this.#createDigest(),
      onDigest: (digest, link) => this.#mergeDigest(digest, link),
      onPeerLinked: () => relay.context.crashAccount.repeatNews(),
      onPeerLost: (peer) => {
        this.#configurationSync.forgetPeer(peer);
        relay.removePeer(peer);
      },
      readChunk: (name) => this.#configurationSync.readChunk(name),
      readChanges: (after) => relay.changesAfter(after),
      lendRetries: (service, wanted) =>
        relay.context.retryBudget.lend(service, wanted),
    });
  }

  #createDigest(): GossipDigest {
    const members = this.#membership.latest;
    const digest = this.#options.relay.createDigest();
    return members === undefined ? digest : { ...digest, members };
  }

  #createMembership(): Membership {
    const { entry, zone, host, peerPort, objects, log, random, relay } =
      this.#options;
    return Membership.create({
      objects,
      self: { entry, address: `${host}:${peerPort}`, zone },
      incarnation: randomUUID(),
      log,
      now: relay.context.now,
      random,
      isAlone: () => this.#peers.isAlone,
      isReader: () => relay.readerElection.mustRead,
      goneEntries: () => this.#peers.goneEntries(),
      onMembers: (members) => {
        const names = new Set([
          entry,
          ...members.map((member) => member.entry),
        ]);
        relay.setRegisteredEntryCount(names.size);
        this.#peers.setInstances(
          members.map(({ entry: name, ...member }): Instance => ({
            ...member,
            name,
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
      if (found !== undefined) this.#configurationSync.adopt(found);
    };
    return ObjectWatch.create({
      ...this.#createWatchOptions(),
      kind,
      batchDelayMs: 0,
      followsNewestOnly: true,
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

  #createRolloutSync(): RolloutSync | undefined {
    const { objects, log, relay, rollouts: source } = this.#options;
    const { rollouts } = relay;
    if (source === undefined || !rollouts.isEnabled) return undefined;
    return RolloutSync.create({
      rollouts,
      objects,
      source,
      log,
      isDecider: () => relay.readerElection.isFirstReader,
      createWatch: (handlers) =>
        ObjectWatch.create({
          ...this.#createWatchOptions(),
          kind: source.kind,
          batchDelayMs: 0,
          ...handlers,
        }),
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
      entryCount: () => relay.entryCount,
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

  #mergeDigest(digest: GossipDigest, link: PeerLink): void {
    const { relay, log } = this.#options;
    relay.mergeDigest(digest);
    if (digest.members !== undefined) this.#membership.merge(digest.members);
    this.#fetchChanges(digest, link);
    if (relay.needsServerRelist && this.#serverWatch.requestRelist()) {
      log(LOG_EVENTS.serverListMismatch, { peer: digest.entry });
    }
    this.#configurationSync.recordAnnouncement(digest, link);
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
}

function outageThresholdMs(heartbeatMs: number): number {
  return OUTAGE_MIN_HEARTBEATS * heartbeatMs;
}
