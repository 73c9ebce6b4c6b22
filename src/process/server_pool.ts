/**
 * The backend servers of the adopted deployment: polls their load reports,
 * tracks ejections and this entry's requests, and chooses servers.
 */

import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  isLoadReport,
  LOAD_PATH,
  type LoadReport,
} from "../connection/engine_protocol.ts";
import { callHttp } from "../connection/http_call.ts";
import { type Instance, InstanceState } from "../connection/instance.ts";
import {
  EJECTION_DURATION_MS,
  EJECTION_MAX_FRACTION,
  REPORT_INTERVAL_MS,
  REPORT_MAX_BYTES,
  REPORT_TIMEOUT_MS,
} from "../constants.ts";
import type { Deployment } from "../version/deployment.ts";
import type { BackendServer } from "../version/types.ts";
import type { DispatchCriteria } from "./dispatcher.ts";
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

/** Dependencies and settings of a server pool. */
export interface ServerPoolOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly log: Log;
  readonly routing: Routing;
  /** This entry's position among the live ones, which share the slots. */
  readonly entryPosition: () => EntryPosition;
  /** Called when a server may have got a free slot. */
  readonly onCapacityAvailable: () => void;
}

/** Position of an entry in the sorted list of live entries. */
export interface EntryPosition {
  readonly index: number;
  readonly count: number;
}

/** Criteria for choosing a server. */
export interface ServerPoolCriteria extends DispatchCriteria {
  /** Model version that the server must run; empty for plain services. */
  readonly modelVersion: string;
  /** Name of the server to prefer while it has capacity, or empty. */
  readonly preferred: string;
}

/** A report and when it was requested, on the monotonic clock in ms. */
interface ReceivedReport {
  readonly report: LoadReport;
  readonly requestedMs: number;
}

const HTTP_OK = 200;

/** All backend servers of the adopted deployment. */
export class ServerPool {
  readonly #options: ServerPoolOptions;
  #routing: Routing;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #views = new Map<string, ServerView>();
  #listedLeaving: ReadonlySet<string> = new Set();
  #isClosed = false;

  private constructor(options: ServerPoolOptions) {
    this.#options = options;
    this.#routing = options.routing;
  }

  /** Creates a pool without servers. */
  static create(options: ServerPoolOptions): ServerPool {
    return new ServerPool(options);
  }

  /** Stops all polling. */
  close(): void {
    this.#isClosed = true;
    this.#agent.destroy();
  }

  /** Changes how a server is chosen. */
  setRouting(routing: Routing): void {
    this.#routing = routing;
  }

  /** Replaces the servers by those of an adopted deployment. */
  setDeployment(deployment: Deployment): void {
    const wanted = new Set(deployment.servers().map(({ name }) => name));
    for (const name of this.#views.keys()) {
      if (!wanted.has(name)) this.#views.delete(name);
    }
    for (const server of deployment.servers()) this.#setServer(server);
    this.#options.onCapacityAvailable();
  }

  /** Applies the platform's instance list. */
  setInstances(instances: readonly Instance[]): void {
    const leaving = instances
      .filter(({ state }) => state === InstanceState.Leaving)
      .map(({ name }) => name);
    this.#listedLeaving = new Set(leaving);
    for (const { server, isListedLeaving } of this.#views.values()) {
      const isLeaving = this.#listedLeaving.has(server.name);
      if (isLeaving === isListedLeaving) continue;
      this.#updateView(server.name, { isListedLeaving: isLeaving });
      if (isLeaving) this.#logLeaving(server.name, "list");
    }
    this.#options.onCapacityAvailable();
  }

  /** Returns all views. */
  views(): readonly ServerView[] {
    return [...this.#views.values()];
  }

  /** Number of servers that may get new requests. */
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

  /** Returns the server for a request, or `undefined` if none has capacity. */
  choose(criteria: ServerPoolCriteria): BackendServer | undefined {
    const { count } = this.#options.entryPosition();
    const serving = criteria.isSuspect
      ? this.#isolatedViews(criteria.service, this.#servingViews(criteria))
      : this.#servingViews(criteria);
    const candidates = serving.filter((view) => hasCapacity(view, count));
    const preferred = candidates.find(({ server }) =>
      server.name === criteria.preferred
    );
    if (preferred !== undefined) return preferred.server;
    const chosen = this.#routing === Routing.Random
      ? candidates[Math.floor(this.#options.random() * candidates.length)]
      : this.#leastLoaded(candidates);
    return chosen?.server;
  }

  /** Whether any server could serve the request now or once it has capacity. */
  canServe(criteria: ServerPoolCriteria): boolean {
    return this.#servingViews(criteria).length > 0;
  }

  /** Records that a request is sent to a server. */
  begin(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    this.#updateView(name, {
      inFlight: view.inFlight + 1,
      sentSinceReport: view.sentSinceReport + 1,
    });
  }

  /** Records that a suspected request must prove harmless on a server. */
  addSuspect(name: string): void {
    const view = this.#views.get(name);
    if (view !== undefined) {
      this.#updateView(name, { unprovenSuspects: view.unprovenSuspects + 1 });
    }
  }

  /** Records that a suspected request proved harmless or ended. */
  removeSuspect(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    this.#updateView(name, {
      unprovenSuspects: Math.max(0, view.unprovenSuspects - 1),
    });
    this.#options.onCapacityAvailable();
  }

  /** Records that a request on a server ended. */
  end(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    this.#updateView(name, {
      inFlight: Math.max(0, view.inFlight - 1),
      endedSinceReport: view.endedSinceReport + 1,
    });
    this.#options.onCapacityAvailable();
  }

  /** Gives a failed server no new requests for `EJECTION_DURATION_MS`. */
  eject(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined || !this.#mayEject(view)) return;
    const ejectedUntilMs = this.#options.now() + EJECTION_DURATION_MS;
    this.#updateView(name, { ejectedUntilMs });
    this.#options.log(LOG_EVENTS.serverEjected, { server: name });
  }

  #servingViews(criteria: ServerPoolCriteria): ServerView[] {
    const now = this.#options.now();
    return this.views().filter((view) =>
      view.server.service === criteria.service &&
      !criteria.excluded.has(view.server.name) &&
      conditionOf(view, now) === ServerCondition.Serving &&
      view.report?.modelVersion === criteria.modelVersion
    );
  }

  /**
   * Returns the servers on which a suspected request runs isolated from other
   * suspects. While any server assigned to this entry is serving, only the
   * assigned ones are used; those that run another suspect of this entry are
   * left out. The assignment depends on the deployment, which is the same for
   * all entries, and not on the health of servers.
   */
  #isolatedViews(
    service: string,
    serving: readonly ServerView[],
  ): ServerView[] {
    const { index, count } = this.#options.entryPosition();
    const names = this.views()
      .filter(({ server }) => server.service === service)
      .map(({ server }) => server.name)
      .sort();
    const assignedNames = new Set(
      names.filter((_, at) => at % count === index),
    );
    const assigned = serving.filter(({ server }) =>
      assignedNames.has(server.name)
    );
    const usable = assigned.length > 0 ? assigned : serving;
    return usable.filter(({ unprovenSuspects }) => unprovenSuspects === 0);
  }

  #leastLoaded(candidates: readonly ServerView[]): ServerView | undefined {
    let best: ServerView | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    let ties = 0;
    for (const view of candidates) {
      const load = utilizationOf(view);
      ties = load === bestLoad ? ties + 1 : 1;
      const isBetter = load < bestLoad ||
        (load === bestLoad && this.#options.random() * ties < 1);
      if (!isBetter) continue;
      best = view;
      bestLoad = load;
    }
    return best;
  }

  /** Limits ejections, so that a common cause doesn't eject a whole service. */
  #mayEject(view: ServerView): boolean {
    const now = this.#options.now();
    const sameService = this.views().filter(({ server }) =>
      server.service === view.server.service
    );
    const ejected = sameService.filter(({ ejectedUntilMs }) =>
      ejectedUntilMs > now
    );
    return ejected.length + 1 <= sameService.length * EJECTION_MAX_FRACTION;
  }

  #setServer(server: BackendServer): void {
    const existing = this.#views.get(server.name);
    if (existing !== undefined && existing.server.address === server.address) {
      this.#views.set(server.name, { ...existing, server });
      return;
    }
    const isListedLeaving = this.#listedLeaving.has(server.name);
    const view = { ...createServerView(server), isListedLeaving };
    this.#views.set(server.name, view);
    this.#pollReports(server);
  }

  /** Polls a server's report until it is removed or its address changes. */
  async #pollReports({ name, address }: BackendServer): Promise<void> {
    while (this.#isPolled(name, address)) {
      const received = await this.#fetchReport(address);
      if (received !== undefined && this.#isPolled(name, address)) {
        this.#applyReport(name, received);
      }
      await sleep(REPORT_INTERVAL_MS);
    }
  }

  #isPolled(name: string, address: string): boolean {
    return !this.#isClosed && this.#views.get(name)?.server.address === address;
  }

  async #fetchReport(address: string): Promise<ReceivedReport | undefined> {
    const { now } = this.#options;
    let requestedMs = now();
    try {
      const response = await callHttp({
        address,
        method: "GET",
        path: LOAD_PATH,
        timeoutMs: REPORT_TIMEOUT_MS,
        bodyMaxBytes: REPORT_MAX_BYTES,
        agent: this.#agent,
        // A busy event loop sends the request long after the call.
        onSent: () => requestedMs = now(),
      });
      if (response.status !== HTTP_OK) return undefined;
      const report: unknown = JSON.parse(response.body.toString());
      return isLoadReport(report) ? { report, requestedMs } : undefined;
    } catch {
      return undefined;
    }
  }

  #applyReport(
    name: string,
    { report, requestedMs }: ReceivedReport,
  ): void {
    const wasLeaving = this.#views.get(name)?.report?.leaving === true;
    if (report.leaving && !wasLeaving) this.#logLeaving(name, "report");
    this.#updateView(name, {
      report,
      reportRequestedMs: requestedMs,
      sentSinceReport: 0,
      endedSinceReport: 0,
    });
    this.#options.onCapacityAvailable();
  }

  #logLeaving(server: string, source: string): void {
    this.#options.log(LOG_EVENTS.serverDraining, { server, source });
  }

  #updateView(name: string, change: Partial<ServerView>): void {
    const view = this.#views.get(name);
    if (view !== undefined) this.#views.set(name, { ...view, ...change });
  }
}
