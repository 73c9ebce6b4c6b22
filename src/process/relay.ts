/**
 * Shared state of an entry that proxies requests: the server list, the request
 * queue, the retry budget and what it exchanges with other entries.
 */

import { randomUUID } from "node:crypto";
import {
  isListedLeaving,
  type ReportFetcher,
  type ServerReport,
} from "../connection/backend_report.ts";
import {
  type GossipDigest,
  PeerMessageKind,
  type RelayDigest,
  type ServerChanges,
} from "../gossip/peer_protocol.ts";
import type { CachedPromptsFetcher } from "../connection/cached_prompts.ts";
import { ReadTurns } from "../connection/read_turns.ts";
import {
  ResponseBuffers,
  type ResponseLimits,
} from "../connection/response_buffers.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";
import type { SlotRequest } from "../request/acquire_slot.ts";
import { proxyClosingMs } from "../request/proxy_admission.ts";
import { ShutdownAdmission } from "../request/shutdown_admission.ts";
import type { KvCopier, KvCopyReleaser } from "../request/kv_copy_manager.ts";
import type { RouteTable } from "../version/route_table.ts";
import { CallerWaitEstimator } from "./caller_wait_estimator.ts";
import { CrashAccount } from "./crash_account.ts";
import { Dispatcher } from "./dispatcher.ts";
import { type EntryView, groupServersByState } from "./entry_view.ts";
import { DrainingSource, parseLeavingServers } from "./leaving_servers.ts";
import { LeftServers } from "./left_servers.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { RegisteredServer } from "./registered_server.ts";
import { RegisteredServers } from "./registered_servers.ts";
import type { Log } from "./log.ts";
import { PeerLoads } from "./peer_loads.ts";
import { PARTIAL_MESH_MIN_ENTRIES } from "../gossip/peers.ts";
import { PromptCacheIndex } from "./prompt_cache_index.ts";
import type { RelayContext } from "./relay_context.ts";
import { RelayMetrics } from "./relay_metrics.ts";
import { LoadInquiry } from "../placement/load_inquiry.ts";
import { PromptSearch } from "../placement/prompt_search.ts";
import type { ServerCriteria } from "../placement/server_selector.ts";
import { RetryBudget, type RetryLender } from "../placement/retry_budget.ts";
import { chooseByVersion } from "../rollout/choose_by_version.ts";
import type { ExposureLimits } from "../rollout/exposure_budget.ts";
import { Rollouts } from "../rollout/rollouts.ts";
import { ServerList } from "./server_list.ts";
import { keepHoldOffs } from "../health/keep_hold_offs.ts";
import { ServerReports } from "../health/server_reports.ts";
import { SilentServers } from "./silent_servers.ts";
import { QueueOrder, Routing } from "./settings.ts";
import { ReaderElection } from "../gossip/reader_election.ts";

/** Where a configuration came from; part of the log line of its adoption. */
export type ConfigurationOrigin = {
  /** `platform`, or the name of an entry. */
  readonly source: string;
  /** Time since a peer announced a newer version than was adopted, in ms. */
  readonly behind_ms?: number;
};

/** Dependencies and settings of a relay. */
export interface RelayOptions {
  readonly entry: EntryId;
  readonly log: Log;
  readonly fetchReport: ReportFetcher;
  /** Absent if servers don't tell which prompts they have cached. */
  readonly fetchCachedPrompts?: CachedPromptsFetcher;
  readonly copyKvCache: KvCopier;
  readonly releaseKvCopy: KvCopyReleaser;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly retryRatio: number;
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
  /** Which queued request is served first; fair if absent. */
  readonly queueOrder?: QueueOrder;
  /** Called when a stream was assigned to a server. */
  readonly onStreamPlaced?: () => void;
  /**
   * Called when peers should get a digest at once: the store reported a change
   * or became unreachable.
   */
  readonly onStoreChange?: () => void;
  /** Limits for versions that are not known to be good; absent if none. */
  readonly exposureLimits?: ExposureLimits | undefined;
  /** Returns the entries to borrow retries from; none if absent. */
  readonly retryLenders?: () => Iterable<RetryLender>;
}

/** A change in the platform's server list. */
export interface ServerChange {
  readonly name: string;
  readonly revision: ObjectRevision;
  /** `undefined` when the server was removed or can't be used. */
  readonly server: RegisteredServer | undefined;
  /** Whether the server was removed, so that it may register again. */
  readonly isRemoved?: boolean;
}

/** Joins the causes of one block in logs. */
const CAUSE_SEPARATOR = " + ";
/** Requests that an entry queues per service and priority rank. */
const QUEUE_MAX_LENGTH = 200;
/**
 * Limits of the responses to calls, which have some KB; beside them an entry
 * with 200 MB of memory needs room for its streams.
 */
const CALL_RESPONSE_LIMITS: ResponseLimits = {
  responseMaxBytes: 2_097_152,
  totalMaxBytes: 8_388_608,
};
/** Checksums are printed in hexadecimal. */
const CHECKSUM_RADIX = 16;
/**
 * Time for servers to register again whose registrations expired during an
 * outage of the store, in ms.
 */
const REREGISTRATION_GRACE_MS = 1_900;

/** State that all requests of one entry process share. */
export class Relay {
  readonly context: RelayContext;
  readonly servers: RegisteredServers;
  /** The orders to move services to other versions. */
  readonly rollouts: Rollouts;
  readonly #options: RelayOptions;
  readonly #peerLoads: PeerLoads;
  readonly #serverList: ServerList;
  readonly #leftServers: LeftServers;
  /** Decides whether this entry reads the store for all entries. */
  readonly readerElection: ReaderElection;
  /** Resolves once the first configuration has been adopted. */
  readonly configured: Promise<void>;
  #resolveConfigured: () => void = () => undefined;
  #routes: RouteTable | undefined;
  #registeredEntryCount = 1;

  private constructor(options: RelayOptions) {
    this.#options = options;
    this.configured = new Promise((resolve) =>
      this.#resolveConfigured = resolve
    );
    const { entry, log, now, random } = options;
    this.#serverList = ServerList.create({ now });
    this.#leftServers = LeftServers.create(now);
    this.readerElection = ReaderElection.create({
      entry,
      now,
      isPartialMesh: () => this.entryCount >= PARTIAL_MESH_MIN_ENTRIES,
      onStoreUnreachable: () => options.onStoreChange?.(),
    });
    this.#peerLoads = PeerLoads.create(now);
    const metrics = RelayMetrics.create();
    this.rollouts = this.#createRollouts(metrics, () => dispatcher.pump());
    const { rollouts } = this;
    this.servers = RegisteredServers.create({
      now,
      random,
      log,
      isInService: (server) => rollouts.isInService(server),
      kvCacheTokensOf: (service) => this.#kvCacheTokensOf(service),
      isKnownService: (service) => this.#routes?.hasService(service) ?? true,
      onCapacityAvailable: () => dispatcher.pump(),
      onDraining: (source) => metrics.drainingServers.inc({ source }),
      onHoldOff: () => this.context.metrics.holdOffs.inc(),
      onFewerServers: () => dispatcher.rejectHeldOff(),
    });
    const { servers } = this;
    const dispatcher = Dispatcher.create<SlotRequest>({
      now,
      log,
      queueMaxLength: QUEUE_MAX_LENGTH,
      policy: {
        queueOrder: options.queueOrder ?? QueueOrder.Fair,
        routing: Routing.LeastLoaded,
        // Engines preempt by priority on their own.
        preempts: false,
        refusesEarly: true,
      },
      pool: {
        choose: (criteria) => this.#choose(criteria),
        heldOffUntilMs: (criteria) =>
          criteria.hasBegun ? undefined : servers.heldOffUntilMs(criteria),
        begin: (name, { load, onAssigned }) => {
          servers.begin(name, load);
          const server = servers.view(name)?.server;
          if (server !== undefined) rollouts.recordPlacement(server);
          onAssigned?.(name);
          // Announced at once, or peers that choose now pick the same server.
          if (load.tokens > 0) options.onStreamPlaced?.();
        },
        end: (name, { load }) => servers.end(name, load),
      },
    });
    const reports = ServerReports.create(
      now,
      keepHoldOffs((server) => this.#fetchReport(server), servers),
    );
    this.context = {
      log,
      now,
      servers,
      rollouts,
      dispatcher,
      reports,
      silentServers: SilentServers.create(servers, reports),
      promptCacheIndex: PromptCacheIndex.create({ now }),
      promptSearch: this.#createPromptSearch(),
      loadInquiry: LoadInquiry.create({
        now,
        isNeeded: () => this.entryCount >= PARTIAL_MESH_MIN_ENTRIES,
        choose: (criteria) => this.#choose(criteria),
        reportedLoad: (server) => servers.reportedLoad(server),
        recordReportedLoad: (server, load) =>
          servers.recordReportedLoad(server, load),
        fetchReport: (server) => reports.fetch(server),
      }),
      responseBuffers: ResponseBuffers.create(CALL_RESPONSE_LIMITS),
      crashAccount: this.#createCrashAccount(metrics),
      readTurns: ReadTurns.create(now),
      metrics,
      retryBudget: RetryBudget.create({
        now,
        ratio: options.retryRatio,
        allowance: options.retryAllowance,
        windowMs: options.retryWindowMs,
        entryCount: () => this.entryCount,
        random,
        lenders: () => options.retryLenders?.() ?? [],
        onBorrowed: (count) => metrics.borrowedRetries.inc(count),
      }),
      callerWaits: CallerWaitEstimator.create(now),
      shutdownAdmission: ShutdownAdmission.create({
        now,
        closingMs: proxyClosingMs,
        onKindClosed: () => dispatcher.rejectBlocked(),
      }),
      copyKvCache: options.copyKvCache,
      releaseKvCopy: options.releaseKvCopy,
      supportsKvBackup: (service) =>
        this.#routes?.service(service)?.engine?.supportsKvBackup === true,
    };
  }

  /** Creates a relay without a configuration and without servers. */
  static create(options: RelayOptions): Relay {
    return new Relay(options);
  }

  /** The adopted configuration; `undefined` before the first. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Version of the adopted configuration; -1 before the first. */
  get configurationVersion(): number {
    return this.#routes?.version ?? -1;
  }

  /**
   * Number of entries, this one included: the larger of those registered and
   * those whose digests arrive.
   */
  get entryCount(): number {
    return Math.max(this.#registeredEntryCount, this.#peerLoads.peerCount + 1);
  }

  /** Sets the number of registered entries; peer links reach only some. */
  setRegisteredEntryCount(count: number): void {
    this.#registeredEntryCount = count;
  }

  /** Drops the state of a peer whose link closed; it has most likely exited. */
  removePeer(entry: EntryId): void {
    this.readerElection.forgetPeer(entry);
    this.#serverList.forgetPeer(entry);
    this.#peerLoads.forgetPeer(entry);
    this.servers.setPeerLoads(() => this.#peerLoads.total());
  }

  /** Whether the server list has to be read from the store again. */
  get needsServerRelist(): boolean {
    return this.#serverList.needsRelist;
  }

  /**
   * Adopts a configuration if it is newer; returns whether it did.
   *
   * @param origin where it came from, for the log
   */
  adopt(table: RouteTable, origin: ConfigurationOrigin): boolean {
    if (table.version <= this.configurationVersion) return false;
    this.#routes = table;
    this.#resolveConfigured();
    this.servers.refreshServices();
    this.context.metrics.configurationVersion.set(table.version);
    this.#options.log(LOG_EVENTS.revisionAdopted, {
      revision: table.version,
      ...origin,
    });
    return true;
  }

  /**
   * Replaces the server list by a complete one at a revision of the store.
   *
   * @param isAfterOutage whether registrations may be missing because they
   * expired during an outage of the store; their servers stay in use until they
   * had time to register again
   */
  replaceServerList(
    servers: readonly ServerChange[],
    { revision, isAfterOutage }: {
      readonly revision: ObjectRevision;
      readonly isAfterOutage: boolean;
    },
  ): void {
    const listedNames = new Set(servers.map(({ name }) => name));
    this.servers.applyTogether(() => {
      for (const change of servers) this.#applyStoreChange(change);
      for (const missing of this.#serverList.missing(listedNames, revision)) {
        this.#remove(missing, isAfterOutage);
      }
    });
    this.#serverList.markLoaded();
  }

  /** Applies changes from the store; see `replaceServerList`. */
  applyServerChanges(
    changes: readonly ServerChange[],
    isAfterOutage: boolean,
  ): void {
    this.servers.applyTogether(() => {
      for (const change of changes) {
        if (change.isRemoved) this.#remove(change, isAfterOutage);
        else this.#applyStoreChange(change);
      }
    });
  }

  #remove(
    { name, revision }: Pick<ServerChange, "name" | "revision">,
    isAfterOutage: boolean,
  ): void {
    const removal: ServerChange = { name, revision, server: undefined };
    if (!isAfterOutage) {
      const listed = this.#serverList.find(name);
      if (listed?.server) this.#leftServers.record(listed.server, revision);
      return this.#applyStoreChange(removal);
    }
    const knownRevision = this.#serverList.find(name)?.revision;
    setTimeout(() => {
      const hasReregistered =
        this.#serverList.find(name)?.revision !== knownRevision;
      if (!hasReregistered) this.#applyStoreChange(removal);
    }, REREGISTRATION_GRACE_MS).unref();
  }

  /** Applies a change read from the store and has it sent to peers at once. */
  #applyStoreChange(change: ServerChange): void {
    if (this.#applyChange(change)) this.#options.onStoreChange?.();
  }

  /** Applies a change unless a newer one is known; returns whether it did. */
  #applyChange({ name, revision, server }: ServerChange): boolean {
    const known = this.#serverList.find(name);
    const isNew = this.#serverList.apply({
      name,
      revision,
      server: server ?? null,
    });
    if (!isNew) return false;
    if (known?.server?.isLeaving) {
      this.#leftServers.record(known.server, known.revision);
    }
    if (server !== undefined && this.#leftServers.hasLeft(server, revision)) {
      this.servers.markLeaving(server, DrainingSource.List);
    }
    if (server === undefined) {
      this.servers.delete(name);
    } else {
      this.rollouts.recordServer(server);
      this.servers.set(server);
    }
    return true;
  }

  /** Returns a snapshot of the entry's state, for its log. */
  view(): EntryView {
    return {
      configuration: this.configurationVersion,
      listed: this.#serverList.checksum.toString(CHECKSUM_RADIX),
      isReading: this.readerElection.mustRead,
      entries: this.entryCount,
      blocked: this.context.crashAccount.blocks()
        .map(({ causes }) => causes.join(CAUSE_SEPARATOR)).toSorted(),
      ...groupServersByState(this.servers.views(), this.#options.now()),
    };
  }

  /** Returns the digest that is sent to peers. */
  createDigest(): GossipDigest {
    return {
      kind: PeerMessageKind.Digest,
      entry: this.#options.entry,
      head: null,
      suspicions: [],
      orders: this.#createOrderDigest(),
    };
  }

  /** Merges a peer's digest. */
  mergeDigest({ entry, orders }: GossipDigest): void {
    if (orders === undefined || entry === this.#options.entry) return;
    this.#peerLoads.set(entry, orders.loads);
    this.servers.setPeerLoads(() => this.#peerLoads.total());
    for (const [prompt, server] of orders.prompts) {
      this.context.promptCacheIndex.record(prompt, server, false);
    }
    for (const name of orders.dead) this.servers.applyPeerEjection(name);
    for (const incarnation of parseLeavingServers(orders.leaving)) {
      this.servers.markLeaving(incarnation, DrainingSource.Peer);
    }
    if (orders.rollouts !== undefined) this.rollouts.merge(orders.rollouts);
    this.readerElection.merge(entry, orders.readers);
    const { crashAccount } = orders;
    if (crashAccount !== undefined) {
      this.context.crashAccount.merge(crashAccount);
    }
  }

  /**
   * Compares a peer's server list with this one. Returns the number of the last
   * of the peer's changes known here when later ones may be missing, else
   * `undefined`.
   */
  compareServerList({ entry, orders }: GossipDigest): number | undefined {
    if (orders === undefined) return undefined;
    const { listed: checksum, changes } = orders;
    return this.#serverList.compare(entry, { checksum, changeCount: changes });
  }

  /** Returns the changes to this entry's server list after number `after`. */
  changesAfter(after: number): ServerChanges {
    return this.#serverList.changesAfter(after);
  }

  /** Merges changes to a peer's server list. */
  mergeServerChanges(entry: EntryId, { upTo, news }: ServerChanges): void {
    this.servers.applyTogether(() => {
      for (const { server, ...change } of news) {
        this.#applyChange({ ...change, server: server ?? undefined });
      }
    });
    this.#serverList.recordSynced(entry, upTo);
  }

  #createOrderDigest(): RelayDigest {
    const crashAccount = this.context.crashAccount.digest();
    const rollouts = this.rollouts.digest();
    return {
      configuration: this.configurationVersion,
      loads: this.servers.ownLoads(),
      prompts: this.context.promptCacheIndex.digest(),
      changes: this.#serverList.changeCount,
      listed: this.#serverList.checksum,
      readers: this.readerElection.liveness(),
      dead: this.servers.unreachableServers(),
      leaving: this.servers.recentlyLeaving(),
      ...crashAccount !== undefined && { crashAccount },
      ...rollouts !== undefined && { rollouts },
    };
  }

  /** Returns the server for a request, if one has capacity now. */
  #choose(criteria: ServerCriteria): RegisteredServer | undefined {
    const filters = this.rollouts.filtersFor(criteria.service);
    return chooseByVersion(
      filters,
      criteria,
      (request) => this.servers.choose(request),
    );
  }

  #createRollouts(metrics: RelayMetrics, onChange: () => void): Rollouts {
    const { entry, log, now, random, exposureLimits } = this.#options;
    return Rollouts.create({
      limits: exposureLimits,
      writer: `${entry}/${randomUUID()}`,
      log,
      now,
      random,
      entryCount: () => this.entryCount,
      serversOf: (service) => this.servers.serversOf(service),
      isUsable: (name) => this.servers.isUsable(name),
      onChange,
      onPlacement: (service, isCandidate) =>
        metrics.rolloutPlacements.inc({
          service,
          version: isCandidate ? "new" : "old",
        }),
    });
  }

  #createCrashAccount(metrics: RelayMetrics): CrashAccount {
    const { entry, log, now, random } = this.#options;
    return CrashAccount.create({
      entry,
      now,
      random,
      onBlocked: ({ causes, score, rate, crashes, requests, untilMs }) => {
        metrics.crashCausesBlocked.inc();
        log(LOG_EVENTS.crashCauseBlocked, {
          cause: causes.join(CAUSE_SEPARATOR),
          crashes: score,
          rate: Number(rate.toFixed(2)),
          requests,
          servers: crashes.map(({ server }) => server).join(" "),
          for_ms: Math.round(untilMs - now()),
        });
        this.context.dispatcher.rejectBlocked();
      },
      onCleared: (cause) => log(LOG_EVENTS.crashCauseCleared, { cause }),
    });
  }

  #createPromptSearch(): PromptSearch | undefined {
    const { now, fetchCachedPrompts } = this.#options;
    if (fetchCachedPrompts === undefined) return undefined;
    return PromptSearch.create({
      now,
      fetchCachedPrompts: keepHoldOffs(fetchCachedPrompts, this.servers),
      likelyServers: (criteria, count) =>
        this.servers.likelyServers(criteria, count),
    });
  }

  async #fetchReport(
    server: RegisteredServer,
  ): Promise<ServerReport | undefined> {
    const report = await this.#options.fetchReport(server);
    if (isListedLeaving(report, server)) {
      this.servers.markLeaving(server, DrainingSource.Report);
    }
    return report;
  }

  #kvCacheTokensOf(service: string): number {
    const engine = this.#routes?.service(service)?.engine;
    return engine?.kvCacheTokens ?? Number.POSITIVE_INFINITY;
  }
}
