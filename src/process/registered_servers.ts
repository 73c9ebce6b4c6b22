/**
 * The backend servers registered with the platform, as this entry sees them:
 * the platform's list, this entry's own requests and failures, and what peer
 * entries report.
 */

import { CapacityBackoff } from "./capacity_backoff.ts";
import { HoldOffTimers } from "../health/hold_off_timers.ts";
import {
  addLeavingServer,
  DrainingSource,
  isKnownLeaving,
  isSameIncarnation,
  type LeavingServers,
  NO_LEAVING_SERVERS,
  recentlyLeaving,
  type ServerIncarnation,
  updateListing,
} from "./leaving_servers.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";
import {
  createView,
  type RegisteredServer,
  type RegisteredServerView,
  type ServerLoad,
} from "./registered_server.ts";
import { RegisteredServerViews } from "./registered_server_views.ts";
import { ServerAddresses } from "./server_addresses.ts";
import {
  BROKEN_EJECTION_MS,
  extendEjection,
  ServerFailure,
  shouldApplyPeerEjection,
} from "./server_ejection.ts";
import { ServerHoldOffs } from "../health/server_hold_off.ts";
import { ServerOutages } from "./server_outages.ts";
import type { ReportedLoad } from "../placement/load_inquiry.ts";
import {
  type ServerCriteria,
  ServerSelector,
} from "../placement/server_selector.ts";
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
  /** Whether the configuration names a service; all are known if absent. */
  readonly isKnownService?: (service: string) => boolean;
  /** Whether a server's version may get requests; any may if absent. */
  readonly isInService?: ((server: RegisteredServer) => boolean) | undefined;
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

/** All registered backend servers. */
export class RegisteredServers {
  readonly #options: RegisteredServersOptions;
  readonly #views = RegisteredServerViews.create();
  readonly #addresses: ServerAddresses;
  readonly #selector: ServerSelector;
  readonly #zoneFailures: ZoneFailureDetector;
  readonly #holdOffs: ServerHoldOffs;
  readonly #holdOffTimers: HoldOffTimers;
  readonly #backoff: CapacityBackoff;
  readonly #outages: ServerOutages;
  /** Whether changes are applied that belong together. */
  #isChanging = false;
  #hasCapacityToReport = false;
  /** Servers that said that they leave. */
  #leaving: LeavingServers = NO_LEAVING_SERVERS;

  private constructor(options: RegisteredServersOptions) {
    const { now } = options;
    const onCapacityAvailable = () => this.#reportCapacity();
    const views = this.#views;
    this.#options = options;
    this.#addresses = ServerAddresses.create({
      views,
      now,
      isKnownService: options.isKnownService ?? (() => true),
      onCapacityAvailable,
    });
    this.#zoneFailures = ZoneFailureDetector.create(now);
    this.#holdOffs = ServerHoldOffs.create(now);
    this.#holdOffTimers = HoldOffTimers.create({
      now,
      holdOffs: this.#holdOffs,
      onEnd: onCapacityAvailable,
    });
    this.#backoff = CapacityBackoff.create({
      ...options,
      views,
      onCapacityAvailable,
    });
    this.#outages = ServerOutages.create(now);
    this.#selector = ServerSelector.create({
      ...options,
      views,
      holdOffs: this.#holdOffs,
      zoneFailures: this.#zoneFailures,
    });
  }

  /** Creates an empty set. */
  static create(options: RegisteredServersOptions): RegisteredServers {
    return new RegisteredServers(options);
  }

  /** Returns the views of all servers. */
  views(): Iterable<RegisteredServerView> {
    return this.#views.latest().values();
  }

  /** Yields the listed servers of a service. */
  *serversOf(service: string): Generator<RegisteredServer> {
    for (const { server } of this.views()) {
      if (server.service === service) yield server;
    }
  }

  /** Returns the view of a server by name. */
  view(name: string): RegisteredServerView | undefined {
    return this.#views.latest().get(name);
  }

  /**
   * Applies several changes of the list as one: requests that wait are placed
   * once all servers are known. Else all would get the first server listed.
   */
  applyTogether(changes: () => void): void {
    this.#isChanging = true;
    try {
      changes();
    } finally {
      this.#isChanging = false;
      if (this.#hasCapacityToReport) this.#reportCapacity();
    }
  }

  #reportCapacity(): void {
    this.#hasCapacityToReport = this.#isChanging;
    if (!this.#isChanging) this.#options.onCapacityAvailable();
  }

  /** Adds or updates a server from the platform's list. */
  set(listed: RegisteredServer): void {
    const server = this.#applyLeaving(listed);
    const previous = this.#views.get(server.name);
    const isSame = previous !== undefined &&
      isSameIncarnation(previous.server, server);
    const kvCacheTokens = this.#options.kvCacheTokensOf(server.service);
    if (!isSame) this.#addresses.ejectOlder(server);
    if (!isSame && previous !== undefined) {
      this.#updateListing(previous.server, false);
    }
    this.#selector.set(server, previous?.server);
    if (listed.isLeaving && !previous?.server.isLeaving) {
      this.#reportDraining(server.name, DrainingSource.List);
    }
    if (!isSame) this.#addresses.set(server, previous?.server);
    if (!isSame) this.#outages.endSilence(server.name);
    const view = isSame ? previous : createView(server, this.#options.now());
    this.#views.set({ ...view, server, kvCacheTokens });
    this.#reportCapacity();
    if (server.isLeaving) this.#reportFewerServers();
  }

  /** Removes a server that is no longer listed. */
  delete(name: string): void {
    const server = this.#views.get(name)?.server;
    if (server === undefined) return;
    this.#selector.delete(server);
    this.#addresses.delete(server);
    this.#outages.endSilence(name);
    this.#views.delete(name);
    this.#updateListing(server, false);
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
    this.#views.update(
      name,
      () => ({ server: { ...server, isLeaving: true } }),
    );
    this.#reportDraining(name, source);
  }

  /** Returns the servers that recently said that they leave. */
  recentlyLeaving(): readonly ServerIncarnation[] {
    return recentlyLeaving(this.#leaving, this.#options.now());
  }

  /** Returns a listed server with what it said itself. */
  #applyLeaving(listed: RegisteredServer): RegisteredServer {
    if (!isKnownLeaving(this.#leaving, listed)) return listed;
    this.#updateListing(listed, true);
    return { ...listed, isLeaving: true };
  }

  #updateListing(server: RegisteredServer, isListed: boolean): void {
    this.#leaving = updateListing(this.#leaving, server, {
      isListed,
      nowMs: this.#options.now(),
    });
  }

  #reportDraining(server: string, source: DrainingSource): void {
    this.#options.log(LOG_EVENTS.serverDraining, { server, source });
    this.#options.onDraining?.(source);
    this.#reportFewerServers();
  }

  /** Updates what follows from the services after a configuration change. */
  refreshServices(): void {
    const { kvCacheTokensOf } = this.#options;
    this.#views.updateAll(({ server }) => ({
      kvCacheTokens: kvCacheTokensOf(server.service),
    }));
    this.#addresses.refreshServices();
  }

  /** Returns the server for a request, if one has capacity now. */
  choose(request: ServerCriteria): RegisteredServer | undefined {
    return this.#selector.choose(request);
  }

  /**
   * Returns the earliest end of a pause, on the monotonic clock in ms, if all
   * servers that could take the request have one; else `undefined`.
   */
  heldOffUntilMs(request: ServerCriteria): number | undefined {
    return this.#selector.heldOffUntilMs(request);
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
    this.#holdOffTimers.start(server, untilMs);
    this.#reportFewerServers();
  }

  #reportFewerServers(): void {
    if (!this.#holdOffs.isEmpty) this.#options.onFewerServers();
  }

  /** Whether a server gets no requests because it asked for a pause. */
  isHeldOff(server: RegisteredServer): boolean {
    return this.#holdOffs.untilMs(server) !== undefined;
  }

  /** Whether a server's load report may be fetched now; counts it if so. */
  takeInquiry(server: RegisteredServer): boolean {
    return this.#holdOffs.takeInquiry(server);
  }

  /** Records that a server did not turn a request away. */
  recordAcceptance(server: RegisteredServer): void {
    this.#holdOffs.recordAcceptance(server);
  }

  /** Whether any server could take the request, now or after a wait. */
  canServe(request: ServerCriteria): boolean {
    return this.#selector.canServe(request);
  }

  /** See `PromptSearchOptions`. */
  likelyServers(
    criteria: { readonly service: string; readonly prompt: string },
    count: number,
  ): readonly RegisteredServer[] {
    return this.#selector.likelyServers(criteria, count);
  }

  /** Whether a service has a server, not excluded, that is not ejected. */
  hasHealthyServer(service: string, excluded: ReadonlySet<string>): boolean {
    return this.#selector.hasHealthyServer(service, excluded);
  }

  /** Whether a server may get new requests now, regardless of its load. */
  isUsable(name: string): boolean {
    return this.#selector.isUsable(name);
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
    this.#views.addLoad(name, load);
  }

  /** Removes load from a server. */
  end(name: string, load: ServerLoad): void {
    this.#views.removeLoad(name, load);
    this.#reportCapacity();
  }

  /** Returns what a server last reported of its load, if it was asked. */
  reportedLoad(name: string): ReportedLoad | undefined {
    return this.#views.get(name)?.reportedLoad;
  }

  /** Records what a server reported of its load. */
  recordReportedLoad(name: string, reportedLoad: ReportedLoad): void {
    this.#views.update(name, () => ({ reportedLoad }));
  }

  /** Records that data was received from a server; it is silent no longer. */
  recordActivity(name: string): void {
    if (this.isSilent(name)) return this.reinstate(name);
    const nowMs = this.#options.now();
    this.#views.update(
      name,
      () => ({ lastActivityMs: nowMs, respondedMs: nowMs }),
    );
  }

  /**
   * Sets the load of peer entries by server name; it is applied when it is next
   * read.
   */
  setPeerLoads(loads: () => ReadonlyMap<string, ServerLoad>): void {
    this.#views.setPeerLoads(loads);
    this.#reportCapacity();
  }

  /** Returns the load that this entry puts on servers, by server name. */
  ownLoads(): readonly (readonly [string, ServerLoad])[] {
    return this.#views.ownLoads();
  }

  /** Ejects a server after a failure: it gets no new requests for some time. */
  eject(name: string, failure: ServerFailure): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    const nowMs = this.#options.now();
    const ejection = extendEjection(view, { failure, nowMs });
    const { durationMs, ejectedUntilMs, unansweredCalls } = ejection;
    this.#views.update(name, () => ({ ejectedUntilMs, unansweredCalls }));
    const isReplaced = failure === ServerFailure.Replaced;
    if (isReplaced) this.#addresses.recordAbsence(view.server);
    const isStillSilent = this.#outages.recordFailure(name, failure);
    if (isStillSilent) return;
    if (isReplaced) this.#reportFewerServers();
    if (failure !== ServerFailure.Unanswered) {
      this.#recordZoneFailure(view.server);
    }
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
    this.#backoff.markFull(name);
  }

  /** Whether a server of a service recently refused a request as full. */
  wasRecentlyFull(service: string): boolean {
    return this.#backoff.wasRecentlyFull(service);
  }

  /** Ends the ejection of a server that proved healthy. */
  reinstate(name: string): void {
    this.#outages.recordRecovery(name);
    this.#views.update(name, () => ({
      ejectedUntilMs: 0,
      lastActivityMs: this.#options.now(),
    }));
    this.#reportCapacity();
  }

  /** Whether a server was ejected as silent and sent nothing since. */
  isSilent(name: string): boolean {
    return this.#outages.isSilent(name);
  }

  /**
   * Ejects a server that a peer entry found unreachable, unless it was active
   * recently.
   */
  applyPeerEjection(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    if (!shouldApplyPeerEjection(view, this.#options.now())) return;
    this.eject(name, ServerFailure.Unreachable);
    this.#outages.stopReporting(name);
  }

  /** Returns the servers that this entry recently found unreachable. */
  unreachableServers(): readonly string[] {
    return this.#outages.unreachableServers();
  }

  /** Several server failures in a zone at once make the whole zone suspect. */
  #recordZoneFailure({ zone, name }: RegisteredServer): void {
    const lost = this.#zoneFailures.record({ zone, name });
    if (lost > 0) {
      this.#options.log(LOG_EVENTS.zoneFailureSuspected, { zone, lost });
    }
  }
}
