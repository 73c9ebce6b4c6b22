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
  type ServerNeed,
  usableServers,
} from "./choose_server.ts";
import { EVENTS } from "./event_catalog.ts";
import type { Log } from "./log.ts";

/** What the servers need of their process. */
export interface LiveServersOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Number from 0 up to 1. */
  readonly random: () => number;
  readonly log: Log;
  /** Memory of a service's servers, in tokens; infinite for plain services. */
  readonly memoryTokensOf: (service: string) => number;
  /** Called when a server may have become free. */
  readonly onRoom: () => void;
}

/** What a request wants of a server, without what the process knows itself. */
export type ServerRequest = Omit<ServerNeed, "suspectZones">;

/** How a server was lost, as far as it decides when it is tried again. */
export enum ServerLoss {
  /** The process that was listed no longer has the address. */
  Replaced = "replaced",
  /** Nothing listens, or nothing answered a connection. */
  Unreachable = "unreachable",
  /** A connection broke or fell silent. */
  Broken = "broken",
  /** It refused for want of room. */
  Full = "full",
}

/** How long a server gets no new work after a loss, in ms. */
const AVOID_MS: Readonly<Record<ServerLoss, number>> = {
  // Only a new entry in the list makes it usable again.
  [ServerLoss.Replaced]: Number.POSITIVE_INFINITY,
  // Crashed servers are back after 1 to 5 s, as a new incarnation in the list.
  [ServerLoss.Unreachable]: 4_000,
  [ServerLoss.Broken]: 600,
  [ServerLoss.Full]: 100,
};

/** Losses in a zone within `ZONE_WINDOW_MS` that make it suspect. */
const ZONE_LOSSES = 2;
const ZONE_WINDOW_MS = 300;
/** A server that was heard so lately is not given up on another entry's word, in ms. */
const HEARD_FRESH_MS = 400;
/** How long other entries are told of a dead server, in ms: three digests. */
const DEAD_NEWS_MS = 450;
/** How long a zone stays suspect, in ms; zones on the sheets fail for 1.2 s. */
const ZONE_SUSPECT_MS = 1_500;

interface ZoneLosses {
  readonly servers: Map<string, number>;
  suspectedMs: number;
}

/** All registered backend servers. */
export class LiveServers {
  readonly #options: LiveServersOptions;
  readonly #views = new Map<string, LiveServerView>();
  readonly #zones = new Map<string, ZoneLosses>();
  /** Servers that this entry found dead, with the time of it. */
  readonly #dead = new Map<string, number>();

  private constructor(options: LiveServersOptions) {
    this.#options = options;
  }

  /** Starts without servers. */
  static create(options: LiveServersOptions): LiveServers {
    return new LiveServers(options);
  }

  /** Returns all views. */
  views(): Iterable<LiveServerView> {
    return this.#views.values();
  }

  /** Returns the view of a server by name. */
  view(name: string): LiveServerView | undefined {
    return this.#views.get(name);
  }

  /** Takes over what the list says of a server. */
  set(server: LiveServer): void {
    const held = this.#views.get(server.name);
    const isSame = held !== undefined && isSameIncarnation(held.server, server);
    const memoryTokens = this.#options.memoryTokensOf(server.service);
    if (!isSame) this.#retireAddress(server);
    if (server.isLeaving && !held?.server.isLeaving) {
      this.#options.log(EVENTS.serverLeaving, {
        server: server.name,
        source: "list",
      });
    }
    this.#views.set(server.name, {
      server,
      memoryTokens,
      own: isSame ? held.own : NO_LOAD,
      others: isSame ? held.others : NO_LOAD,
      avoidUntilMs: isSame ? held.avoidUntilMs : 0,
      heardMs: isSame ? held.heardMs : this.#options.now(),
    });
    this.#options.onRoom();
  }

  /** Drops a server that is gone from the list. */
  delete(name: string): void {
    this.#views.delete(name);
  }

  /** Recomputes the memory of all servers after a configuration changed. */
  refreshMemory(): void {
    for (const [name, view] of this.#views) {
      const memoryTokens = this.#options.memoryTokensOf(view.server.service);
      this.#views.set(name, { ...view, memoryTokens });
    }
  }

  /** Returns the server that a request goes to now, if one has room. */
  choose(request: ServerRequest): LiveServer | undefined {
    const { now, random } = this.#options;
    const need = { ...request, suspectZones: this.#suspectZones() };
    const context = { nowMs: now(), random };
    return chooseServer(this.#views.values(), need, context)?.server;
  }

  /** Whether any server could take the request now or after a wait. */
  canServe(request: ServerRequest): boolean {
    const need = { ...request, suspectZones: new Map() };
    const nowMs = this.#options.now();
    return usableServers(this.#views.values(), { need, nowMs }).length > 0;
  }

  /** Whether a server may get new work now, whatever its load. */
  isUsable(name: string): boolean {
    const view = this.#views.get(name);
    if (view === undefined || view.server.isLeaving) return false;
    return view.avoidUntilMs <= this.#options.now();
  }

  /** Notes work that goes to a server. */
  begin(name: string, load: ServerLoad): void {
    this.#change(name, (view) => ({ own: addLoad(view.own, load) }));
  }

  /** Notes that work has left a server. */
  end(name: string, load: ServerLoad): void {
    this.#change(name, (view) => ({ own: subtractLoad(view.own, load) }));
    this.#options.onRoom();
  }

  /** Notes that a server gave a sign of life. */
  hear(name: string): void {
    this.#change(name, () => ({ heardMs: this.#options.now() }));
  }

  /** Takes over what the other entries do, by server name. */
  setOthers(loads: ReadonlyMap<string, ServerLoad>): void {
    for (const [name, view] of this.#views) {
      const others = loads.get(name) ?? NO_LOAD;
      if (others !== view.others) this.#views.set(name, { ...view, others });
    }
    this.#options.onRoom();
  }

  /** Returns the work that this entry gave to servers, by server name. */
  ownLoads(): readonly (readonly [string, ServerLoad])[] {
    return [...this.#views.values()]
      .filter(({ own }) => own.requests > 0 || own.tokens > 0)
      .map(({ server, own }) => [server.name, own] as const);
  }

  /** Keeps a server out of new work after a loss. */
  lose(name: string, loss: ServerLoss): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    const nowMs = this.#options.now();
    const avoidUntilMs = Math.max(view.avoidUntilMs, nowMs + AVOID_MS[loss]);
    this.#change(name, () => ({ avoidUntilMs }));
    if (loss === ServerLoss.Unreachable) this.#dead.set(name, nowMs);
    if (loss !== ServerLoss.Full) this.#noteZoneLoss(view.server, nowMs);
    this.#options.log(EVENTS.serverEjected, {
      server: name,
      zone: view.server.zone,
      cause: loss,
      for_ms: String(AVOID_MS[loss]),
    });
  }

  /** Takes back the avoidance of a server that proved to be sound. */
  trust(name: string): void {
    this.#change(name, () => ({
      avoidUntilMs: 0,
      heardMs: this.#options.now(),
    }));
    this.#options.onRoom();
  }

  /** Takes over that another entry found a server dead. */
  hearLoss(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    const nowMs = this.#options.now();
    const isKnown = view.avoidUntilMs > nowMs;
    const isAlive = nowMs - view.heardMs < HEARD_FRESH_MS;
    if (isKnown || isAlive) return;
    this.lose(name, ServerLoss.Unreachable);
    this.#dead.delete(name);
  }

  /** Returns the servers that this entry found dead just now. */
  deadServers(): readonly string[] {
    const sinceMs = this.#options.now() - DEAD_NEWS_MS;
    for (const [name, foundMs] of this.#dead) {
      if (foundMs < sinceMs) this.#dead.delete(name);
    }
    return [...this.#dead.keys()];
  }

  /** Several losses in a zone at once make all of it suspect. */
  #noteZoneLoss({ zone, name }: LiveServer, nowMs: number): void {
    const losses = this.#zones.get(zone) ??
      { servers: new Map<string, number>(), suspectedMs: -Infinity };
    this.#zones.set(zone, losses);
    for (const [server, lostMs] of losses.servers) {
      if (nowMs - lostMs > ZONE_WINDOW_MS) losses.servers.delete(server);
    }
    losses.servers.set(name, nowMs);
    if (losses.servers.size < ZONE_LOSSES) return;
    if (nowMs - losses.suspectedMs > ZONE_SUSPECT_MS) {
      this.#options.log(EVENTS.zoneSuspected, {
        zone,
        lost: losses.servers.size,
      });
    }
    losses.suspectedMs = nowMs;
  }

  /** Whether several servers of a zone were lost at once just now. */
  isZoneSuspect(zone: string): boolean {
    return this.#suspectZones().has(zone);
  }

  #suspectZones(): ReadonlyMap<string, number> {
    const nowMs = this.#options.now();
    const suspect = new Map<string, number>();
    for (const [zone, { suspectedMs }] of this.#zones) {
      if (nowMs - suspectedMs <= ZONE_SUSPECT_MS) {
        suspect.set(zone, suspectedMs);
      }
    }
    return suspect;
  }

  /** An address belongs to its newest owner; older ones have ended. */
  #retireAddress({ name, address, startedMs }: LiveServer): void {
    for (const { server } of this.#views.values()) {
      const isOlder = server.address === address && server.name !== name &&
        server.startedMs <= startedMs;
      if (!isOlder) continue;
      this.#change(server.name, () => ({ avoidUntilMs: Infinity }));
    }
  }

  #change(
    name: string,
    change: (view: LiveServerView) => Partial<LiveServerView>,
  ): void {
    const view = this.#views.get(name);
    if (view !== undefined) this.#views.set(name, { ...view, ...change(view) });
  }
}

function isSameIncarnation(a: LiveServer, b: LiveServer): boolean {
  return a.address === b.address && a.startedMs === b.startedMs;
}
