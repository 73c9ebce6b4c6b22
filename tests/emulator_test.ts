/** What callers get under the loads that queueing, refusing and placing answer. */

import { expect, test } from "vitest";
import { SHEET_ENGINE } from "../bench/emulator/emulated_engine.ts";
import type { EmulatedClass } from "../bench/emulator/emulated_load.ts";
import { SHEET_SERVICE } from "../bench/emulator/emulated_service.ts";
import type { EmulationOptions } from "../bench/emulator/emulated_world.ts";
import { emulate, type EmulatedFigures } from "../bench/emulator/emulation.ts";
import { OrderKind } from "../src/request/order.ts";
import { QueueOrder } from "../src/process/settings.ts";
import { WAIT_PART } from "../src/request/stream_wait.ts";

const SEED = 20_261_204;

const ROUTINE: EmulatedClass = {
  name: "routine",
  perSecond: 5.4,
  promptTokens: 5_200,
  events: 130,
  targetMs: 10_000,
  pauseMs: 700,
  deadlineMs: 25_000,
  priority: 4,
  customers: ["a", "b", "c"],
};
const URGENT: EmulatedClass = {
  ...ROUTINE,
  name: "urgent",
  perSecond: 0.54,
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
  lengthMs: 15_000,
};

function shareOnTime({ onTime, sent }: EmulatedFigures): number {
  return onTime / sent;
}

async function run(
  changes: Partial<EmulationOptions>,
): Promise<Record<string, EmulatedFigures>> {
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
    engine: { ...SHEET_ENGINE, slots: 64 },
    classes: [
      { ...URGENT, perSecond: 0.12 },
      { ...ROUTINE, perSecond: 2.8, bursts: [BURST] },
    ],
  });
  expect(urgent && shareOnTime(urgent)).toBe(1);
  expect(routine && shareOnTime(routine)).toBeGreaterThan(0.99);
});

test("more than engines can do costs no answer that the rest could have given", async () => {
  const small = { entries: 3, servers: 4, lengthMs: 40_000 };
  const serveAt = async (perSecond: number) => {
    const { routine } = await run({
      ...small,
      classes: [{ ...ROUTINE, perSecond }],
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
    WAIT_PART * ROUTINE.targetMs + 10,
  );
});

/** Shares on time of a small customer beside one that asks for `perSecond`. */
async function smallBeside(perSecond: number): Promise<readonly number[]> {
  const shares: number[] = [];
  for (const queueOrder of [QueueOrder.Fair, QueueOrder.Arrival]) {
    const { small } = await run({
      entries: 3,
      servers: 4,
      lengthMs: 60_000,
      queueOrder,
      classes: [
        { ...ROUTINE, name: "large", perSecond, customers: ["large"] },
        { ...ROUTINE, name: "small", perSecond: 0.5, customers: ["small"] },
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
const BOOKING: EmulatedClass = {
  name: "booking",
  kind: OrderKind.NonIdempotent,
  perSecond: 110,
  returnMs: 100,
  promptTokens: 0,
  events: 0,
  targetMs: 193,
  pauseMs: 0,
  deadlineMs: 1_000,
  priority: 2,
  customers: ["a", "b", "c"],
};
const LOOK_UP: EmulatedClass = {
  ...BOOKING,
  name: "look-up",
  kind: OrderKind.Idempotent,
  perSecond: 47,
};
/** Calls that the server can answer in a second. */
const PLAIN_PER_S = SHEET_SERVICE.slots * 1_000 / SHEET_SERVICE.workMs;

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
    lengthMs,
    classes: [BOOKING, LOOK_UP].map((kind) => ({
      ...kind,
      perSecond: kind.perSecond * factor,
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
  const short = { lengthMs: 4_000 };
  expect(await run(short)).toEqual(await run(short));
});
