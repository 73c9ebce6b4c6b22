/**
 * The backend servers that registered themselves, as this entry sees them: the
 * platform's list, this entry's own work and losses, and what others report.
 */

import {
  addLoad,
  type LiveServer,
  type LiveServerView,
  NO_LOAD,
  type ServerLoad,
  subtractLoad,
} from "./live_server.ts";
import {
  chooseServer,
  isEligible,
  type SelectionCriteria,
} from "./choose_server.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";
import {
  addUnansweredCall,
  BROKEN_EJECTION_MS,
  ejectionDurationMs,
  NO_UNANSWERED_CALLS,
  ServerFailure,
} from "./server_ejection.ts";
import { ServerRing } from "./server_ring.ts";
import { ZoneFailureDetector } from "./zone_failure_detector.ts";

/** What the servers need of their process. */
export interface LiveServersOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Number from 0 up to 1. */
  readonly random: () => number;
  readonly log: Log;
  /** Memory of a service's servers, in tokens; infinite for plain services. */
  readonly kvCacheTokensOf: (service: string) => number;
  /** Called when a server may have become free. */
  readonly onCapacityAvailable: () => void;
}

/** What a request wants of a server, without what the process knows itself. */
export type ServerCriteria = Omit<SelectionCriteria, "suspectZones">;

/** How long a server that said it is full gets nothing, in ms; calls take as long. */
const FULL_MS = 50;
/** How long a service counts as full after that; an entry may send it few calls, in ms. */
const SERVICE_FULL_MS = 2_000;

/** A server that was heard so lately is not given up on another entry's word, in ms. */
const HEARD_FRESH_MS = 400;
/** How long other entries are told of a dead server, in ms: three digests. */
const DEAD_NEWS_MS = 450;

/** All registered backend servers. */
export class LiveServers {
  readonly #options: LiveServersOptions;
  readonly #views = new Map<string, LiveServerView>();
  /** Names of the servers at an address, which may have been used again. */
  readonly #names = new Map<string, Set<string>>();
  /** Names of the servers that this entry gave work. */
  readonly #busy = new Set<string>();
  /** Names of the servers that other entries gave work. */
  #busyElsewhere: ReadonlySet<string> = new Set();
  /** Servers by service. */
  readonly #rings = new Map<string, ServerRing>();
  /** When a server of each service last said that it is full. */
  readonly #fullMs = new Map<string, number>();
  readonly #zones: ZoneFailureDetector;
  /** What the other entries do, until it is taken over. */
  #newOthers: (() => ReadonlyMap<string, ServerLoad>) | undefined;
  /** Servers that this entry found dead, with the time of it. */
  readonly #dead = new Map<string, number>();

  private constructor(options: LiveServersOptions) {
    this.#options = options;
    this.#zones = ZoneFailureDetector.create(options.now);
  }

  /** Starts without servers. */
  static create(options: LiveServersOptions): LiveServers {
    return new LiveServers(options);
  }

  /** Returns all views. */
  views(): Iterable<LiveServerView> {
    this.#takeOthers();
    return this.#views.values();
  }

  /** Returns the view of a server by name. */
  view(name: string): LiveServerView | undefined {
    this.#takeOthers();
    return this.#views.get(name);
  }

  /** Takes over what the list says of a server. */
  set(server: LiveServer): void {
    const held = this.#views.get(server.name);
    const isSame = held !== undefined && isSameIncarnation(held.server, server);
    const memoryTokens = this.#options.kvCacheTokensOf(server.service);
    if (!isSame) this.#retireAddress(server);
    if (held !== undefined && held.server.service !== server.service) {
      this.#rings.get(held.server.service)?.delete(server.name);
    }
    this.#ringOf(server.service).add(server.name);
    if (server.isLeaving && !held?.server.isLeaving) {
      this.#options.log(LOG_EVENTS.serverDraining, {
        server: server.name,
        source: "list",
      });
    }
    if (held !== undefined) this.#leaveAddress(held.server);
    const names = this.#names.get(server.address) ?? new Set();
    this.#names.set(server.address, names.add(server.name));
    if (!isSame) this.#busy.delete(server.name);
    this.#views.set(server.name, {
      server,
      kvCacheTokens: memoryTokens,
      ownLoad: isSame ? held.ownLoad : NO_LOAD,
      peerLoad: isSame ? held.peerLoad : NO_LOAD,
      ejectedUntilMs: isSame ? held.ejectedUntilMs : 0,
      fullUntilMs: isSame ? held.fullUntilMs : 0,
      unansweredCalls: isSame ? held.unansweredCalls : NO_UNANSWERED_CALLS,
      lastActivityMs: isSame ? held.lastActivityMs : this.#options.now(),
    });
    this.#options.onCapacityAvailable();
  }

  /** Drops a server that is gone from the list. */
  delete(name: string): void {
    const server = this.#views.get(name)?.server;
    if (server === undefined) return;
    this.#rings.get(server.service)?.delete(name);
    this.#leaveAddress(server);
    this.#busy.delete(name);
    this.#views.delete(name);
  }

  #leaveAddress({ name, address }: LiveServer): void {
    const names = this.#names.get(address);
    names?.delete(name);
    if (names?.size === 0) this.#names.delete(address);
  }

  #ringOf(service: string): ServerRing {
    const ring = this.#rings.get(service) ?? ServerRing.create();
    this.#rings.set(service, ring);
    return ring;
  }

  /** Yields the preferred server of a request, then those after its prompt's place. */
  *#viewsFor(request: ServerCriteria): Generator<LiveServerView> {
    this.#takeOthers();
    const { service, preferred = "", prompt } = request;
    const key = prompt || String(this.#options.random());
    const first = this.#views.get(preferred);
    if (first !== undefined) yield first;
    for (const name of this.#ringOf(service).serversFrom(key)) {
      const view = this.#views.get(name);
      if (view !== undefined && name !== preferred) yield view;
    }
  }

  /** Recomputes the memory of all servers after a configuration changed. */
  refreshMemoryLimits(): void {
    for (const [name, view] of this.#views) {
      const memoryTokens = this.#options.kvCacheTokensOf(view.server.service);
      this.#views.set(name, { ...view, kvCacheTokens: memoryTokens });
    }
  }

  /** Returns the server that a request goes to now, if one has room. */
  choose(request: ServerCriteria): LiveServer | undefined {
    const { now, random } = this.#options;
    const need = { ...request, suspectZones: this.#zones.suspectZones() };
    const context = { nowMs: now(), random };
    return chooseServer(this.#viewsFor(request), need, context)?.server;
  }

  /** Whether any server could take the request now or after a wait. */
  canServe(request: ServerCriteria): boolean {
    const need = { ...request, suspectZones: new Map() };
    for (const view of this.#viewsFor(request)) {
      if (isEligible(view, need)) return true;
    }
    return false;
  }

  /** Whether a server may get new work now, whatever its load. */
  isUsable(name: string): boolean {
    const view = this.#views.get(name);
    if (view === undefined || view.server.isLeaving) return false;
    return view.ejectedUntilMs <= this.#options.now();
  }

  /** Whether a server that was given a copy to keep is still taken to have it. */
  mayHoldBackup(name: string): boolean {
    const view = this.#views.get(name);
    if (view === undefined || view.server.isLeaving) return false;
    const avoidedMs = view.ejectedUntilMs - this.#options.now();
    return avoidedMs <= BROKEN_EJECTION_MS;
  }

  /** Notes work that goes to a server. */
  begin(name: string, load: ServerLoad): void {
    this.#change(name, (view) => ({ ownLoad: addLoad(view.ownLoad, load) }));
  }

  /** Notes that work has left a server. */
  end(name: string, load: ServerLoad): void {
    this.#change(
      name,
      (view) => ({ ownLoad: subtractLoad(view.ownLoad, load) }),
    );
    this.#options.onCapacityAvailable();
  }

  /** Notes that a server gave a sign of life. */
  recordActivity(name: string): void {
    this.#change(name, () => ({ lastActivityMs: this.#options.now() }));
  }

  /**
   * Takes over what the other entries do, by server name, when it is next
   * needed: they tell it far more often than a server is chosen.
   */
  setPeerLoads(loads: () => ReadonlyMap<string, ServerLoad>): void {
    this.#newOthers = loads;
    this.#options.onCapacityAvailable();
  }

  #takeOthers(): void {
    const loads = this.#newOthers?.();
    if (loads === undefined) return;
    this.#newOthers = undefined;
    for (const name of this.#busyElsewhere) {
      if (!loads.has(name)) this.#change(name, () => ({ peerLoad: NO_LOAD }));
    }
    for (const [name, others] of loads) {
      this.#change(name, () => ({ peerLoad: others }));
    }
    this.#busyElsewhere = new Set(loads.keys());
  }

  /** Returns the work that this entry gave to servers, by server name. */
  ownLoads(): readonly (readonly [string, ServerLoad])[] {
    return [...this.#busy].flatMap((name) => {
      const view = this.#views.get(name);
      return view === undefined ? [] : [[name, view.ownLoad] as const];
    });
  }

  /** Keeps a server out of new work after a loss. */
  eject(name: string, loss: ServerFailure): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    const nowMs = this.#options.now();
    const isUnanswered = loss === ServerFailure.Unanswered;
    // Calls that were under way when it became avoided say nothing new.
    const isNew = isUnanswered && view.ejectedUntilMs <= nowMs;
    const lostAnswers = isNew
      ? addUnansweredCall(view.unansweredCalls, nowMs)
      : view.unansweredCalls;
    const avoidMs = ejectionDurationMs(loss, lostAnswers);
    const avoidUntilMs = Math.max(view.ejectedUntilMs, nowMs + avoidMs);
    this.#change(
      name,
      () => ({ ejectedUntilMs: avoidUntilMs, unansweredCalls: lostAnswers }),
    );
    if (loss === ServerFailure.Unreachable) this.#dead.set(name, nowMs);
    if (!isUnanswered) this.#noteZoneLoss(view.server);
    this.#options.log(LOG_EVENTS.serverEjected, {
      server: name,
      zone: view.server.zone,
      cause: loss,
      for_ms: String(avoidMs),
    });
  }

  /** Notes that a server refused for want of room, so it gets nothing for a moment. */
  markFull(name: string): void {
    const { now, log } = this.#options;
    const service = this.#views.get(name)?.server.service;
    if (service === undefined) return;
    this.#fullMs.set(service, now());
    this.#change(name, () => ({ fullUntilMs: now() + FULL_MS }));
    log(LOG_EVENTS.serverAtCapacity, { server: name, for_ms: FULL_MS });
    this.#awaitRoom(name);
  }

  /** Has requests that wait tried again once a server no longer counts as full. */
  #awaitRoom(name: string): void {
    const fullUntilMs = this.#views.get(name)?.fullUntilMs ?? 0;
    const leftMs = fullUntilMs - this.#options.now();
    if (leftMs <= 0) return this.#options.onCapacityAvailable();
    // A timer may end before the clock says so: it counts from the loop's last turn.
    setTimeout(() => this.#awaitRoom(name), leftMs).unref();
  }

  /** Whether servers of a service refused for want of room just now. */
  wasRecentlyFull(service: string): boolean {
    const fullMs = this.#fullMs.get(service) ?? -Infinity;
    return this.#options.now() - fullMs < SERVICE_FULL_MS;
  }

  /** Takes back the avoidance of a server that proved to be sound. */
  reinstate(name: string): void {
    this.#change(name, () => ({
      ejectedUntilMs: 0,
      lastActivityMs: this.#options.now(),
    }));
    this.#options.onCapacityAvailable();
  }

  /** Takes over that another entry found a server dead. */
  applyPeerEjection(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    const nowMs = this.#options.now();
    const isKnown = view.ejectedUntilMs > nowMs;
    const isAlive = nowMs - view.lastActivityMs < HEARD_FRESH_MS;
    if (isKnown || isAlive) return;
    this.eject(name, ServerFailure.Unreachable);
    this.#dead.delete(name);
  }

  /** Returns the servers that this entry found dead just now. */
  unreachableServers(): readonly string[] {
    const sinceMs = this.#options.now() - DEAD_NEWS_MS;
    for (const [name, foundMs] of this.#dead) {
      if (foundMs < sinceMs) this.#dead.delete(name);
    }
    return [...this.#dead.keys()];
  }

  /** Several losses in a zone at once make all of it suspect. */
  #noteZoneLoss({ zone, name }: LiveServer): void {
    const lost = this.#zones.record({ zone, name });
    if (lost > 0) {
      this.#options.log(LOG_EVENTS.zoneFailureSuspected, { zone, lost });
    }
  }

  /** Whether several servers of a zone were lost at once just now. */
  isZoneSuspect(zone: string): boolean {
    return this.#zones.suspectZones().has(zone);
  }

  /** An address belongs to its newest owner; older ones have ended. */
  #retireAddress({ name, address, startedMs }: LiveServer): void {
    for (const other of this.#names.get(address) ?? []) {
      const view = this.#views.get(other);
      const isOlder = other !== name && view !== undefined &&
        view.server.startedMs <= startedMs;
      if (isOlder) this.#change(other, () => ({ ejectedUntilMs: Infinity }));
    }
  }

  #change(
    name: string,
    change: (view: LiveServerView) => Partial<LiveServerView>,
  ): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    const changed = { ...view, ...change(view) };
    this.#views.set(name, changed);
    const { requests, tokens, unreadTokens } = changed.ownLoad;
    if (requests > 0 || tokens > 0 || unreadTokens > 0) this.#busy.add(name);
    else this.#busy.delete(name);
  }
}

function isSameIncarnation(a: LiveServer, b: LiveServer): boolean {
  return a.address === b.address && a.startedMs === b.startedMs;
}
