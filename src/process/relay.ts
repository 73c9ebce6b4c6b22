/** The core of an entry that relays orders: its views, its queue, its budget. */

import type { ReportFetcher } from "../connection/backend_report.ts";
import {
  type GossipDigest,
  PeerMessageKind,
  type RelayDigest,
  type ServerChanges,
} from "../connection/peer_protocol.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";
import type { SlotRequest } from "../request/acquire_slot.ts";
import type { KvCopier, KvCopyReleaser } from "../request/kv_copy_manager.ts";
import type { RouteTable } from "../version/route_table.ts";
import { CallerWaitEstimator } from "./caller_wait_estimator.ts";
import { Dispatcher } from "./dispatcher.ts";
import { type EntryView, groupServersByState } from "./entry_view.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { LiveServer } from "./live_server.ts";
import { LiveServers } from "./live_servers.ts";
import type { Log } from "./log.ts";
import { PeerLoads } from "./peer_loads.ts";
import { PARTIAL_MESH_MIN_ENTRIES } from "./peers.ts";
import { PromptCacheIndex } from "./prompt_cache_index.ts";
import type { RelayContext } from "./relay_context.ts";
import { RelayMetrics } from "./relay_metrics.ts";
import { RetryBudget } from "./retry_budget.ts";
import { ServerList } from "./server_list.ts";
import { ServerReports } from "./server_reports.ts";
import { QueueOrder, Routing } from "./settings.ts";
import { ReaderElection } from "./reader_election.ts";
import { CrashSuspicions } from "./crash_suspicions.ts";

/** What a relay needs of its process. */
export interface RelayOptions {
  readonly entry: EntryId;
  readonly log: Log;
  readonly fetchReport: ReportFetcher;
  readonly copyKvCache: KvCopier;
  readonly releaseKvCopy: KvCopyReleaser;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Number from 0 up to 1. */
  readonly random: () => number;
  readonly retryRatio: number;
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
  /** Which waiting order is served first; fair if absent. */
  readonly queueOrder?: QueueOrder;
  /** Called when a stream was given to a server. */
  readonly onStreamPlaced?: () => void;
  /** Called when the store told of a change that other entries may not know. */
  readonly onStoreChange?: () => void;
}

/** A change of the platform's list of servers. */
export interface ServerChange {
  readonly name: string;
  readonly revision: ObjectRevision;
  /** `undefined` when the server is gone or can't be used. */
  readonly server: LiveServer | undefined;
}

/** Requests that may wait in one rank of a service at one entry. */
const QUEUE_LENGTH = 200;
/** Checksums are printed in hexadecimal digits. */
const CHECKSUM_RADIX = 16;
/** Time for entries to return that lapsed while the store was away, in ms. */
const RETURN_MS = 1_900;

/** What the orders of one process share. */
export class Relay {
  readonly context: RelayContext;
  readonly servers: LiveServers;
  readonly #options: RelayOptions;
  readonly #others: PeerLoads;
  readonly #list: ServerList;
  /** Decides whether this entry reads the store for all. */
  readonly readerElection: ReaderElection;
  /** Resolves once the first configuration is in force. */
  readonly configured: Promise<void>;
  #setConfigured: () => void = () => undefined;
  #routes: RouteTable | undefined;
  #registered = 1;

  private constructor(options: RelayOptions) {
    this.#options = options;
    this.configured = new Promise((resolve) => this.#setConfigured = resolve);
    const { entry, log, now, random } = options;
    this.#list = ServerList.create({ now });
    this.readerElection = ReaderElection.create({
      entry,
      now,
      isPartialMesh: () => this.entryCount >= PARTIAL_MESH_MIN_ENTRIES,
      onStoreUnreachable: () => options.onStoreChange?.(),
    });
    this.#others = PeerLoads.create(now);
    this.servers = LiveServers.create({
      now,
      random,
      log,
      kvCacheTokensOf: (service) => this.#memoryTokensOf(service),
      onCapacityAvailable: () => dispatcher.pump(),
    });
    const { servers } = this;
    const dispatcher = Dispatcher.create<SlotRequest>({
      now,
      log,
      queueMaxLength: QUEUE_LENGTH,
      policy: {
        queueOrder: options.queueOrder ?? QueueOrder.Fair,
        routing: Routing.LeastLoaded,
        // Engines preempt by priority themselves.
        preempts: false,
        refusesEarly: true,
      },
      pool: {
        choose: (wish) => servers.choose(wish),
        begin: (name, { load, onAssigned: onPlaced }) => {
          servers.begin(name, load);
          onPlaced?.(name);
          // Others that choose in the same moment would choose the same server.
          if (load.tokens > 0) options.onStreamPlaced?.();
        },
        end: (name, { load }) => servers.end(name, load),
      },
    });
    this.context = {
      log,
      now,
      servers,
      dispatcher,
      reports: ServerReports.create(now, options.fetchReport),
      promptCacheIndex: PromptCacheIndex.create({ now }),
      suspicions: CrashSuspicions.create({ now, onRecord: () => undefined }),
      metrics: RelayMetrics.create(),
      retryBudget: RetryBudget.create({
        now,
        ratio: options.retryRatio,
        allowance: options.retryAllowance,
        windowMs: options.retryWindowMs,
        entryCount: () => this.entryCount,
      }),
      callerWaits: CallerWaitEstimator.create(now),
      copyKvCache: options.copyKvCache,
      releaseKvCopy: options.releaseKvCopy,
      supportsKvBackup: (service) =>
        this.#routes?.service(service)?.engine?.supportsKvBackup === true,
    };
  }

  /** Makes a relay that knows no configuration and no servers. */
  static create(options: RelayOptions): Relay {
    return new Relay(options);
  }

  /** The configuration in force; `undefined` before the first. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Version of the configuration in force, and -1 before the first. */
  get configurationVersion(): number {
    return this.#routes?.version ?? -1;
  }

  /** Count of entries, this one included: those heard of, or registered. */
  get entryCount(): number {
    return Math.max(this.#registered, this.#others.peerCount + 1);
  }

  /** Takes over how many entries are registered; links reach only some. */
  setRegisteredEntryCount(count: number): void {
    this.#registered = count;
  }

  /** Notes that a link to an entry ended, most likely with its process. */
  removePeer(entry: EntryId): void {
    this.readerElection.forget(entry);
    this.#list.forgetPeer(entry);
    this.#others.forget(entry);
    this.servers.setPeerLoads(() => this.#others.total());
  }

  /** Whether the list of servers has to be read from the store anew. */
  get needsServerRelist(): boolean {
    return this.#list.needsRelist;
  }

  /** Puts a configuration in force unless it is older; returns whether it did. */
  adopt(table: RouteTable, source: string): boolean {
    if (table.version <= this.configurationVersion) return false;
    this.#routes = table;
    this.#setConfigured();
    this.servers.refreshMemoryLimits();
    this.context.metrics.configurationVersion.set(table.version);
    this.#options.log(LOG_EVENTS.revisionAdopted, {
      revision: table.version,
      source,
    });
    return true;
  }

  /**
   * Takes over the whole list of servers at a revision of the store.
   *
   * @param isAfterOutage whether entries may be missing that lapsed while the
   * store was away; their servers stay in use until they had time to return
   */
  replaceServerList(
    servers: readonly ServerChange[],
    { revision, isAfterOutage }: {
      readonly revision: ObjectRevision;
      readonly isAfterOutage: boolean;
    },
  ): void {
    for (const change of servers) this.#takeFromStore(change);
    const listed = new Set(servers.map(({ name }) => name));
    for (const missing of this.#list.missing(listed, revision)) {
      this.#drop(missing, isAfterOutage);
    }
    this.#list.markLoaded();
  }

  /** Takes over changes of the list; see `replaceServerList`. */
  applyServerChanges(
    changes: readonly ServerChange[],
    isAfterOutage: boolean,
  ): void {
    for (const change of changes) {
      if (change.server === undefined) this.#drop(change, isAfterOutage);
      else this.#takeFromStore(change);
    }
  }

  #drop(
    { name, revision }: Pick<ServerChange, "name" | "revision">,
    isAfterOutage: boolean,
  ): void {
    const gone: ServerChange = { name, revision, server: undefined };
    if (!isAfterOutage) return this.#takeFromStore(gone);
    const held = this.#list.find(name)?.revision;
    setTimeout(() => {
      const isBack = this.#list.find(name)?.revision !== held;
      if (!isBack) this.#takeFromStore(gone);
    }, RETURN_MS).unref();
  }

  /** Takes over a change that the store told, and has it passed on at once. */
  #takeFromStore(change: ServerChange): void {
    if (this.#changeServer(change)) this.#options.onStoreChange?.();
  }

  /** Takes over a change unless a newer one is known; returns whether it did. */
  #changeServer({ name, revision, server }: ServerChange): boolean {
    const isNew = this.#list.apply({ name, revision, server: server ?? null });
    if (!isNew) return false;
    if (server === undefined) this.servers.delete(name);
    else this.servers.set(server);
    return true;
  }

  /** Returns what this entry knows, for its log. */
  view(): EntryView {
    return {
      configuration: this.configurationVersion,
      listed: this.#list.checksum.toString(CHECKSUM_RADIX),
      isReading: this.readerElection.mustRead,
      entries: this.entryCount,
      ...groupServersByState(this.servers.views(), this.#options.now()),
    };
  }

  /** Returns what other entries are told. */
  createDigest(): GossipDigest {
    return {
      kind: PeerMessageKind.Digest,
      entry: this.#options.entry,
      head: null,
      suspicions: this.context.suspicions.digest(),
      orders: this.#createOrderDigest(),
    };
  }

  /** Takes over what another entry tells. */
  mergeDigest({ entry, orders, suspicions }: GossipDigest): void {
    this.context.suspicions.merge(suspicions);
    if (orders === undefined || entry === this.#options.entry) return;
    this.#others.set(entry, orders.loads);
    this.servers.setPeerLoads(() => this.#others.total());
    for (const [prompt, server] of orders.prompts) {
      this.context.promptCacheIndex.record(prompt, server, false);
    }
    for (const name of orders.dead) this.servers.applyPeerEjection(name);
    this.readerElection.merge(entry, orders.readers);
  }

  /**
   * Compares another entry's list of servers with this one; returns after which
   * of its changes this entry should ask for more, if any may be new.
   */
  compareServerList({ entry, orders }: GossipDigest): number | undefined {
    if (orders === undefined) return undefined;
    const { listed: checksum, changes } = orders;
    return this.#list.compare(entry, { checksum, changeCount: changes });
  }

  /** Returns changes of this entry's list of servers. */
  changesAfter(after: number): ServerChanges {
    return this.#list.changesAfter(after);
  }

  /** Takes over changes of another entry's list of servers. */
  mergeServerChanges(entry: EntryId, { upTo, news }: ServerChanges): void {
    for (const { server, ...change } of news) {
      this.#changeServer({ ...change, server: server ?? undefined });
    }
    this.#list.recordSynced(entry, upTo);
  }

  #createOrderDigest(): RelayDigest {
    return {
      configuration: this.configurationVersion,
      loads: this.servers.ownLoads(),
      prompts: this.context.promptCacheIndex.digest(),
      changes: this.#list.changeCount,
      listed: this.#list.checksum,
      readers: this.readerElection.liveness(),
      dead: this.servers.unreachableServers(),
    };
  }

  #memoryTokensOf(service: string): number {
    const engine = this.#routes?.service(service)?.engine;
    return engine?.kvCacheTokens ?? Number.POSITIVE_INFINITY;
  }
}
