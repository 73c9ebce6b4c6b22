/** The core of an entry that relays orders: its views, its queue, its budget. */

import type { Reporter } from "../connection/backend_report.ts";
import {
  type Digest,
  type OrderDigest,
  PeerMessageKind,
  type ServerNews,
} from "../connection/peer_protocol.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";
import type { OrderWish } from "../request/place_order.ts";
import type { RouteTable } from "../version/route_table.ts";
import { Dispatcher } from "./dispatcher.ts";
import { EVENTS } from "./event_catalog.ts";
import type { LiveServer } from "./live_server.ts";
import { LiveServers } from "./live_servers.ts";
import type { Log } from "./log.ts";
import { OtherLoads } from "./other_loads.ts";
import { PromptPlaces } from "./prompt_places.ts";
import type { RelayContext } from "./relay_context.ts";
import { RelayMetrics } from "./relay_metrics.ts";
import { RetryBudget } from "./retry_budget.ts";
import { ServerReports } from "./server_reports.ts";
import { QueueOrder, Routing } from "./settings.ts";
import { Suspicions } from "./suspicions.ts";

/** What a relay needs of its process. */
export interface RelayOptions {
  readonly entry: EntryId;
  readonly log: Log;
  readonly askReport: Reporter;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Number from 0 up to 1. */
  readonly random: () => number;
  readonly retryRatio: number;
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
}

/** A change of the platform's list of servers. */
export interface ServerChange {
  readonly name: string;
  readonly revision: ObjectRevision;
  /** `undefined` when the server is gone or can't be used. */
  readonly server: LiveServer | undefined;
}

interface HeldNews extends ServerNews {
  readonly heardMs: number;
}

/** Requests that may wait in one rank of a service at one entry. */
const QUEUE_LENGTH = 200;
/** How long a change of the list is told to other entries, in ms: four digests. */
const NEWS_MS = 600;
/** Time for entries to return that lapsed while the store was away, in ms. */
const RETURN_MS = 1_900;
/** How long changes are remembered, so that older ones are told apart, in ms. */
const NEWS_KEPT_MS = 60_000;

/** What the orders of one process share. */
export class Relay {
  readonly context: RelayContext;
  readonly servers: LiveServers;
  readonly #options: RelayOptions;
  readonly #others: OtherLoads;
  readonly #news = new Map<string, HeldNews>();
  /** Resolves once the first configuration is in force. */
  readonly configured: Promise<void>;
  #setConfigured: () => void = () => undefined;
  #routes: RouteTable | undefined;

  private constructor(options: RelayOptions) {
    this.#options = options;
    this.configured = new Promise((resolve) => this.#setConfigured = resolve);
    const { log, now, random } = options;
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
        queueOrder: QueueOrder.Fair,
        routing: Routing.LeastLoaded,
        // Engines preempt by priority themselves.
        preempts: false,
        refusesEarly: true,
      },
      fleet: {
        choose: (wish) => servers.choose(wish),
        begin: (name, { load }) => servers.begin(name, load),
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

  /** Count of live entries, this one included. */
  get entryCount(): number {
    return this.#others.entryCount + 1;
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
   * Takes over the whole list of servers.
   *
   * @param isAfterOutage whether entries may be missing that lapsed while the
   * store was away; their servers stay in use until they had time to return
   */
  setServers(servers: readonly ServerChange[], isAfterOutage: boolean): void {
    for (const change of servers) this.changeServer(change);
    const listed = new Set(servers.map(({ name }) => name));
    for (const { server } of [...this.servers.views()]) {
      if (!listed.has(server.name)) this.#drop(server.name, isAfterOutage);
    }
  }

  /** Takes over changes of the list; see `setServers`. */
  changeServers(
    changes: readonly ServerChange[],
    isAfterOutage: boolean,
  ): void {
    for (const change of changes) {
      const isLapsed = isAfterOutage && change.server === undefined;
      if (isLapsed) this.#drop(change.name, isAfterOutage);
      else this.changeServer(change);
    }
  }

  #drop(name: string, isAfterOutage: boolean): void {
    if (!isAfterOutage) return this.servers.delete(name);
    const revision = this.#news.get(name)?.revision;
    setTimeout(() => {
      const isBack = this.#news.get(name)?.revision !== revision;
      if (!isBack) this.servers.delete(name);
    }, RETURN_MS).unref();
  }

  /** Takes over a change of the list, unless a newer one is known. */
  changeServer({ name, revision, server }: ServerChange): void {
    const held = this.#news.get(name);
    const isDeletion = server === undefined && held?.server !== null;
    if (held !== undefined && !isDeletion && held.revision >= revision) return;
    if (held !== undefined && held.revision > revision) return;
    const heardMs = this.#options.now();
    this.#news.set(name, { name, revision, server: server ?? null, heardMs });
    if (server === undefined) this.servers.delete(name);
    else this.servers.set(server);
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
    this.servers.setOthers(this.#others.total());
    for (const [prompt, server] of orders.prompts) {
      this.context.prompts.note(prompt, server, false);
    }
    for (const name of orders.dead) this.servers.hearLoss(name);
    for (const { server, ...news } of orders.news) {
      this.changeServer({ ...news, server: server ?? undefined });
    }
  }

  #createOrderDigest(): OrderDigest {
    const nowMs = this.#options.now();
    const news: ServerNews[] = [];
    for (const [name, { heardMs, ...held }] of this.#news) {
      if (nowMs - heardMs <= NEWS_MS) news.push(held);
      if (nowMs - heardMs > NEWS_KEPT_MS) this.#news.delete(name);
    }
    return {
      configuration: this.configuration,
      loads: this.servers.ownLoads(),
      prompts: this.context.prompts.news(),
      news,
      dead: this.servers.deadServers(),
    };
  }

  #memoryTokensOf(service: string): number {
    const engine = this.#routes?.service(service)?.engine;
    return engine?.memoryTokens ?? Number.POSITIVE_INFINITY;
  }
}
