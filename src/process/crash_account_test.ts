/**
 * Tests of the decision which causes of crashes are refused, on entries that
 * exchange digests in virtual time.
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import type { CrashCause, RequestId } from "../ids.ts";
import {
  CONTACT_MS,
  type CrashScenario,
  CrashSimulation,
  DEADLY_PARTS,
  DIGEST_MS,
  SIMULATION_MS,
} from "../../bench/emulator/crash_simulation.ts";
import { CrashAccount } from "./crash_account.ts";
import { BLOCK_CRASHES_MAX } from "./crash_block.ts";
import {
  CRASH_RUNS_MAX,
  type RequestCauses,
  RUN_CAUSES_MAX,
  RunStage,
} from "./crash_evidence.ts";

/** Requests that may arrive later than `CONTACT_MS` after the fifth crash. */
const LATE_ARRIVALS_MAX = 3;

const momentMs = fc.integer({ min: 0, max: SIMULATION_MS });
const entryEvents = fc.array(fc.tuple(fc.nat(5), momentMs), { maxLength: 4 });
const entriesAndFaults = {
  entries: fc.integer({ min: 1, max: 6 }),
  seed: fc.nat(1_000_000),
  deadlyGapMs: fc.integer({ min: 20, max: 2_000 }),
  harmlessGapMs: fc.integer({ min: 30, max: 200 }),
  isAlwaysShared: fc.boolean(),
  lateMs: fc.constantFrom(0, 100, 250),
  zoneCrashesMs: fc.array(momentMs, { maxLength: 6 }),
  serverCrashes: fc.constant([]),
  restarts: entryEvents,
  cuts: entryEvents,
};
const oneDeadlyPart: fc.Arbitrary<CrashScenario> = fc.record({
  ...entriesAndFaults,
  deadlyParts: fc.constant(1),
  crashesBeforeHead: fc.boolean(),
  eventMs: fc.constant(30),
  sharedFromMs: fc.constantFrom(0, 15_000),
});
const severalDeadlyParts: fc.Arbitrary<CrashScenario> = fc.record({
  ...entriesAndFaults,
  deadlyParts: fc.integer({ min: 1, max: 3 }),
  crashesBeforeHead: fc.constant(false),
  eventMs: fc.constantFrom(30, 300),
  // Before any sound run, nothing tells a shared part from several deadly ones.
  sharedFromMs: fc.constant(0),
});
const scenarios = fc.oneof(oneDeadlyPart, severalDeadlyParts);

test.each([
  ["one part", 1, oneDeadlyPart],
  ["one part", 2, oneDeadlyPart],
  ["several parts", 1, severalDeadlyParts],
  ["several parts", 2, severalDeadlyParts],
])(
  "requests with %s that crash servers stop reaching them, and harmless ones that share the rest are served: series %i",
  (_name, _series, family) => {
    fc.assert(
      fc.property(family, (scenario) => {
        const simulation = CrashSimulation.run(scenario);
        const { fifthCrashMs, lateArrivals, harmlessRefusalsMs } = simulation;
        expect(lateArrivals).toBeLessThanOrEqual(LATE_ARRIVALS_MAX);
        const isLate = (atMs: number) => atMs > fifthCrashMs + 2 * CONTACT_MS;
        const refused = harmlessRefusalsMs.filter(isLate).length;
        const served = simulation.harmlessStartsMs.filter(isLate).length;
        // A restarted entry lets requests crash servers until the first digest.
        const refusedMax = scenario.restarts.length === 0 ? 0 : served;
        expect(refused).toBeLessThanOrEqual(refusedMax);
      }),
      { numRuns: 15 },
    );
  },
);

test.each([
  ["of which all requests have the others", { otherParts: 400 }],
  ["of which many requests have some others", {
    otherParts: 300,
    partsInUse: 3_000,
  }],
  ["of which hardly any request has the others", {
    otherParts: 300,
    partsInUse: 1_000_000,
  }],
])(
  "the last of hundreds of parts, %s, is refused when it crashes servers",
  (_name, others) => {
    const longPrompts = fc.record({
      ...entriesAndFaults,
      deadlyGapMs: fc.integer({ min: 300, max: 2_000 }),
      isAlwaysShared: fc.constant(true),
      deadlyParts: fc.constant(1),
      crashesBeforeHead: fc.constant(false),
      eventMs: fc.constant(30),
      sharedFromMs: fc.constant(0),
    });
    fc.assert(
      fc.property(longPrompts, (scenario) => {
        const simulation = CrashSimulation.run({ ...scenario, ...others });
        const { fifthCrashMs, lateArrivals, harmlessRefusalsMs } = simulation;
        expect(lateArrivals).toBeLessThanOrEqual(LATE_ARRIVALS_MAX);
        const isLate = (atMs: number) => atMs > fifthCrashMs + 2 * CONTACT_MS;
        const refused = harmlessRefusalsMs.filter(isLate).length;
        const served = simulation.harmlessStartsMs.filter(isLate).length;
        const refusedMax = scenario.restarts.length === 0 ? 0 : served;
        expect(refused).toBeLessThanOrEqual(refusedMax);
      }),
      { numRuns: 10, endOnFailure: true },
    );
  },
);

test("crashes that have no part in common refuse no request", () => {
  fc.assert(
    fc.property(scenarios, (scenario) => {
      const harmless = { ...scenario, deadlyGapMs: Infinity };
      const { harmlessRefusalsMs } = CrashSimulation.run(harmless);
      expect(harmlessRefusalsMs).toEqual([]);
    }),
    { numRuns: 20 },
  );
});

test("servers that crash independently do not get the part refused that all requests share", () => {
  const independentCrashes = fc.record({
    count: fc.integer({ min: 3, max: 9 }),
    gapMs: fc.integer({ min: 150, max: 800 }),
    firstMs: fc.integer({ min: 5_000, max: 15_000 }),
    entries: fc.integer({ min: 1, max: 6 }),
    seed: fc.nat(1_000_000),
    lateMs: fc.constantFrom(0, 100, 250),
    eventMs: fc.constantFrom(300, 1_000),
    harmlessGapMs: fc.integer({ min: 30, max: 100 }),
  });
  fc.assert(
    fc.property(
      independentCrashes,
      ({ count, gapMs, firstMs, ...scenario }) => {
        const { harmlessRefusalsMs } = CrashSimulation.run({
          ...scenario,
          deadlyGapMs: Infinity,
          deadlyParts: 1,
          crashesBeforeHead: false,
          isAlwaysShared: true,
          sharedFromMs: 0,
          zoneCrashesMs: [],
          restarts: [],
          cuts: [],
          serverCrashes: Array.from(
            { length: count },
            // Neighbours are in different zones.
            (_, at) => [at, firstMs + at * gapMs] as const,
          ),
        });
        expect(harmlessRefusalsMs).toEqual([]);
      },
    ),
    { numRuns: 60 },
  );
});

const [DEADLY_PART = "" as CrashCause] = DEADLY_PARTS;

function createAccount(clock: { ms: number }, entry = "entry-1"): CrashAccount {
  return CrashAccount.create({
    entry,
    now: () => clock.ms,
    onBlocked: () => undefined,
    onCleared: () => undefined,
  });
}

function createRequest(id: string, parts: readonly CrashCause[]) {
  return {
    id: id as RequestId,
    request: `request ${id}` as CrashCause,
    parts,
  };
}

test("a part that all requests share is not refused with the one that crashes servers, before any has run", () => {
  const clock = { ms: 0 };
  const account = createAccount(clock);
  const shared = "part shared" as CrashCause;
  for (let at = 0; at < 7; at++) {
    clock.ms += 260;
    const crash = { server: `${at}`, zone: "a", atMs: clock.ms };
    const victim = createRequest(`victim ${at}`, [shared]);
    account.recordCrash(victim, { ...crash, stage: RunStage.Waiting });
    // The entry that sent the last one has not told of it.
    if (at === 6) continue;
    const deadly = createRequest(`deadly ${at}`, [shared, DEADLY_PART]);
    account.recordCrash(deadly, { ...crash, stage: RunStage.Begun });
  }
  clock.ms += 1_000;
  const [harmless, deadly] = [[shared], [shared, DEADLY_PART]].map((parts) =>
    account.blockedUntilMs(createRequest("later", parts))
  );
  expect(harmless).toBeUndefined();
  expect(deadly).toBeGreaterThan(clock.ms);
});

/** Records crashes by requests with the deadly part, a second apart. */
function crashServers(
  causes: CrashAccount,
  clock: { ms: number },
  count: number,
) {
  for (let crash = 0; crash < count; crash++) {
    clock.ms += 1_000;
    causes.recordCrash(createRequest(`${clock.ms}`, [DEADLY_PART]), {
      server: `${clock.ms}`,
      atMs: clock.ms,
      zone: "a",
      stage: RunStage.Begun,
    });
  }
}

test("a part that no longer crashes servers is served again once a request with it succeeded", () => {
  const clock = { ms: 0 };
  const causes = createAccount(clock);
  const [probe, other] = ["probe", "other"].map((id) =>
    createRequest(id, [DEADLY_PART])
  ) as [RequestCauses, RequestCauses];
  crashServers(causes, clock, 3);
  expect(causes.blockedUntilMs(probe)).toBe(clock.ms + 60_000);
  clock.ms += 60_000;
  expect(causes.blockedUntilMs(probe)).toBeUndefined();
  causes.recordAttempt(probe);
  expect(causes.blockedUntilMs(probe)).toBeUndefined();
  expect(causes.blockedUntilMs(other)).toBe(clock.ms + 30_000);
  causes.recordProof(probe.parts);
  expect(causes.blockedUntilMs(other)).toBeUndefined();
  expect(causes.blocks()).toEqual([]);
});

test("a part that still crashes servers after a block is blocked ten times as long", () => {
  const clock = { ms: 0 };
  const causes = createAccount(clock);
  crashServers(causes, clock, 3);
  for (const blockMs of [60_000, 600_000, 6_000_000]) {
    const probe = createRequest(`after ${blockMs}`, [DEADLY_PART]);
    expect(causes.blockedUntilMs(probe)).toBe(clock.ms + blockMs);
    clock.ms += blockMs;
    causes.recordAttempt(probe);
    crashServers(causes, clock, 1);
  }
});

test("memory and digests stay bounded while many servers crash", () => {
  const clock = { ms: 0 };
  const causes = createAccount(clock);
  for (let crash = 0; crash < 6_000; crash++) {
    clock.ms += 1;
    const parts = Array.from(
      { length: 20 },
      (_, at) => `part ${crash % 900} ${at}` as CrashCause,
    );
    causes.recordCrash(createRequest(`${crash}`, parts), {
      server: `${crash}`,
      atMs: clock.ms,
      zone: "a",
      stage: RunStage.Begun,
    });
    causes.recordProof([`part harmless ${crash}` as CrashCause]);
  }
  expect(causes.size).toBeLessThanOrEqual(1_000);
  const { crashes = [], blocks = [] } = causes.digest() ?? {};
  expect(crashes.length + blocks.length).toBeLessThanOrEqual(6);
  for (const { runs } of crashes) {
    expect(runs.length).toBeLessThanOrEqual(CRASH_RUNS_MAX);
    for (const { causes } of runs) {
      expect(causes.length).toBeLessThanOrEqual(RUN_CAUSES_MAX);
    }
  }
  for (const { crashes } of blocks) {
    expect(crashes.length).toBeLessThanOrEqual(BLOCK_CRASHES_MAX);
  }
});

test("an entry that starts learns every blocked cause from digests", () => {
  const clock = { ms: 0 };
  const causes = createAccount(clock);
  const parts = Array.from({ length: 20 }, (_, at) => `part ${at}`);
  for (const part of parts) {
    for (let crash = 0; crash < 3; crash++) {
      clock.ms += 300;
      causes.recordCrash(
        createRequest(`${part} ${crash}`, [part as CrashCause]),
        {
          server: `${part} ${crash}`,
          atMs: clock.ms,
          zone: "a",
          stage: RunStage.Begun,
        },
      );
    }
  }
  const started = createAccount(clock);
  for (let waitedMs = 0; waitedMs < CONTACT_MS; waitedMs += DIGEST_MS) {
    clock.ms += DIGEST_MS;
    const digest = causes.digest();
    if (digest !== undefined) started.merge(digest);
  }
  expect(started.blocks().flatMap(({ causes }) => causes).toSorted())
    .toEqual(parts.toSorted());
});

test("the crashes of one request within milliseconds all count, also before a head", () => {
  const clock = { ms: 0 };
  const account = createAccount(clock);
  const request = createRequest("read", []);
  for (const server of ["a", "b", "c"]) {
    clock.ms += 10;
    const crash = { server, zone: server, atMs: clock.ms };
    account.recordCrash(request, { ...crash, stage: RunStage.Waiting });
  }
  clock.ms += 1_000;
  expect(account.blockedUntilMs(request)).toBeDefined();
});

/** Gives each account the digests of the others. */
function exchangeDigests(accounts: readonly CrashAccount[]): void {
  const digests = accounts.map((account) => account.digest());
  for (const [at, account] of accounts.entries()) {
    for (const [from, digest] of digests.entries()) {
      if (from !== at && digest !== undefined) account.merge(digest);
    }
  }
}

/** A crash of a call's server, at an entry, with how long the call had run. */
interface CallCrash {
  readonly id: string;
  readonly entry: number;
  readonly atMs: number;
  readonly ranMs: number;
  readonly zone: string;
  /** Whether it is another call. */
  readonly isOther?: boolean;
}

/**
 * Returns whether each of three entries refuses the call after its crashes, and
 * one that starts then and takes in the blocks.
 */
function refusalsAfter(crashes: readonly CallCrash[]): readonly boolean[] {
  const clock = { ms: 0 };
  const accounts = ["entry-1", "entry-2", "entry-3"].map((entry) =>
    createAccount(clock, entry)
  );
  const request = "request read" as CrashCause;
  for (const { id, entry, isOther, ...crash } of crashes) {
    clock.ms = crash.atMs;
    const other = "request other" as CrashCause;
    const causes = {
      id: id as RequestId,
      request: isOther === true ? other : request,
      parts: [],
    };
    const server = `server at ${crash.zone} ${crash.atMs}`;
    accounts[entry]?.recordCrash(causes, {
      ...crash,
      server,
      stage: RunStage.Calling,
    });
    exchangeDigests(accounts);
  }
  clock.ms += 500;
  const started = createAccount(clock, "entry-4");
  for (const block of accounts[0]?.blocks() ?? []) {
    started.adopt(structuredClone(block));
  }
  return [...accounts, started].map((account) =>
    account.blockedUntilMs({ id: "later" as RequestId, request, parts: [] }) !==
      undefined
  );
}

test("a call that its caller repeats at another entry within milliseconds is refused everywhere after three crashes", () => {
  const refusals = refusalsAfter([
    { id: "1", entry: 0, atMs: 10, ranMs: 4, zone: "a" },
    { id: "1", entry: 0, atMs: 20, ranMs: 4, zone: "b" },
    { id: "2", entry: 1, atMs: 30, ranMs: 4, zone: "c" },
  ]);
  expect(refusals).toEqual([true, true, true, true]);
});

test("a call that each attempt of its caller repeats once is refused after three crashes", () => {
  const refusals = refusalsAfter([
    { id: "1", entry: 0, atMs: 10, ranMs: 4, zone: "a" },
    { id: "2", entry: 1, atMs: 20, ranMs: 4, zone: "b" },
    { id: "3", entry: 2, atMs: 30, ranMs: 4, zone: "c" },
  ]);
  expect(refusals).toEqual([true, true, true, true]);
});

test("a call that crashes three servers of a zone in sequence is no failure of the zone", () => {
  const refusals = refusalsAfter([
    { id: "1", entry: 0, atMs: 10, ranMs: 4, zone: "a" },
    { id: "2", entry: 1, atMs: 20, ranMs: 4, zone: "a" },
    { id: "3", entry: 2, atMs: 30, ranMs: 4, zone: "a" },
  ]);
  expect(refusals).toEqual([true, true, true, true]);
});

test("equal calls that a common failure of servers ends at once are not refused", () => {
  const refusals = refusalsAfter([
    { id: "1", entry: 0, atMs: 100, ranMs: 20, zone: "a" },
    { id: "2", entry: 1, atMs: 101, ranMs: 40, zone: "b" },
    { id: "3", entry: 2, atMs: 104, ranMs: 30, zone: "c" },
    { id: "4", entry: 2, atMs: 104, ranMs: 30, zone: "d" },
  ]);
  expect(refusals).toEqual([false, false, false, false]);
});

test("equal calls that callers repeat while a zone fails are not refused", () => {
  const refusals = refusalsAfter([
    { id: "1", entry: 0, atMs: 100, ranMs: 20, zone: "a" },
    { id: "2", entry: 1, atMs: 130, ranMs: 10, zone: "a" },
    { id: "3", entry: 2, atMs: 160, ranMs: 10, zone: "a" },
    { id: "4", entry: 2, atMs: 165, ranMs: 40, zone: "a", isOther: true },
  ]);
  expect(refusals).toEqual([false, false, false, false]);
});

test("of all entries one lets one request through for one attempt, 10 s after the last crash", () => {
  const clock = { ms: 0 };
  const accounts = ["entry-1", "entry-2", "entry-3"].map((entry) =>
    createAccount(clock, entry)
  );
  const [first] = accounts;
  if (first === undefined) throw new Error("no entry");
  crashServers(first, clock, 3);
  const attemptsMs: number[] = [];
  for (let waitedMs = 0; waitedMs < 50_000; waitedMs += DIGEST_MS) {
    clock.ms += DIGEST_MS;
    for (const [at, account] of accounts.entries()) {
      if (account.blocks().length === 0) continue;
      const request = createRequest(`${at} ${clock.ms}`, [DEADLY_PART]);
      if (account.blockedUntilMs(request) === undefined) {
        account.recordAttempt(request);
        attemptsMs.push(waitedMs);
        account.recordEnd(request.id);
        expect(account.blockedUntilMs(request)).toBeDefined();
      }
      const digest = account.digest();
      for (const other of accounts) {
        if (other !== account && digest !== undefined) other.merge(digest);
      }
    }
  }
  // The second follows since the first showed nothing in 30 s.
  expect(attemptsMs.length).toBe(2);
  expect(attemptsMs[0]).toBeGreaterThan(10_000);
  expect(attemptsMs[0]).toBeLessThan(12_000);
  expect(attemptsMs[1]).toBeGreaterThan(40_000);
});

test("a block that is taken in refuses requests until a sound run refutes it", () => {
  const clock = { ms: 0 };
  const decided = createAccount(clock);
  crashServers(decided, clock, 3);
  const account = createAccount(clock);
  for (const block of [...decided.blocks(), ...decided.blocks()]) {
    account.adopt(structuredClone(block));
  }
  const request = createRequest("later", [DEADLY_PART]);
  expect(account.blockedUntilMs(request)).toBe(clock.ms + 60_000);
  expect(account.blocks()).toEqual(decided.blocks());
  clock.ms += 1;
  account.recordProof([DEADLY_PART]);
  expect(account.blockedUntilMs(request)).toBeUndefined();
});

test("after five crashes a part is refused, though two came at once", () => {
  const clock = { ms: 0 };
  const account = createAccount(clock);
  const crashesMs = [["1", 60], ["1", 120], ["1", 180], ["2", 280], ["3", 300]];
  for (const [id, ms] of crashesMs) {
    clock.ms = Number(ms);
    const crash = { server: `${ms}`, zone: `${ms}`, atMs: clock.ms };
    const request = createRequest(`${id}`, [DEADLY_PART]);
    account.recordCrash(request, { ...crash, stage: RunStage.Begun });
  }
  const later = createRequest("later", [DEADLY_PART]);
  expect(account.blockedUntilMs(later)).toBe(clock.ms + 60_000);
});

test("a part that had run well is refused in time once it crashes servers", () => {
  const clock = { ms: 0 };
  const account = createAccount(clock);
  account.recordProof([DEADLY_PART]);
  for (let at = 0; at < 5; at++) {
    clock.ms += 100;
    account.recordCrash(createRequest(`${at}`, [DEADLY_PART]), {
      server: `${at}`,
      zone: `${at}`,
      atMs: clock.ms,
      stage: RunStage.Begun,
    });
  }
  clock.ms += CONTACT_MS / 2;
  const later = createRequest("later", [DEADLY_PART]);
  expect(account.blockedUntilMs(later)).toBeGreaterThan(clock.ms);
});
