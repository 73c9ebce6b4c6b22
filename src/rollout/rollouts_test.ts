/**
 * Plays roll-outs over several entries without a network: each knows its own
 * requests and what digests of a few linked entries tell, late or not at all.
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, test } from "vitest";
import type { ObjectRevision } from "../ids.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import { Fencing, ObjectKind } from "../version/types.ts";
import { chooseByVersion } from "./choose_by_version.ts";
import { Rollouts, type RolloutWrite } from "./rollouts.ts";
import {
  type RolloutDigest,
  type RolloutId,
  type RolloutOrder,
  RolloutStage,
  RolloutState,
} from "./types.ts";

const SERVICE = "bookings";
const ENTRIES = 12;
const LINKS_PER_ENTRY = 3;
/** Servers of which a request gets the least loaded one. */
const SAMPLED = 4;
const SERVERS_PER_VERSION = 24;
const REQUESTS_PER_S = 150;
const DURATION_MS = 20_000;
const TICK_MS = 10;
const DIGEST_MS = 300;
const UPDATE_MS = 200;
const LIMITS = { share: 0.1, allowance: 50 };
/** The users' bound from the 50th bad response to the last request, in ms. */
const ROLLBACK_MS = 5_000;
const BAD_RESPONSES = 50;

/** A response of the new version, as a fault changes it. */
interface Situation {
  readonly elapsedMs: number;
  /** Requests that the server runs, this one included. */
  readonly running: number;
  readonly route: string;
  readonly random: () => number;
}

/** Factor on the latency; `undefined` for a failure. */
type Fault = (situation: Situation) => number | undefined;

const GOOD: Fault = () => 1;
const BAD_VERSIONS: Readonly<Record<string, Fault>> = {
  "fails at once": ({ random }) => random() < 0.3 ? undefined : 1,
  "is slow at once": ({ random }) => random() < 0.5 ? 4 : 1,
  "fails later": ({ elapsedMs, random }) =>
    elapsedMs > 7_000 && random() < 0.4 ? undefined : 1,
  "fails under load": ({ running, random }) =>
    running >= 3 && random() < 0.6 ? undefined : 1,
  "fails on one route": ({ route, random }) =>
    route === "route-0" && random() < 0.6 ? undefined : 1,
};

/** What a play shows. */
interface Play {
  readonly states: readonly RolloutState[];
  readonly endedMs: number | undefined;
  readonly exposed: number;
  readonly requests: number;
  /** Requests to the new version later than the bound after its 50th failure. */
  readonly late: number;
}

interface PlayOptions {
  readonly fault: Fault;
  readonly seed: number;
  /** Share of digests that are lost. */
  readonly lossShare?: number;
  /** When the first entry, which decides, ends. */
  readonly deciderEndsMs?: number;
  /** When the store can't be written, in ms. */
  readonly storeAway?: { readonly fromMs: number; readonly toMs: number };
}

function createServer(version: string, at: number): RegisteredServer {
  return {
    kind: ObjectKind.BackendServer,
    name: `${version}-${at}`,
    address: `127.0.0.1:${at + 1}`,
    zone: `zone-${at % 3}`,
    service: SERVICE,
    slots: 8,
    fencing: Fencing.Ignored,
    isLeaving: false,
    startedMs: version === "1" ? 1 : 2,
    version,
  };
}

function play(options: PlayOptions): Play {
  const { fault, seed, lossShare = 0.1, deciderEndsMs = Infinity } = options;
  const random = xoroshiro128plus(seed);
  const next = () => uniformFloat64(random);
  let nowMs = 0;
  const servers = ["1", "2"].flatMap((version) =>
    Array.from(
      { length: SERVERS_PER_VERSION },
      (_, at) => createServer(version, at),
    )
  );
  const running = new Map<string, number>();
  const order: RolloutOrder = {
    id: "order" as RolloutId,
    service: SERVICE,
    target: "2",
    durationMs: DURATION_MS,
    revision: 7 as ObjectRevision,
  };
  const entries = Array.from({ length: ENTRIES }, (_, at) =>
    Rollouts.create({
      limits: LIMITS,
      writer: `entry-${at}`,
      log: () => undefined,
      now: () => nowMs,
      random: next,
      entryCount: () => ENTRIES,
      serversOf: () => servers,
      isUsable: () => true,
      onChange: () => undefined,
    }));
  const isAlive = (at: number) => at > 0 || nowMs < deciderEndsMs;
  for (const entry of entries) {
    entry.replaceStored([]);
    for (const server of servers) entry.recordServer(server);
  }
  entries[0]?.applyStored({ order, state: undefined });
  const states: RolloutState[] = [];
  const badMs: number[] = [];
  const candidateMs: number[] = [];
  let endedMs: number | undefined;
  let requests = 0;
  const pending: { atMs: number; run: () => void }[] = [];

  const send = (entry: Rollouts) => {
    const route = `route-${Math.floor(next() * 4)}`;
    const runningOn = ({ name }: RegisteredServer) => running.get(name) ?? 0;
    const choose = ({ isAllowed = () => true }: {
      readonly isAllowed?: ((server: RegisteredServer) => boolean) | undefined;
    }) => {
      const usable = servers.filter((server) =>
        isAllowed(server) && entry.isInService(server)
      );
      const sampled = Array.from({ length: SAMPLED }, () => pick(usable, next));
      if (usable.length === 0) return undefined;
      return sampled.reduce((best, server) =>
        runningOn(server) < runningOn(best) ? server : best
      );
    };
    const server = chooseByVersion(entry.filtersFor(SERVICE), {}, choose);
    if (server === undefined) return;
    const sentMs = nowMs;
    entry.recordPlacement(server);
    requests++;
    const count = (running.get(server.name) ?? 0) + 1;
    running.set(server.name, count);
    const isNew = server.version === "2";
    if (isNew) candidateMs.push(nowMs);
    const factor = isNew
      ? fault({ elapsedMs: nowMs, running: count, route, random: next })
      : 1;
    const isFailure = factor === undefined || next() < 0.01;
    if (factor !== 1) badMs.push(nowMs);
    const latencyMs = 300 * Math.exp(0.4 * (next() + next() - 1)) *
      (factor ?? 1);
    pending.push({
      atMs: nowMs + latencyMs,
      run: () => {
        running.set(server.name, (running.get(server.name) ?? 1) - 1);
        entry.recordResponse({
          server,
          aspect: route,
          sentMs,
          latencyMs: isFailure ? undefined : latencyMs,
        });
      },
    });
  };
  const write = ({ state }: RolloutWrite) => {
    const { fromMs = Infinity, toMs = 0 } = options.storeAway ?? {};
    if (nowMs >= fromMs && nowMs < toMs) return;
    if (states.at(-1) !== state) states.push(state);
    if (state !== RolloutState.Active) endedMs ??= nowMs;
    const decider = entries[isAlive(0) ? 0 : 1];
    decider?.applyStored({ order, state });
  };
  for (; nowMs < DURATION_MS + ROLLBACK_MS; nowMs += TICK_MS) {
    const due = pending.filter(({ atMs }) => atMs <= nowMs);
    for (const item of due) {
      pending.splice(pending.indexOf(item), 1);
      item.run();
    }
    if (next() < REQUESTS_PER_S * TICK_MS / 1_000 - 1) {
      send(pick(entries, next));
    }
    send(pick(entries, next));
    if (nowMs % DIGEST_MS === 0) {
      for (const [at, entry] of entries.entries()) {
        const digest = entry.digest() as readonly RolloutDigest[];
        for (let link = 1; link <= LINKS_PER_ENTRY; link++) {
          const to = (at + link * link) % ENTRIES;
          const isLost = next() < lossShare || !isAlive(at) || !isAlive(to);
          if (!isLost) entries[to]?.merge(digest);
        }
      }
    }
    if (nowMs % UPDATE_MS === 0) {
      for (const [at, entry] of entries.entries()) {
        if (!isAlive(at)) continue;
        const isDecider = at === (isAlive(0) ? 0 : 1);
        entry.update(isDecider).forEach(write);
      }
    }
  }
  const boundMs = (badMs[BAD_RESPONSES - 1] ?? Infinity) + ROLLBACK_MS;
  return {
    states,
    endedMs,
    exposed: candidateMs.filter((atMs) => atMs <= DURATION_MS).length,
    requests,
    late: candidateMs.filter((atMs) => atMs > boundMs).length,
  };
}

function pick<Item>(items: readonly Item[], next: () => number): Item {
  return items[Math.floor(next() * items.length)] as Item;
}

function expectRolledBack({ states, exposed, requests, late }: Play): void {
  expect(states.at(-1)).toBe(RolloutState.RolledBack);
  expect(exposed).toBeLessThanOrEqual(
    LIMITS.share * requests + LIMITS.allowance,
  );
  expect(late).toBe(0);
}

test("99 of 100 good versions are completed in time", () => {
  const plays = Array.from(
    { length: 100 },
    (_, seed) => play({ fault: GOOD, seed: seed + 1 }),
  );
  const completed = plays.filter(({ states, endedMs = Infinity }) =>
    states.at(-1) === RolloutState.Completed && endedMs <= DURATION_MS
  );
  expect(completed.length).toBeGreaterThanOrEqual(99);
}, 300_000);

test.each(Object.entries(BAD_VERSIONS))(
  "a version that %s is rolled back within its share",
  (_, fault) => {
    for (let seed = 1; seed <= 8; seed++) {
      expectRolledBack(play({ fault, seed }));
    }
  },
  300_000,
);

test("the next decider goes on when the first one ends", () => {
  const states = [GOOD, BAD_VERSIONS["fails later"] ?? GOOD].map((fault) =>
    play({ fault, seed: 3, deciderEndsMs: 9_000 }).states.at(-1)
  );
  expect(states).toEqual([RolloutState.Completed, RolloutState.RolledBack]);
});

test("a version is left at once and its state written when the store is back", () => {
  const fault = BAD_VERSIONS["fails at once"] ?? GOOD;
  const storeAway = { fromMs: 500, toMs: 15_000 };
  const result = play({ fault, seed: 5, storeAway });
  expectRolledBack(result);
  expect(result.endedMs).toBeGreaterThanOrEqual(storeAway.toMs);
  expect(result.exposed).toBeLessThan(200);
});

test("half of the digests lost: the bounds hold", () => {
  const fault = BAD_VERSIONS["fails on one route"] ?? GOOD;
  expectRolledBack(play({ fault, seed: 8, lossShare: 0.5 }));
});

/** Returns the orders of one entry that knows `servers`. */
function createRollouts(servers: readonly RegisteredServer[]): Rollouts {
  const rollouts = Rollouts.create({
    limits: LIMITS,
    writer: "entry-1",
    log: () => undefined,
    now: () => 0,
    random: () => 0,
    entryCount: () => 1,
    serversOf: () => servers,
    isUsable: () => true,
    onChange: () => undefined,
  });
  for (const server of servers) rollouts.recordServer(server);
  rollouts.replaceStored([]);
  return rollouts;
}

function createOrder(target: string, revision: number): RolloutOrder {
  return {
    id: `order-${revision}` as RolloutId,
    service: SERVICE,
    target,
    durationMs: DURATION_MS,
    revision: revision as ObjectRevision,
  };
}

test("a version that was rolled back stays out of use during the next order", () => {
  const servers = ["1", "2", "3"].map((version) => createServer(version, 0));
  const rollouts = createRollouts(servers);
  const inService = () =>
    servers.filter((server) => rollouts.isInService(server))
      .map(({ version }) => version);
  rollouts.applyStored({
    order: createOrder("2", 1),
    state: RolloutState.RolledBack,
  });
  expect(inService()).toEqual(["1", "3"]);
  rollouts.applyStored({ order: createOrder("3", 2), state: undefined });
  expect(inService()).toEqual(["1", "3"]);
  rollouts.applyStored({ order: createOrder("2", 3), state: undefined });
  expect(inService()).toEqual(["1", "2"]);
});

test("copies stay within a version, and move to the new one while it is promoted", () => {
  const [old, other, target] = [
    createServer("1", 0),
    createServer("1", 1),
    createServer("2", 0),
  ] as const;
  const rollouts = createRollouts([old, other, target]);
  const holders = (source: RegisteredServer) =>
    [old, other, target].filter((server) =>
      rollouts.copyFilter(source)?.(server) !== false
    ).map(({ name }) => name);
  const order = createOrder("2", 1);
  rollouts.applyStored({ order, state: undefined });
  expect(holders(old)).toEqual(["1-0", "1-1"]);
  expect(holders(target)).toEqual(["2-0"]);
  expect(rollouts.isRetiring(old)).toBe(false);
  rollouts.merge([{
    ...order,
    stage: RolloutStage.Promoting,
    ageMs: 14_000,
    stageAgeMs: 0,
    tallies: [],
  }]);
  expect(holders(old)).toEqual(["2-0"]);
  expect([old, target].map((server) => rollouts.isRetiring(server)))
    .toEqual([true, false]);
});
