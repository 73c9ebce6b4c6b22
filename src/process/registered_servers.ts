/**
 * The backend servers registered with the platform, as this entry sees them:
 * the platform's list, this entry's own requests and failures, and what peer
 * entries report.
 */

import {
  addLoad,
  NO_LOAD,
  type RegisteredServer,
  type RegisteredServerView,
  type ServerLoad,
  subtractLoad,
} from "./registered_server.ts";
import {
  chooseServer,
  isEligible,
  type SelectionCriteria,
} from "./choose_server.ts";
import {
  addLeavingServer,
  DrainingSource,
  isKnownLeaving,
  type LeavingServers,
  NO_LEAVING_SERVERS,
  recentlyLeaving,
  type ServerIncarnation,
  updateListing,
} from "./leaving_servers.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";
import {
  addUnansweredCall,
  BROKEN_EJECTION_MS,
  ejectionDurationMs,
  NO_UNANSWERED_CALLS,
  ServerFailure,
} from "./server_ejection.ts";
import { ServerHoldOffs } from "./server_hold_off.ts";
import { ServerRing } from "./server_ring.ts";
import { ZoneFailureDetector } from "./zone_failure_detector.ts";

/** Dependencies of the server set. */
export interface RegisteredServersOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly log: Log;
  /**
   * KV cache capacity of a service's servers, in tokens; infinite for plain
   * services.
   */
  readonly kvCacheTokensOf: (service: string) => number;
  /** Called when a server may have capacity again. */
  readonly onCapacityAvailable: () => void;
  /** Called when a server became known as draining. */
  readonly onDraining?: (source: DrainingSource) => void;
  /** Called when a server has asked for a pause. */
  readonly onHoldOff: () => void;
  /**
   * Called when requests may have to wait for servers with pauses only, because
   * of a further pause or of a change in the list.
   */
  readonly onFewerServers: () => void;
}

/** What a request requires of a server; suspect zones are added here. */
export type ServerCriteria = Omit<SelectionCriteria, "suspectZones">;

/**
 * How long a server gets no new requests after it refused one as full, in ms:
 * about the duration of a call.
 */
const FULL_BACKOFF_MS = 50;
/**
 * How long a service counts as full after a refusal, in ms; an entry may send
 * it so few calls that refusals are rare.
 */
const SERVICE_FULL_WINDOW_MS = 2_000;

/** A server active this recently is not ejected on a peer's report, in ms. */
const RECENT_ACTIVITY_MS = 400;
/**
 * How long peers are told of an unreachable server, in ms: three gossip
 * digests.
 */
const UNREACHABLE_GOSSIP_MS = 450;

/** All registered backend servers. */
export class RegisteredServers {
  readonly #options: RegisteredServersOptions;
  readonly #views = new Map<string, RegisteredServerView>();
  /** Names of the servers listed at each address; addresses are reused. */
  readonly #namesByAddress = new Map<string, Set<string>>();
  /** Names of the servers with load from this entry. */
  readonly #loaded = new Set<string>();
  /** Names of the servers with load from peer entries. */
  #peerLoaded: ReadonlySet<string> = new Set();
  /** Servers by service. */
  readonly #rings = new Map<string, ServerRing>();
  /** When a server of each service last refused a request as full. */
  readonly #lastFullMs = new Map<string, number>();
  readonly #zoneFailures: ZoneFailureDetector;
  readonly #holdOffs: ServerHoldOffs;
  /** When timers report ends of pauses by server, on the monotonic clock. */
  readonly #awaitedEndsMs = new Map<string, number>();
  /** The latest load of peer entries, until it is applied. */
  #pendingPeerLoads: (() => ReadonlyMap<string, ServerLoad>) | undefined;
  /** Servers that this entry found unreachable, with the time of detection. */
  readonly #downSince = new Map<string, number>();
  /** Names of the servers that were ejected because they were silent. */
  readonly #silent = new Set<string>();
  /** Names of the servers that a later one replaces at their address. */
  readonly #replaced = new Set<string>();
  /** Servers that said that they leave. */
  #leaving: LeavingServers = NO_LEAVING_SERVERS;

  private constructor(options: RegisteredServersOptions) {
    this.#options = options;
    this.#zoneFailures = ZoneFailureDetector.create(options.now);
    this.#holdOffs = ServerHoldOffs.create(options.now);
  }

  /** Creates an empty set. */
  static create(options: RegisteredServersOptions): RegisteredServers {
    return new RegisteredServers(options);
  }

  /** Returns the views of all servers. */
  views(): Iterable<RegisteredServerView> {
    this.#applyPeerLoads();
    return this.#views.values();
  }

  /** Returns the view of a server by name. */
  view(name: string): RegisteredServerView | undefined {
    this.#applyPeerLoads();
    return this.#views.get(name);
  }

  /** Adds or updates a server from the platform's list. */
  set(listed: RegisteredServer): void {
    const server = this.#applyLeaving(listed);
    const previous = this.#views.get(server.name);
    const isSame = previous !== undefined &&
      isSameIncarnation(previous.server, server);
    const kvCacheTokens = this.#options.kvCacheTokensOf(server.service);
    if (!isSame) this.#ejectOlderServers(server);
    if (!isSame && previous !== undefined) this.#unlist(previous.server);
    if (previous !== undefined && previous.server.service !== server.service) {
      this.#rings.get(previous.server.service)?.delete(server.name);
    }
    this.#ringOf(server.service).add(server.name);
    if (listed.isLeaving && !previous?.server.isLeaving) {
      this.#reportDraining(server.name, DrainingSource.List);
    }
    const isMoved = previous !== undefined &&
      previous.server.address !== server.address;
    if (isMoved) this.#removeAddress(previous.server);
    const names = this.#namesByAddress.get(server.address) ?? new Set();
    this.#namesByAddress.set(server.address, names.add(server.name));
    if (!isSame) this.#loaded.delete(server.name);
    if (!isSame) this.#silent.delete(server.name);
    if (!isSame) this.#replaced.delete(server.name);
    this.#views.set(server.name, {
      server,
      kvCacheTokens,
      ownLoad: isSame ? previous.ownLoad : NO_LOAD,
      peerLoad: isSame ? previous.peerLoad : NO_LOAD,
      ejectedUntilMs: isSame ? previous.ejectedUntilMs : 0,
      fullUntilMs: isSame ? previous.fullUntilMs : 0,
      unansweredCalls: isSame ? previous.unansweredCalls : NO_UNANSWERED_CALLS,
      lastActivityMs: isSame ? previous.lastActivityMs : this.#options.now(),
    });
    this.#options.onCapacityAvailable();
    if (server.isLeaving) this.#reportFewerServers();
  }

  /** Removes a server that is no longer listed. */
  delete(name: string): void {
    const server = this.#views.get(name)?.server;
    if (server === undefined) return;
    this.#rings.get(server.service)?.delete(name);
    this.#removeAddress(server);
    this.#loaded.delete(name);
    this.#silent.delete(name);
    this.#replaced.delete(name);
    this.#views.delete(name);
    this.#unlist(server);
    this.#reportFewerServers();
  }

  /**
   * Records that a server said that it leaves: this incarnation gets no new
   * requests, whatever the list says. Peers are believed only about servers
   * that are listed.
   */
  markLeaving(incarnation: ServerIncarnation, source: DrainingSource): void {
    const { name } = incarnation;
    const server = this.#views.get(name)?.server;
    const isListed = server !== undefined &&
      isSameIncarnation(server, incarnation);
    if (source === DrainingSource.Peer && !isListed) return;
    const nowMs = this.#options.now();
    this.#leaving = addLeavingServer(this.#leaving, incarnation, {
      isListed,
      nowMs,
    });
    if (!isListed || server.isLeaving) return;
    this.#update(name, () => ({ server: { ...server, isLeaving: true } }));
    this.#reportDraining(name, source);
  }

  /** Returns the servers that recently said that they leave. */
  recentlyLeaving(): readonly ServerIncarnation[] {
    return recentlyLeaving(this.#leaving, this.#options.now());
  }

  /** Returns a listed server with what it said itself. */
  #applyLeaving(listed: RegisteredServer): RegisteredServer {
    if (!isKnownLeaving(this.#leaving, listed)) return listed;
    this.#leaving = updateListing(this.#leaving, listed, {
      isListed: true,
      nowMs: this.#options.now(),
    });
    return { ...listed, isLeaving: true };
  }

  #unlist(server: RegisteredServer): void {
    this.#leaving = updateListing(this.#leaving, server, {
      isListed: false,
      nowMs: this.#options.now(),
    });
  }

  #reportDraining(server: string, source: DrainingSource): void {
    this.#options.log(LOG_EVENTS.serverDraining, { server, source });
    this.#options.onDraining?.(source);
    this.#reportFewerServers();
  }

  #removeAddress({ name, address }: RegisteredServer): void {
    const names = this.#namesByAddress.get(address);
    names?.delete(name);
    if (names?.size === 0) this.#namesByAddress.delete(address);
    this.#readmitAt(address);
  }

  #readmitAt(address: string): void {
    for (const name of this.#namesByAddress.get(address) ?? []) {
      this.#readmit(name);
    }
  }

  /** Uses a server again that no other one at its address replaces. */
  #readmit(name: string): void {
    const server = this.#views.get(name)?.server;
    if (server === undefined || !this.#replaced.has(name)) return;
    const names = this.#namesByAddress.get(server.address) ?? [];
    const isReplaced = [...names].some((other) => {
      const view = this.#views.get(other);
      if (other === name || view === undefined) return false;
      const mayHaveAddress = this.#replaced.has(other) ||
        view.ejectedUntilMs < Infinity;
      return mayHaveAddress && view.server.startedMs >= server.startedMs;
    });
    if (isReplaced) return;
    this.#replaced.delete(name);
    this.#update(name, () => ({ ejectedUntilMs: 0 }));
    this.#options.onCapacityAvailable();
  }

  #ringOf(service: string): ServerRing {
    const ring = this.#rings.get(service) ?? ServerRing.create();
    this.#rings.set(service, ring);
    return ring;
  }

  /**
   * Yields the preferred server, then the others from the prompt's position on
   * the hash ring, or from a random position if the request has no prompt.
   */
  *#candidateViews(request: ServerCriteria): Generator<RegisteredServerView> {
    this.#applyPeerLoads();
    const { service, preferred = "", prompt } = request;
    const ringKey = prompt || String(this.#options.random());
    const preferredView = this.#views.get(preferred);
    if (preferredView !== undefined) yield preferredView;
    for (const name of this.#ringOf(service).serversFrom(ringKey)) {
      const view = this.#views.get(name);
      if (view !== undefined && name !== preferred) yield view;
    }
  }

  /**
   * Updates the KV cache capacity of all servers after a configuration change.
   */
  refreshMemoryLimits(): void {
    for (const [name, view] of this.#views) {
      const kvCacheTokens = this.#options.kvCacheTokensOf(view.server.service);
      this.#views.set(name, { ...view, kvCacheTokens });
    }
  }

  /** Returns the server for a request, if one has capacity now. */
  choose(request: ServerCriteria): RegisteredServer | undefined {
    const { now, random } = this.#options;
    const criteria = {
      ...request,
      suspectZones: this.#zoneFailures.suspectZones(),
    };
    const context = { nowMs: now(), random };
    return chooseServer(this.#freeViews(request), criteria, context)?.server;
  }

  /** Yields the candidates that have not asked for a pause. */
  *#freeViews(request: ServerCriteria): Generator<RegisteredServerView> {
    const hasHoldOffs = !this.#holdOffs.isEmpty;
    for (const view of this.#candidateViews(request)) {
      const { server, ownLoad } = view;
      const isFree = !hasHoldOffs ||
        this.#holdOffs.mayGetRequest(server, ownLoad.requests);
      if (isFree) yield view;
    }
  }

  /**
   * Returns the earliest end of a pause, on the monotonic clock in ms, if all
   * servers that could take the request have one; else `undefined`.
   */
  heldOffUntilMs(request: ServerCriteria): number | undefined {
    if (this.#holdOffs.isEmpty) return undefined;
    const criteria = { ...request, suspectZones: new Map() };
    let earliestMs: number | undefined;
    for (const view of this.#candidateViews(request)) {
      if (!isEligible(view, criteria)) continue;
      const untilMs = this.#holdOffs.untilMs(view.server);
      if (untilMs === undefined) return undefined;
      earliestMs = Math.min(earliestMs ?? untilMs, untilMs);
    }
    return earliestMs;
  }

  /** Records that a server asked for a pause of `holdOffMs`. */
  holdOff(server: RegisteredServer, holdOffMs: number): void {
    if (!this.#holdOffs.extend(server, holdOffMs)) return;
    const { now, log, onHoldOff } = this.#options;
    const untilMs = this.#holdOffs.untilMs(server) ?? now();
    onHoldOff();
    log(LOG_EVENTS.serverHeldOff, {
      server: server.name,
      stated_ms: Math.min(Math.round(holdOffMs), Number.MAX_SAFE_INTEGER),
      for_ms: Math.round(untilMs - now()),
    });
    const awaitedMs = this.#awaitedEndsMs.get(server.name) ?? Infinity;
    if (untilMs < awaitedMs) this.#notifyAfterHoldOff(server);
    this.#reportFewerServers();
  }

  /** Reports available capacity once the server's pause is over. */
  #notifyAfterHoldOff(server: RegisteredServer): void {
    const { now, onCapacityAvailable } = this.#options;
    const untilMs = this.#holdOffs.untilMs(server);
    this.#awaitedEndsMs.delete(server.name);
    if (untilMs === undefined) return onCapacityAvailable();
    this.#awaitedEndsMs.set(server.name, untilMs);
    setTimeout(() => this.#notifyAfterHoldOff(server), untilMs - now())
      .unref();
  }

  #reportFewerServers(): void {
    if (!this.#holdOffs.isEmpty) this.#options.onFewerServers();
  }

  /** Whether a server gets no requests because it asked for a pause. */
  isHeldOff(server: RegisteredServer): boolean {
    return this.#holdOffs.untilMs(server) !== undefined;
  }

  /** Whether a server's load report may be fetched now; counts it if so. */
  takeReport(server: RegisteredServer): boolean {
    return this.#holdOffs.takeReport(server);
  }

  /** Records that a server did not turn a request away. */
  recordAcceptance(server: RegisteredServer): void {
    this.#holdOffs.recordAcceptance(server);
  }

  /** Whether any server could take the request, now or after a wait. */
  canServe(request: ServerCriteria): boolean {
    const criteria = { ...request, suspectZones: new Map() };
    for (const view of this.#candidateViews(request)) {
      if (isEligible(view, criteria)) return true;
    }
    return false;
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
    const view = this.#views.get(name);
    if (view === undefined || view.server.isLeaving) return false;
    const { server, ownLoad, ejectedUntilMs } = view;
    return ejectedUntilMs <= this.#options.now() &&
      this.#holdOffs.mayGetRequest(server, ownLoad.requests);
  }

  /**
   * Whether a server that was asked to keep a KV cache backup is assumed to
   * still have it.
   */
  mayHoldBackup(name: string): boolean {
    const view = this.#views.get(name);
    if (view === undefined || view.server.isLeaving) return false;
    const ejectedForMs = view.ejectedUntilMs - this.#options.now();
    return ejectedForMs <= BROKEN_EJECTION_MS;
  }

  /** Adds load to a server. */
  begin(name: string, load: ServerLoad): void {
    this.#update(name, (view) => ({ ownLoad: addLoad(view.ownLoad, load) }));
  }

  /** Removes load from a server. */
  end(name: string, load: ServerLoad): void {
    this.#update(
      name,
      (view) => ({ ownLoad: subtractLoad(view.ownLoad, load) }),
    );
    this.#options.onCapacityAvailable();
  }

  /** Records that data was received from a server; it is silent no longer. */
  recordActivity(name: string): void {
    if (this.#silent.has(name)) return this.reinstate(name);
    this.#update(name, () => ({ lastActivityMs: this.#options.now() }));
  }

  /**
   * Sets the load of peer entries by server name. It is applied when it is next
   * read, because peers report far more often than a server is chosen.
   */
  setPeerLoads(loads: () => ReadonlyMap<string, ServerLoad>): void {
    this.#pendingPeerLoads = loads;
    this.#options.onCapacityAvailable();
  }

  #applyPeerLoads(): void {
    const loads = this.#pendingPeerLoads?.();
    if (loads === undefined) return;
    this.#pendingPeerLoads = undefined;
    for (const name of this.#peerLoaded) {
      if (!loads.has(name)) this.#update(name, () => ({ peerLoad: NO_LOAD }));
    }
    for (const [name, peerLoad] of loads) {
      this.#update(name, () => ({ peerLoad }));
    }
    this.#peerLoaded = new Set(loads.keys());
  }

  /** Returns the load that this entry puts on servers, by server name. */
  ownLoads(): readonly (readonly [string, ServerLoad])[] {
    return [...this.#loaded].flatMap((name) => {
      const view = this.#views.get(name);
      return view === undefined ? [] : [[name, view.ownLoad] as const];
    });
  }

  /** Ejects a server after a failure: it gets no new requests for some time. */
  eject(name: string, failure: ServerFailure): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    const nowMs = this.#options.now();
    const isUnanswered = failure === ServerFailure.Unanswered;
    // Calls in flight when the server was ejected are no new evidence.
    const isNewEvidence = isUnanswered && view.ejectedUntilMs <= nowMs;
    const unansweredCalls = isNewEvidence
      ? addUnansweredCall(view.unansweredCalls, nowMs)
      : view.unansweredCalls;
    const durationMs = ejectionDurationMs(failure, unansweredCalls);
    const ejectedUntilMs = Math.max(view.ejectedUntilMs, nowMs + durationMs);
    this.#update(
      name,
      () => ({ ejectedUntilMs, unansweredCalls }),
    );
    if (failure === ServerFailure.Replaced) {
      this.#replaced.delete(name);
      // It does not have its address, so it replaced no other server there.
      this.#readmitAt(view.server.address);
    }
    if (isToldToPeers(failure)) this.#downSince.set(name, nowMs);
    const wasSilent = this.#silent.delete(name);
    if (isSilence(failure)) this.#silent.add(name);
    if (wasSilent && failure === ServerFailure.Silent) return;
    if (failure === ServerFailure.Replaced) this.#reportFewerServers();
    if (!isUnanswered) this.#recordZoneFailure(view.server);
    this.#options.log(LOG_EVENTS.serverEjected, {
      server: name,
      zone: view.server.zone,
      cause: failure,
      for_ms: String(durationMs),
    });
  }

  /**
   * Records that a server refused a request as full; it gets no new ones for a
   * moment.
   */
  markFull(name: string): void {
    const { now, log } = this.#options;
    const service = this.#views.get(name)?.server.service;
    if (service === undefined) return;
    this.#lastFullMs.set(service, now());
    this.#update(name, () => ({ fullUntilMs: now() + FULL_BACKOFF_MS }));
    log(LOG_EVENTS.serverAtCapacity, { server: name, for_ms: FULL_BACKOFF_MS });
    this.#notifyAfterBackoff(name);
  }

  /** Reports available capacity once the server's backoff is over. */
  #notifyAfterBackoff(name: string): void {
    const fullUntilMs = this.#views.get(name)?.fullUntilMs ?? 0;
    const remainingMs = fullUntilMs - this.#options.now();
    if (remainingMs <= 0) return this.#options.onCapacityAvailable();
    // A timer may fire early by this clock: it counts from the event loop's
    // last turn.
    setTimeout(() => this.#notifyAfterBackoff(name), remainingMs).unref();
  }

  /** Whether a server of a service recently refused a request as full. */
  wasRecentlyFull(service: string): boolean {
    const fullMs = this.#lastFullMs.get(service) ?? -Infinity;
    return this.#options.now() - fullMs < SERVICE_FULL_WINDOW_MS;
  }

  /** Ends the ejection of a server that proved healthy. */
  reinstate(name: string): void {
    this.#silent.delete(name);
    this.#downSince.delete(name);
    this.#update(name, () => ({
      ejectedUntilMs: 0,
      lastActivityMs: this.#options.now(),
    }));
    this.#options.onCapacityAvailable();
  }

  /** Whether a server was ejected as silent and sent nothing since. */
  isSilent(name: string): boolean {
    return this.#silent.has(name);
  }

  /**
   * Ejects a server that a peer entry found unreachable, unless it was active
   * recently.
   */
  applyPeerEjection(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    const nowMs = this.#options.now();
    const isEjected = view.ejectedUntilMs > nowMs;
    const isActive = nowMs - view.lastActivityMs < RECENT_ACTIVITY_MS;
    if (isEjected || isActive) return;
    this.eject(name, ServerFailure.Unreachable);
    this.#downSince.delete(name);
  }

  /** Returns the servers that this entry recently found unreachable. */
  unreachableServers(): readonly string[] {
    const sinceMs = this.#options.now() - UNREACHABLE_GOSSIP_MS;
    for (const [name, detectedMs] of this.#downSince) {
      if (detectedMs < sinceMs) this.#downSince.delete(name);
    }
    return [...this.#downSince.keys()];
  }

  /** Several server failures in a zone at once make the whole zone suspect. */
  #recordZoneFailure({ zone, name }: RegisteredServer): void {
    const lost = this.#zoneFailures.record({ zone, name });
    if (lost > 0) {
      this.#options.log(LOG_EVENTS.zoneFailureSuspected, { zone, lost });
    }
  }

  /** Returns how many servers of a zone have failed at once just now. */
  failuresAtOnce(zone: string): number {
    return this.#zoneFailures.failuresAtOnce(zone);
  }

  /**
   * Ejects other servers at the same address that did not start later: the
   * address now belongs to this server.
   */
  #ejectOlderServers({ name, address, startedMs }: RegisteredServer): void {
    for (const other of this.#namesByAddress.get(address) ?? []) {
      const view = this.#views.get(other);
      const isOlder = other !== name && view !== undefined &&
        view.server.startedMs <= startedMs;
      if (!isOlder) continue;
      this.#replaced.add(other);
      this.#update(other, () => ({ ejectedUntilMs: Infinity }));
    }
  }

  #update(
    name: string,
    update: (view: RegisteredServerView) => Partial<RegisteredServerView>,
  ): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    const updated = { ...view, ...update(view) };
    this.#views.set(name, updated);
    const { requests, tokens, unreadTokens } = updated.ownLoad;
    if (requests > 0 || tokens > 0 || unreadTokens > 0) this.#loaded.add(name);
    else this.#loaded.delete(name);
  }
}

function isSilence(failure: ServerFailure): boolean {
  return failure === ServerFailure.Silent ||
    failure === ServerFailure.Unresponsive;
}

function isToldToPeers(failure: ServerFailure): boolean {
  return failure === ServerFailure.Unreachable ||
    failure === ServerFailure.Unresponsive;
}

function isSameIncarnation(
  a: ServerIncarnation,
  b: ServerIncarnation,
): boolean {
  return a.address === b.address && a.startedMs === b.startedMs;
}
