/** What callers get under the loads that queueing, refusing and placing answer. */

import { expect, test } from "vitest";
import { REFERENCE_ENGINE } from "../bench/emulator/emulated_engine.ts";
import type { RequestClass } from "../bench/emulator/emulated_load.ts";
import { REFERENCE_SERVICE } from "../bench/emulator/emulated_service.ts";
import type { EmulationOptions } from "../bench/emulator/emulated_cluster.ts";
import {
  emulate,
  type EmulatedClassResults,
} from "../bench/emulator/emulation.ts";
import { RequestKind } from "../src/request/proxy_request.ts";
import { QueueOrder } from "../src/process/settings.ts";
import { QUEUE_TIMEOUT_RATIO } from "../src/request/stream_queue_limits.ts";

const SEED = 20_261_204;

const ROUTINE: RequestClass = {
  name: "routine",
  arrivalsPerS: 5.4,
  promptTokens: 5_200,
  eventCount: 130,
  targetMs: 10_000,
  maxPauseMs: 700,
  deadlineMs: 25_000,
  priority: 4,
  customers: ["a", "b", "c"],
};
const URGENT: RequestClass = {
  ...ROUTINE,
  name: "urgent",
  arrivalsPerS: 0.54,
  targetMs: 4_000,
  priority: 0,
};
const BURST = { factor: 2.3, fromMs: 3_000, toMs: 9_000 };
/** The users' first deployment: 6 entries that all hear each other. */
const DEPLOYMENT: EmulationOptions = {
  entries: 6,
  servers: 25,
  dialled: 5,
  classes: [URGENT, { ...ROUTINE, bursts: [BURST] }],
  seed: SEED,
  durationMs: 15_000,
};

function shareOnTime({ onTime, sent }: EmulatedClassResults): number {
  return onTime / sent;
}

async function run(
  changes: Partial<EmulationOptions>,
): Promise<Record<string, EmulatedClassResults>> {
  const figures = await emulate({ ...DEPLOYMENT, ...changes });
  return Object.fromEntries(figures.map((of) => [of.name, of]));
}

test("a burst of routine streams makes no urgent one late", async () => {
  const { urgent, routine } = await run({});
  expect(urgent && shareOnTime(urgent)).toBe(1);
  expect(routine && shareOnTime(routine)).toBeGreaterThan(0.99);
});

test("the same with few engines of many slots, where memory binds", async () => {
  const { urgent, routine } = await run({
    servers: 13,
    engine: { ...REFERENCE_ENGINE, slots: 64 },
    classes: [
      { ...URGENT, arrivalsPerS: 0.12 },
      { ...ROUTINE, arrivalsPerS: 2.8, bursts: [BURST] },
    ],
  });
  expect(urgent && shareOnTime(urgent)).toBe(1);
  expect(routine && shareOnTime(routine)).toBeGreaterThan(0.99);
});

test("more than engines can do costs no answer that the rest could have given", async () => {
  const small = { entries: 3, servers: 4, durationMs: 40_000 };
  const serveAt = async (perSecond: number) => {
    const { routine } = await run({
      ...small,
      classes: [{ ...ROUTINE, arrivalsPerS: perSecond }],
    });
    return routine;
  };
  const enough = await serveAt(2.8);
  const more = await serveAt(5);
  expect(more?.onTime).toBeGreaterThanOrEqual(enough?.onTime ?? Infinity);
  const served = (more?.late ?? 0) + (more?.onTime ?? 0);
  expect((more?.onTime ?? 0) / served).toBeGreaterThan(0.98);
  expect(more?.refused).toBeGreaterThan(0);
  expect(more?.refusedAfterMs).toBeLessThanOrEqual(
    QUEUE_TIMEOUT_RATIO * ROUTINE.targetMs + 10,
  );
});

/** Shares on time of a small customer beside one that asks for `arrivalsPerS`. */
async function smallBeside(perSecond: number): Promise<readonly number[]> {
  const shares: number[] = [];
  for (const queueOrder of [QueueOrder.Fair, QueueOrder.Fifo]) {
    const { small } = await run({
      entries: 3,
      servers: 4,
      durationMs: 60_000,
      queueOrder,
      classes: [
        {
          ...ROUTINE,
          name: "large",
          arrivalsPerS: perSecond,
          customers: ["large"],
        },
        { ...ROUTINE, name: "small", arrivalsPerS: 0.5, customers: ["small"] },
      ],
    });
    shares.push(small === undefined ? 0 : shareOnTime(small));
  }
  return shares;
}

test("a customer that asks for more than all takes nothing from a small one, unlike by arrival", async () => {
  const [fair = 0, byArrival = 0] = await smallBeside(3);
  expect(fair).toBe(1);
  expect(fair).toBeGreaterThan(byArrival);
});

test("beside twice what engines can do a small customer is served better than by arrival", async () => {
  const [fair = 0, byArrival = 0] = await smallBeside(6);
  expect(fair).toBeGreaterThan(1.3 * byArrival);
});

/** The users' callers of a plain service, of which one server is left. */
const BOOKING: RequestClass = {
  name: "booking",
  kind: RequestKind.NonIdempotent,
  arrivalsPerS: 110,
  retryDelayMs: 100,
  promptTokens: 0,
  eventCount: 0,
  targetMs: 193,
  maxPauseMs: 0,
  deadlineMs: 1_000,
  priority: 2,
  customers: ["a", "b", "c"],
};
const LOOK_UP: RequestClass = {
  ...BOOKING,
  name: "look-up",
  kind: RequestKind.Idempotent,
  arrivalsPerS: 47,
};
/** Calls that the server can answer in a second. */
const PLAIN_PER_S = REFERENCE_SERVICE.slots * 1_000 /
  REFERENCE_SERVICE.meanServiceTimeMs;

/** Calls on time, of those sent and of those that the server can answer. */
async function serveCalls(
  { factor, entries, dialled }: {
    readonly factor: number;
    readonly entries: number;
    readonly dialled: number;
  },
) {
  const lengthMs = 15_000;
  const { booking, "look-up": lookUp } = await run({
    entries,
    dialled,
    servers: 0,
    plainServers: 1,
    durationMs: lengthMs,
    classes: [BOOKING, LOOK_UP].map((kind) => ({
      ...kind,
      arrivalsPerS: kind.arrivalsPerS * factor,
    })),
  });
  const onTime = (booking?.onTime ?? 0) + (lookUp?.onTime ?? 0);
  const sent = (booking?.sent ?? 0) + (lookUp?.sent ?? 0);
  const possible = Math.min(sent, PLAIN_PER_S * lengthMs / 1_000);
  return { ofPossible: onTime / possible, booking, lookUp };
}

test("calls that one server can answer are all on time", async () => {
  const { ofPossible } = await serveCalls({
    factor: 0.7,
    entries: 6,
    dialled: 5,
  });
  expect(ofPossible).toBeGreaterThan(0.98);
});

test.for([
  { factor: 1.1, entries: 6, dialled: 5 },
  { factor: 1.5, entries: 6, dialled: 5 },
  { factor: 1.1, entries: 59, dialled: 6 },
])(
  "of calls beyond what a server can do, most of those it can are on time: %o",
  async (load) => {
    const { ofPossible, booking, lookUp } = await serveCalls(load);
    expect(ofPossible).toBeGreaterThan(0.8);
    expect(booking?.broken).toBe(0);
    expect(lookUp?.broken).toBe(0);
  },
);

test("a seed gives the same figures every time", async () => {
  const short = { durationMs: 4_000 };
  expect(await run(short)).toEqual(await run(short));
});
