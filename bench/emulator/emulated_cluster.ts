/** Entries and engines in virtual time; entries hear of each other by digests. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type {
  EntryId,
  Fingerprint,
  ObjectRevision,
  RequestId,
} from "../../src/ids.ts";
import type { LiveServer } from "../../src/process/live_server.ts";
import { Relay } from "../../src/process/relay.ts";
import { QueueOrder } from "../../src/process/settings.ts";
import {
  type ProxyRequest,
  RequestKind,
} from "../../src/request/proxy_request.ts";
import { serveRequest } from "../../src/request/serve_request.ts";
import { RouteTable } from "../../src/version/route_table.ts";
import { Fencing, ObjectKind } from "../../src/version/types.ts";
import { EmulatedCaller } from "./emulated_caller.ts";
import {
  EmulatedEngine,
  type EngineModel,
  REFERENCE_ENGINE,
} from "./emulated_engine.ts";
import type { LoadOptions, RequestClass } from "./emulated_load.ts";
import {
  EmulatedService,
  REFERENCE_SERVICE,
  type ServiceModel,
} from "./emulated_service.ts";
import type { VirtualClock } from "./virtual_time.ts";

/** What is emulated. */
export interface EmulationOptions extends LoadOptions {
  /** Count of engines. */
  readonly servers: number;
  /** Count of plain servers; none if absent. */
  readonly plainServers?: number;
  readonly plainModel?: ServiceModel;
  /** Entries that each entry dials; it hears those that dial it too. */
  readonly dialled: number;
  /** Whether engines keep copies of each other's runs; they do if absent. */
  readonly supportsKvBackup?: boolean;
  readonly engine?: EngineModel;
  /** Fair if absent. */
  readonly queueOrder?: QueueOrder;
  /** Engines that are slower for a while. */
  readonly slowdowns?: readonly Slowdown[];
}

/** A time in which the first engines are slower than the others. */
export interface Slowdown {
  readonly engines: number;
  readonly slowdownFactor: number;
  /** From the start, in ms. */
  readonly fromMs: number;
  readonly toMs: number;
}

const SERVICE = "engines";
const PLAIN = "plain";
/** Shortest deadline that callers of a class give, as part of the longest. */
const DEADLINE_MIN_PART = 0.825;
const DEADLINE_STEPS = 10;
const ZONES = ["zone-a", "zone-b", "zone-c"];
/** As the entries on the platform send digests, in ms. */
const DIGEST_MS = 150;
/** Only each second digest is sent where there are so many entries, as there. */
const CROWD_MIN = 14;
/** As the entries on the platform gather news, in ms. */
const NEWS_GATHER_MS = 10;
/** One way between two entries, in ms. */
const LINK_MS = 1;
const TOKENS_PER_EVENT = 7;

/** The entries and engines of one emulation. */
export class EmulatedCluster {
  readonly #options: EmulationOptions;
  readonly #clock: VirtualClock;
  readonly #engine: EngineModel;
  readonly #engines = new Map<string, EmulatedEngine>();
  readonly #services = new Map<string, EmulatedService>();
  readonly #relays: readonly Relay[];
  /** The relays that hear each relay, by its index. */
  readonly #heard: Set<Relay>[] = [];
  /** Relays that will tell something soon. */
  readonly #telling = new Set<number>();

  private constructor(options: EmulationOptions, clock: VirtualClock) {
    this.#options = options;
    this.#clock = clock;
    this.#engine = options.engine ?? REFERENCE_ENGINE;
    const engines = Array.from({ length: options.servers }, (_, at) => {
      const name = `server-${at}`;
      this.#engines.set(name, EmulatedEngine.create(this.#engine));
      return describeServer(at, { ...this.#engine, name, service: SERVICE });
    });
    const model = options.plainModel ?? REFERENCE_SERVICE;
    const random = xoroshiro128plus(options.seed);
    const plain = Array.from({ length: options.plainServers ?? 0 }, (_, at) => {
      const name = `plain-${at}`;
      this.#services.set(name, EmulatedService.create(model, random));
      return describeServer(at, { ...model, name, service: PLAIN });
    });
    const servers = [...engines, ...plain];
    this.#relays = Array.from(
      { length: options.entries },
      (_, at) => this.#createRelay(at, servers),
    );
    this.#link();
  }

  /** Makes entries that know the servers and are linked. */
  static create(
    options: EmulationOptions,
    clock: VirtualClock,
  ): EmulatedCluster {
    return new EmulatedCluster(options, clock);
  }

  /** Sends one request to an entry; the returned caller notes what it gets. */
  send(
    kind: RequestClass,
    { entry, index }: { readonly entry: number; readonly index: number },
  ): EmulatedCaller {
    const order = this.#createOrder(kind, {
      index,
      startMs: this.#clock.now(),
    });
    const caller = EmulatedCaller.create(this.#clock.now, {
      ...kind,
      customer: order.customer,
    });
    this.#serve(order, { caller, kind, entry }).then(() => {
      if (caller.outcome !== "refused" || kind.retryDelayMs === undefined) {
        return;
      }
      const { startMs } = caller;
      setTimeout(() => {
        const again = this.#createOrder(kind, { index, startMs });
        const elsewhere = (entry + 1) % this.#relays.length;
        this.#serve(again, { caller, kind, entry: elsewhere });
      }, caller.retryAfterMs + kind.retryDelayMs);
    });
    return caller;
  }

  async #serve(
    order: ProxyRequest,
    { caller, kind, entry }: {
      readonly caller: EmulatedCaller;
      readonly kind: RequestClass;
      readonly entry: number;
    },
  ): Promise<void> {
    const relay = this.#relays[entry];
    if (relay === undefined) return;
    await serveRequest(relay.context, {
      request: order,
      caller,
      open: (target) => {
        const service = this.#services.get(target.server.name);
        if (service !== undefined) return service.open(target);
        const engine = this.#engines.get(target.server.name);
        if (engine === undefined) throw new Error("server is not emulated");
        const keeper = this.#engines.get(target.backup?.name ?? "");
        const release = keeper?.reserveKvCopy(order);
        target.signal.addEventListener("abort", () => release?.());
        caller.onEnd = () => release?.();
        return engine.open(order, { target, eventsTotal: kind.eventCount });
      },
    });
  }

  /** Makes engines slower for a while. */
  applySlowdown(
    { engines, slowdownFactor: slowness, fromMs, toMs }: Slowdown,
  ): void {
    const chosen = [...this.#engines.values()].slice(0, engines);
    const set = (to: number) => {
      for (const engine of chosen) engine.slowdownFactor = to;
    };
    setTimeout(() => set(slowness), fromMs);
    setTimeout(() => set(1), toMs);
  }

  #createRelay(at: number, servers: readonly LiveServer[]): Relay {
    const random = xoroshiro128plus(this.#options.seed + at + 1);
    const relay = Relay.create({
      entry: `entry-${at}` as EntryId,
      log: () => undefined,
      fetchReport: ({ name }) => {
        const report = this.#engines.get(name)?.report();
        return report === undefined
          ? Promise.reject(new Error(`${name} is not emulated`))
          : Promise.resolve(report);
      },
      copyKvCache: () => Promise.reject(new Error("not emulated")),
      releaseKvCopy: () => Promise.resolve(),
      now: this.#clock.now,
      random: () => uniformFloat64(random),
      retryRatio: 1,
      retryAllowance: 100,
      retryWindowMs: 10_000,
      queueOrder: this.#options.queueOrder ?? QueueOrder.Fair,
      onStreamPlaced: () => this.#tellSoon(at),
    });
    const { supportsKvBackup: canBackUp = true } = this.#options;
    relay.adopt(createTable(this.#engine, canBackUp), "emulation");
    relay.setRegisteredEntryCount(this.#options.entries);
    relay.replaceServerList(
      servers.map((server) => ({
        name: server.name,
        revision: 1 as ObjectRevision,
        server,
      })),
      { revision: 1 as ObjectRevision, isAfterOutage: false },
    );
    return relay;
  }

  /** Links each entry to some others, both ways, and lets digests go round. */
  #link(): void {
    const random = xoroshiro128plus(this.#options.seed);
    const heard = this.#heard;
    for (const _ of this.#relays) heard.push(new Set<Relay>());
    this.#relays.forEach((relay, at) => {
      const others = Math.min(this.#options.dialled, this.#relays.length - 1);
      const chosen = new Set<number>();
      while (chosen.size < others) {
        const other = uniformInt(random, 0, this.#relays.length - 1);
        if (other !== at) chosen.add(other);
      }
      for (const other of chosen) {
        const peer = this.#relays[other];
        if (peer === undefined) continue;
        heard[at]?.add(peer);
        heard[other]?.add(relay);
      }
    });
    this.#relays.forEach((relay, at) => {
      const peers = heard[at] ?? new Set();
      const everyMs = this.#isCrowded ? 2 * DIGEST_MS : DIGEST_MS;
      setTimeout(() => {
        setInterval(() => this.#tell(relay, peers), everyMs);
      }, uniformInt(random, 0, everyMs));
    });
  }

  get #isCrowded(): boolean {
    return this.#options.entries >= CROWD_MIN;
  }

  /** Tells what was decided just now, once for the decisions of a moment. */
  #tellSoon(at: number): void {
    if (this.#isCrowded || this.#telling.has(at)) return;
    this.#telling.add(at);
    setTimeout(() => {
      this.#telling.delete(at);
      const relay = this.#relays[at];
      if (relay !== undefined) this.#tell(relay, this.#heard[at] ?? new Set());
    }, NEWS_GATHER_MS);
  }

  #tell(relay: Relay, peers: ReadonlySet<Relay>): void {
    const digest = relay.createDigest();
    setTimeout(() => {
      for (const peer of peers) peer.mergeDigest(digest);
    }, LINK_MS);
  }

  #createOrder(
    kind: RequestClass,
    { index, startMs }: { readonly index: number; readonly startMs: number },
  ): ProxyRequest {
    const id = `${kind.name}-${index}`;
    const orderKind = kind.kind ?? RequestKind.Stream;
    const isStream = orderKind === RequestKind.Stream;
    const part = isStream ? 1 : deadlinePart(index);
    const endMs = startMs + kind.deadlineMs * part;
    return {
      id: id as RequestId,
      kind: orderKind,
      isResumable: isStream,
      service: isStream ? SERVICE : PLAIN,
      route: kind.name,
      customer: kind.customers[index % kind.customers.length] ?? "",
      rank: {
        kind: ObjectKind.Rank,
        name: `priority-${kind.priority}`,
        order: kind.priority,
        targetMs: kind.targetMs,
        floorPercent: 0,
      },
      fingerprint: id as Fingerprint,
      kvCacheTokens: kind.promptTokens + kind.eventCount * TOKENS_PER_EVENT,
      promptTokens: kind.promptTokens,
      promptKey: isStream ? id : "",
      lastEventId: undefined,
      receivedMs: this.#clock.now(),
      callerDeadlineMs: endMs,
      routeDeadlineMs: endMs,
      maxAttempts: 5,
    };
  }
}

/** Spreads the deadlines of calls, as the users' callers do. */
function deadlinePart(index: number): number {
  const part = (index % DEADLINE_STEPS) / DEADLINE_STEPS;
  return 1 - part * (1 - DEADLINE_MIN_PART);
}

function describeServer(
  at: number,
  { name, service, slots }: Pick<LiveServer, "name" | "service" | "slots">,
): LiveServer {
  return {
    kind: ObjectKind.BackendServer,
    name,
    address: `${name}:80`,
    zone: ZONES[at % ZONES.length] ?? "",
    service,
    slots,
    fencing: Fencing.Ignored,
    isLeaving: false,
    startedMs: 1,
  };
}

function createTable(
  { kvCacheTokens: memoryTokens }: EngineModel,
  canBackUp: boolean,
): RouteTable {
  return RouteTable.create({
    version: 1,
    routes: [],
    services: [
      {
        name: SERVICE,
        engine: { kvCacheTokens: memoryTokens, supportsKvBackup: canBackUp },
      },
      { name: PLAIN, engine: undefined },
    ],
    customers: undefined,
    limits: {
      headerMaxBytes: 1,
      bodyMaxBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}
