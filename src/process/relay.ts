/** The core of an entry that relays orders: its views, its queue, its budget. */

import type { Reporter } from "../connection/backend_report.ts";
import {
  type Digest,
  type OrderDigest,
  PeerMessageKind,
  type ServerChanges,
} from "../connection/peer_protocol.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";
import type { OrderWish } from "../request/place_order.ts";
import type { CopyReleaser, RunCopier } from "../request/run_copies.ts";
import type { RouteTable } from "../version/route_table.ts";
import { CallerTimes } from "./caller_times.ts";
import { Dispatcher } from "./dispatcher.ts";
import { type EntryView, groupServers } from "./entry_view.ts";
import { EVENTS } from "./event_catalog.ts";
import type { LiveServer } from "./live_server.ts";
import { LiveServers } from "./live_servers.ts";
import type { Log } from "./log.ts";
import { OtherLoads } from "./other_loads.ts";
import { CROWD_MIN } from "./peers.ts";
import { PromptPlaces } from "./prompt_places.ts";
import type { RelayContext } from "./relay_context.ts";
import { RelayMetrics } from "./relay_metrics.ts";
import { RetryBudget } from "./retry_budget.ts";
import { ServerList } from "./server_list.ts";
import { ServerReports } from "./server_reports.ts";
import { QueueOrder, Routing } from "./settings.ts";
import { StoreReaders } from "./store_readers.ts";
import { Suspicions } from "./suspicions.ts";

/** What a relay needs of its process. */
export interface RelayOptions {
  readonly entry: EntryId;
  readonly log: Log;
  readonly askReport: Reporter;
  readonly copyRun: RunCopier;
  readonly freeCopy: CopyReleaser;
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
  readonly onWorkPlaced?: () => void;
  /** Called when the store told of a change that other entries may not know. */
  readonly onNews?: () => void;
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
  readonly #others: OtherLoads;
  readonly #list: ServerList;
  /** Decides whether this entry reads the store for all. */
  readonly readers: StoreReaders;
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
    this.readers = StoreReaders.create({
      entry,
      now,
      isCrowded: () => this.entryCount >= CROWD_MIN,
      onLoss: () => options.onNews?.(),
    });
    this.#others = OtherLoads.create(now);
    this.servers = LiveServers.create({
      now,
      random,
      log,
      memoryTokensOf: (service) => this.#memoryTokensOf(service),
      onRoom: () => dispatcher.pump(),
    });
    const { servers } = this;
    const dispatcher = Dispatcher.create<OrderWish>({
      now,
      log,
      queueLength: QUEUE_LENGTH,
      policy: {
        queueOrder: options.queueOrder ?? QueueOrder.Fair,
        routing: Routing.LeastLoaded,
        // Engines preempt by priority themselves.
        preempts: false,
        refusesEarly: true,
      },
      fleet: {
        choose: (wish) => servers.choose(wish),
        begin: (name, { load, onPlaced }) => {
          servers.begin(name, load);
          onPlaced?.(name);
          // Others that choose in the same moment would choose the same server.
          if (load.tokens > 0) options.onWorkPlaced?.();
        },
        end: (name, { load }) => servers.end(name, load),
      },
    });
    this.context = {
      log,
      now,
      servers,
      dispatcher,
      reports: ServerReports.create(now, options.askReport),
      prompts: PromptPlaces.create({ now }),
      suspicions: Suspicions.create({ now, onRecord: () => undefined }),
      metrics: RelayMetrics.create(),
      budget: RetryBudget.create({
        now,
        ratio: options.retryRatio,
        allowance: options.retryAllowance,
        windowMs: options.retryWindowMs,
        entryCount: () => this.entryCount,
      }),
      callerTimes: CallerTimes.create(now),
      copyRun: options.copyRun,
      freeCopy: options.freeCopy,
      canBackUp: (service) =>
        this.#routes?.service(service)?.engine?.canBackUp === true,
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
  get configuration(): number {
    return this.#routes?.version ?? -1;
  }

  /** Count of entries, this one included: those heard of, or registered. */
  get entryCount(): number {
    return Math.max(this.#registered, this.#others.entryCount + 1);
  }

  /** Takes over how many entries are registered; links reach only some. */
  setRegistered(count: number): void {
    this.#registered = count;
  }

  /** Notes that a link to an entry ended, most likely with its process. */
  losePeer(entry: EntryId): void {
    this.readers.forget(entry);
    this.#list.forget(entry);
    this.#others.forget(entry);
    this.servers.setOthers(() => this.#others.total());
  }

  /** Whether the list of servers has to be read from the store anew. */
  get isListDoubtful(): boolean {
    return this.#list.isDoubtful;
  }

  /** Puts a configuration in force unless it is older; returns whether it did. */
  adopt(table: RouteTable, source: string): boolean {
    if (table.version <= this.configuration) return false;
    this.#routes = table;
    this.#setConfigured();
    this.servers.refreshMemory();
    this.context.metrics.version.set(table.version);
    this.#options.log(EVENTS.revisionAdopted, {
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
  setServers(
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
    this.#list.confirm();
  }

  /** Takes over changes of the list; see `setServers`. */
  changeServers(
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
    if (this.#changeServer(change)) this.#options.onNews?.();
  }

  /** Takes over a change unless a newer one is known; returns whether it did. */
  #changeServer({ name, revision, server }: ServerChange): boolean {
    const isNew = this.#list.take({ name, revision, server: server ?? null });
    if (!isNew) return false;
    if (server === undefined) this.servers.delete(name);
    else this.servers.set(server);
    return true;
  }

  /** Returns what this entry knows, for its log. */
  view(): EntryView {
    return {
      configuration: this.configuration,
      listed: this.#list.checksum.toString(CHECKSUM_RADIX),
      isReading: this.readers.mustRead,
      entries: this.entryCount,
      ...groupServers(this.servers.views(), this.#options.now()),
    };
  }

  /** Returns what other entries are told. */
  createDigest(): Digest {
    return {
      kind: PeerMessageKind.Digest,
      entry: this.#options.entry,
      head: null,
      suspicions: this.context.suspicions.digest(),
      orders: this.#createOrderDigest(),
    };
  }

  /** Takes over what another entry tells. */
  takeDigest({ entry, orders, suspicions }: Digest): void {
    this.context.suspicions.merge(suspicions);
    if (orders === undefined || entry === this.#options.entry) return;
    this.#others.set(entry, orders.loads);
    this.servers.setOthers(() => this.#others.total());
    for (const [prompt, server] of orders.prompts) {
      this.context.prompts.note(prompt, server, false);
    }
    for (const name of orders.dead) this.servers.hearLoss(name);
    this.readers.merge(entry, orders.readers);
  }

  /**
   * Compares another entry's list of servers with this one; returns after which
   * of its changes this entry should ask for more, if any may be new.
   */
  compareList({ entry, orders }: Digest): number | undefined {
    if (orders === undefined) return undefined;
    const { listed: checksum, changes } = orders;
    return this.#list.compare(entry, { checksum, changes });
  }

  /** Returns changes of this entry's list of servers. */
  changesAfter(after: number): ServerChanges {
    return this.#list.changesAfter(after);
  }

  /** Takes over changes of another entry's list of servers. */
  takeChanges(entry: EntryId, { upTo, news }: ServerChanges): void {
    for (const { server, ...change } of news) {
      this.#changeServer({ ...change, server: server ?? undefined });
    }
    this.#list.noteSynced(entry, upTo);
  }

  #createOrderDigest(): OrderDigest {
    return {
      configuration: this.configuration,
      loads: this.servers.ownLoads(),
      prompts: this.context.prompts.news(),
      changes: this.#list.changes,
      listed: this.#list.checksum,
      readers: this.readers.signs(),
      dead: this.servers.deadServers(),
    };
  }

  #memoryTokensOf(service: string): number {
    const engine = this.#routes?.service(service)?.engine;
    return engine?.memoryTokens ?? Number.POSITIVE_INFINITY;
  }
}
