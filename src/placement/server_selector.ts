/** Selects servers for requests among those registered. */

import { rendezvousHash } from "../hashing.ts";
import {
  CANDIDATES_MAX,
  chooseServer,
  isEligible,
  type SelectionCriteria,
} from "./choose_server.ts";
import type {
  RegisteredServer,
  RegisteredServerView,
} from "../process/registered_server.ts";
import type { RegisteredServerViews } from "../process/registered_server_views.ts";
import type { ServerHoldOffs } from "../health/server_hold_off.ts";
import { ServerRing } from "./server_ring.ts";
import type { ZoneFailureDetector } from "../process/zone_failure_detector.ts";

/** What a request requires of a server; suspect zones are added here. */
export type ServerCriteria = Omit<SelectionCriteria, "suspectZones">;

/** Dependencies of the selection. */
export interface ServerSelectorOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly views: RegisteredServerViews;
  readonly holdOffs: ServerHoldOffs;
  readonly zoneFailures: ZoneFailureDetector;
  /** Whether a server's version may get requests; any may if absent. */
  readonly isInService?: ((server: RegisteredServer) => boolean) | undefined;
}

/** The registered servers by service, as candidates for requests. */
export class ServerSelector {
  readonly #options: ServerSelectorOptions;
  /** Servers by service. */
  readonly #rings = new Map<string, ServerRing>();

  private constructor(options: ServerSelectorOptions) {
    this.#options = options;
  }

  /** Starts without servers. */
  static create(options: ServerSelectorOptions): ServerSelector {
    return new ServerSelector(options);
  }

  /** Adds a server to its service, in place of that of the previous record. */
  set(server: RegisteredServer, previous: RegisteredServer | undefined): void {
    const isMoved = previous !== undefined &&
      previous.service !== server.service;
    if (isMoved) this.delete(previous);
    this.#ringOf(server.service).add(server.name);
  }

  /** Removes a server. */
  delete({ name, service }: RegisteredServer): void {
    this.#rings.get(service)?.delete(name);
  }

  /** Returns the server for a request, if one has capacity now. */
  choose(request: ServerCriteria): RegisteredServer | undefined {
    const { now, random, zoneFailures } = this.#options;
    const criteria = { ...request, suspectZones: zoneFailures.suspectZones() };
    const context = { nowMs: now(), random };
    return chooseServer(this.#freeViews(request), criteria, context)?.server;
  }

  /** Whether any server could take the request, now or after a wait. */
  canServe(request: ServerCriteria): boolean {
    const criteria = { ...request, suspectZones: new Map() };
    for (const view of this.#candidateViews(request)) {
      if (isEligible(view, criteria)) return true;
    }
    return false;
  }

  /**
   * Returns the earliest end of a pause, on the monotonic clock in ms, if all
   * servers that could take the request have one; else `undefined`.
   */
  heldOffUntilMs(request: ServerCriteria): number | undefined {
    const { holdOffs } = this.#options;
    if (holdOffs.isEmpty) return undefined;
    const criteria = { ...request, suspectZones: new Map() };
    let earliestMs: number | undefined;
    for (const view of this.#candidateViews(request)) {
      if (!isEligible(view, criteria)) continue;
      const untilMs = holdOffs.untilMs(view.server);
      if (untilMs === undefined) return undefined;
      earliestMs = Math.min(earliestMs ?? untilMs, untilMs);
    }
    return earliestMs;
  }

  /**
   * Returns up to `count` usable servers of a service, those first that are most
   * likely to have been chosen for a prompt.
   */
  likelyServers(
    { service, prompt }: { readonly service: string; readonly prompt: string },
    count: number,
  ): readonly RegisteredServer[] {
    const candidates: RegisteredServer[] = [];
    for (const name of this.#ringOf(service).serversFrom(prompt)) {
      if (candidates.length === CANDIDATES_MAX) break;
      const view = this.#options.views.get(name);
      if (view !== undefined && this.isUsable(name)) {
        candidates.push(view.server);
      }
    }
    return candidates
      .map((server) => ({ server, order: rendezvousHash(server.name, prompt) }))
      .sort((a, b) => a.order - b.order)
      .slice(0, count)
      .map(({ server }) => server);
  }

  /** Whether a service has a server, not excluded, that is not ejected. */
  hasHealthyServer(service: string, excluded: ReadonlySet<string>): boolean {
    for (const name of this.#ringOf(service).serversFrom("")) {
      if (!excluded.has(name) && this.isUsable(name)) return true;
    }
    return false;
  }

  /** Whether a server may get new requests now, regardless of its load. */
  isUsable(name: string): boolean {
    const { now, views, holdOffs } = this.#options;
    const view = views.get(name);
    if (view === undefined || view.server.isLeaving) return false;
    const { server, ownLoad, ejectedUntilMs } = view;
    return ejectedUntilMs <= now() && this.#isInService(server) &&
      holdOffs.mayGetRequest(server, ownLoad.requests);
  }

  /** Yields the candidates that have not asked for a pause. */
  *#freeViews(request: ServerCriteria): Generator<RegisteredServerView> {
    const { holdOffs } = this.#options;
    const hasHoldOffs = !holdOffs.isEmpty;
    for (const view of this.#candidateViews(request)) {
      const { server, ownLoad } = view;
      const isFree = !hasHoldOffs ||
        holdOffs.mayGetRequest(server, ownLoad.requests);
      if (isFree) yield view;
    }
  }

  /**
   * Yields the preferred server, then the others from the prompt's position on
   * the hash ring, or from a random position if the request has no prompt.
   */
  *#candidateViews(request: ServerCriteria): Generator<RegisteredServerView> {
    const views = this.#options.views.latest();
    const { service, preferred = "", prompt } = request;
    const ringKey = prompt || String(this.#options.random());
    const preferredView = views.get(preferred);
    if (
      preferredView !== undefined && this.#isInService(preferredView.server)
    ) {
      yield preferredView;
    }
    for (const name of this.#ringOf(service).serversFrom(ringKey)) {
      const view = views.get(name);
      if (view === undefined || name === preferred) continue;
      if (this.#isInService(view.server)) yield view;
    }
  }

  #isInService(server: RegisteredServer): boolean {
    return this.#options.isInService?.(server) !== false;
  }

  #ringOf(service: string): ServerRing {
    const ring = this.#rings.get(service) ?? ServerRing.create();
    this.#rings.set(service, ring);
    return ring;
  }
}
