/**
 * The backend servers as this entry sees them: reports asked for by one task a
 * server, the platform's list, failures, and the choice of a server.
 */

import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { LOAD_PATH, type LoadReport } from "../connection/engine_protocol.ts";
import { callHttp } from "../connection/http_call.ts";
import { type Instance, InstanceState } from "../connection/instance.ts";
import {
  EJECTION_DURATION_MS,
  EJECTION_MAX_FRACTION,
  REPORT_INTERVAL_MS,
  REPORT_TIMEOUT_MS,
} from "../constants.ts";
import type { Deployment } from "../version/deployment.ts";
import type { BackendServer } from "../version/types.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";
import { Routing } from "./settings.ts";
import {
  conditionOf,
  createServerView,
  hasCapacity,
  ServerCondition,
  type ServerView,
  utilizationOf,
} from "./server_view.ts";

/** What the fleet needs of its process. */
export interface ServerPoolOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Number from 0 up to 1. */
  readonly random: () => number;
  readonly log: Log;
  readonly routing: Routing;
  /** Where this entry stands among the live ones, which share the slots. */
  readonly entryPosition: () => EntryPosition;
  /** Called when a server may have become free. */
  readonly onCapacityAvailable: () => void;
}

/** Place of an entry in the sorted list of live entries. */
export interface EntryPosition {
  readonly index: number;
  readonly count: number;
}

/** Which server is wanted. */
export interface ServerPoolCriteria {
  readonly service: string;
  /** Model version that it must carry; empty for plain services. */
  readonly modelVersion: string;
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Name of the server to prefer while it has room, or empty. */
  readonly preferred: string;
  /** Whether the request must be alone among suspected ones. */
  readonly isSuspect: boolean;
}

/** All backend servers of the adopted deployment. */
export class ServerPool {
  readonly #options: ServerPoolOptions;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #views = new Map<string, ServerView>();
  #leavingListed: ReadonlySet<string> = new Set();
  #closed = false;

  private constructor(options: ServerPoolOptions) {
    this.#options = options;
  }

  /** Makes a fleet without servers. */
  static create(options: ServerPoolOptions): ServerPool {
    return new ServerPool(options);
  }

  /** Ends all tasks. */
  close(): void {
    this.#closed = true;
    this.#agent.destroy();
  }

  /** Takes over the servers of an adopted deployment. */
  setDeployment(deployment: Deployment): void {
    const wanted = new Set(deployment.servers().map(({ name }) => name));
    for (const name of this.#views.keys()) {
      if (!wanted.has(name)) this.#views.delete(name);
    }
    for (const server of deployment.servers()) this.#setServer(server);
    this.#options.onCapacityAvailable();
  }

  /** Takes over the platform's list of instances. */
  setInstances(instances: readonly Instance[]): void {
    const leaving = instances
      .filter(({ state }) => state === InstanceState.Leaving)
      .map(({ name }) => name);
    this.#leavingListed = new Set(leaving);
    for (const { server, isListedLeaving } of this.#views.values()) {
      const isLeaving = this.#leavingListed.has(server.name);
      if (isLeaving === isListedLeaving) continue;
      this.#change(server.name, { isListedLeaving: isLeaving });
      if (isLeaving) this.#logLeaving(server.name, "list");
    }
    this.#options.onCapacityAvailable();
  }

  /** Returns all views. */
  views(): readonly ServerView[] {
    return [...this.#views.values()];
  }

  /** Count of servers that may get new work. */
  servingCount(): number {
    const now = this.#options.now();
    return this.views().filter((view) =>
      conditionOf(view, now) === ServerCondition.Serving
    ).length;
  }

  /** Returns the view of a server by name. */
  view(name: string): ServerView | undefined {
    return this.#views.get(name);
  }

  /** Returns the server that a request goes to now, if one has room. */
  choose(wish: ServerPoolCriteria): BackendServer | undefined {
    const { count } = this.#options.entryPosition();
    const serving = wish.isSuspect
      ? this.#isolated(wish.service, this.#serving(wish))
      : this.#serving(wish);
    const candidates = serving.filter((view) => hasCapacity(view, count));
    const preferred = candidates.find(({ server }) =>
      server.name === wish.preferred
    );
    if (preferred !== undefined) return preferred.server;
    const chosen = this.#options.routing === Routing.Random
      ? candidates[Math.floor(this.#options.random() * candidates.length)]
      : this.#leastLoaded(candidates);
    return chosen?.server;
  }

  /** Whether any server could take the request now or after a wait. */
  canServe(wish: ServerPoolCriteria): boolean {
    return this.#serving(wish).length > 0;
  }

  /** Notes that a request goes to a server. */
  begin(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    this.#change(name, {
      inFlight: view.inFlight + 1,
      sentSinceReport: view.sentSinceReport + 1,
    });
  }

  /** Notes that a suspected request must prove harmless on a server. */
  addSuspect(name: string): void {
    const view = this.#views.get(name);
    if (view !== undefined) {
      this.#change(name, { unprovenSuspects: view.unprovenSuspects + 1 });
    }
  }

  /** Notes that a suspected request proved harmless or has left. */
  removeSuspect(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    this.#change(name, {
      unprovenSuspects: Math.max(0, view.unprovenSuspects - 1),
    });
    this.#options.onCapacityAvailable();
  }

  /** Notes that a request has left a server. */
  end(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    this.#change(name, {
      inFlight: Math.max(0, view.inFlight - 1),
      endedSinceReport: view.endedSinceReport + 1,
    });
    this.#options.onCapacityAvailable();
  }

  /** Keeps a failed server out of new work for a while. */
  eject(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined || !this.#mayEject(view)) return;
    const ejectedUntilMs = this.#options.now() + EJECTION_DURATION_MS;
    this.#change(name, { ejectedUntilMs });
    this.#options.log(LOG_EVENTS.serverEjected, { server: name });
  }

  #serving(wish: ServerPoolCriteria): ServerView[] {
    const now = this.#options.now();
    return this.views().filter((view) =>
      view.server.service === wish.service &&
      !wish.excluded.has(view.server.name) &&
      conditionOf(view, now) === ServerCondition.Serving &&
      view.report?.modelVersion === wish.modelVersion
    );
  }

  /**
   * Servers on which a suspected request is alone: none that holds another one
   * of this entry, and each entry keeps to its own slice while it has servers.
   * Slices go by the deployment, which entries share, not by health.
   */
  #isolated(service: string, serving: readonly ServerView[]): ServerView[] {
    const { index, count } = this.#options.entryPosition();
    const names = this.views()
      .filter(({ server }) => server.service === service)
      .map(({ server }) => server.name)
      .sort();
    const own = new Set(names.filter((_, at) => at % count === index));
    const slice = serving.filter(({ server }) => own.has(server.name));
    const usable = slice.length > 0 ? slice : serving;
    return usable.filter(({ unprovenSuspects: unproven }) => unproven === 0);
  }

  #leastLoaded(candidates: readonly ServerView[]): ServerView | undefined {
    let best: ServerView | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    let ties = 0;
    for (const view of candidates) {
      const load = utilizationOf(view);
      ties = load === bestLoad ? ties + 1 : 1;
      const wins = load < bestLoad ||
        (load === bestLoad && this.#options.random() * ties < 1);
      if (!wins) continue;
      best = view;
      bestLoad = load;
    }
    return best;
  }

  /** Ejections are limited, so that a common cause does not empty a service. */
  #mayEject(view: ServerView): boolean {
    const now = this.#options.now();
    const peers = this.views().filter(({ server }) =>
      server.service === view.server.service
    );
    const ejected = peers.filter(({ ejectedUntilMs }) => ejectedUntilMs > now);
    return ejected.length + 1 <= peers.length * EJECTION_MAX_FRACTION;
  }

  #setServer(server: BackendServer): void {
    const held = this.#views.get(server.name);
    if (held !== undefined && held.server.address === server.address) {
      this.#views.set(server.name, { ...held, server });
      return;
    }
    const isListedLeaving = this.#leavingListed.has(server.name);
    const view = { ...createServerView(server), isListedLeaving };
    this.#views.set(server.name, view);
    this.#watch(server);
  }

  /** Asks one server for its report until the server is withdrawn or moved. */
  async #watch({ name, address }: BackendServer): Promise<void> {
    while (this.#isWatched(name, address)) {
      const askedMs = this.#options.now();
      const report = await this.#askReport(address);
      if (report !== undefined && this.#isWatched(name, address)) {
        this.#takeReport(name, { report, askedMs });
      }
      await sleep(REPORT_INTERVAL_MS);
    }
  }

  #isWatched(name: string, address: string): boolean {
    return !this.#closed && this.#views.get(name)?.server.address === address;
  }

  async #askReport(address: string): Promise<LoadReport | undefined> {
    try {
      const answer = await callHttp({
        address,
        method: "GET",
        path: LOAD_PATH,
        timeoutMs: REPORT_TIMEOUT_MS,
        agent: this.#agent,
      });
      return JSON.parse(answer.body.toString()) as LoadReport;
    } catch {
      return undefined;
    }
  }

  #takeReport(
    name: string,
    { report, askedMs }: {
      readonly report: LoadReport;
      readonly askedMs: number;
    },
  ): void {
    const wasLeaving = this.#views.get(name)?.report?.leaving === true;
    if (report.leaving && !wasLeaving) this.#logLeaving(name, "report");
    this.#change(name, {
      report,
      reportRequestedMs: askedMs,
      sentSinceReport: 0,
      endedSinceReport: 0,
    });
    this.#options.onCapacityAvailable();
  }

  #logLeaving(server: string, source: string): void {
    this.#options.log(LOG_EVENTS.serverDraining, { server, source });
  }

  #change(name: string, change: Partial<ServerView>): void {
    const view = this.#views.get(name);
    if (view !== undefined) this.#views.set(name, { ...view, ...change });
  }
}
