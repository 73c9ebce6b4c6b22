/** The core of an entry that relays orders: its views, its queue, its budget. */

import type { Reporter } from "../connection/backend_report.ts";
import type { RouteTable } from "../version/route_table.ts";
import type { OrderWish } from "../request/place_order.ts";
import { Dispatcher } from "./dispatcher.ts";
import { EVENTS } from "./event_catalog.ts";
import type { LiveServer } from "./live_server.ts";
import { LiveServers } from "./live_servers.ts";
import type { Log } from "./log.ts";
import type { RelayContext } from "./relay_context.ts";
import { RelayMetrics } from "./relay_metrics.ts";
import { RetryBudget } from "./retry_budget.ts";
import { ServerReports } from "./server_reports.ts";
import { QueueOrder, Routing } from "./settings.ts";

/** What a relay needs of its process. */
export interface RelayOptions {
  readonly zone: string;
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

/** Requests that may wait in one rank of a service at one entry. */
const QUEUE_LENGTH = 200;
/** Live entries that are assumed until others are heard of. */
const ENTRIES_ASSUMED = 6;

/** What the orders of one process share. */
export class Relay {
  readonly context: RelayContext;
  readonly servers: LiveServers;
  readonly #log: Log;
  #routes: RouteTable | undefined;

  private constructor(options: RelayOptions) {
    const { zone, log, now, random } = options;
    this.#log = log;
    this.servers = LiveServers.create({
      now,
      random,
      zone,
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
      reports: ServerReports.create(now, options.askReport),
      dispatcher,
      metrics: RelayMetrics.create(),
      budget: RetryBudget.create({
        now,
        ratio: options.retryRatio,
        allowance: options.retryAllowance,
        windowMs: options.retryWindowMs,
        entryCount: () => ENTRIES_ASSUMED,
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

  /** Puts a configuration in force unless it is older; returns whether it did. */
  adopt(table: RouteTable): boolean {
    const version = this.#routes?.version ?? -1;
    if (table.version <= version) return false;
    this.#routes = table;
    this.servers.refreshMemory();
    this.context.metrics.version.set(table.version);
    this.#log(EVENTS.revisionAdopted, { revision: table.version });
    return true;
  }

  /** Takes over the whole list of servers. */
  setServers(servers: readonly LiveServer[]): void {
    const listed = new Set(servers.map(({ name }) => name));
    for (const { server } of [...this.servers.views()]) {
      if (!listed.has(server.name)) this.servers.delete(server.name);
    }
    for (const server of servers) this.servers.set(server);
  }

  #memoryTokensOf(service: string): number {
    const engine = this.#routes?.service(service)?.engine;
    return engine?.memoryTokens ?? Number.POSITIVE_INFINITY;
  }
}
