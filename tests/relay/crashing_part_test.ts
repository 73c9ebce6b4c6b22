/** Tests of requests with one part of a prompt that crashes servers. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, onTestFinished, test } from "vitest";
import { CrashingFleet, type ServedRequest } from "./crashing_fleet.ts";

/** Time in which entries must have learned from each other, in ms. */
const CONTACT_MS = 3_000;
/** Requests that may reach servers after that, as the users require. */
const LATE_ARRIVALS_MAX = 3;
const CRASHES_MIN = 5;
const INTERVAL_MS = 60;
/** Requests of each kind in `INTERVAL_MS` steps; about 5.4 s. */
const REQUESTS = 90;
/** Harmless requests for each one with a part that crashes servers. */
const DEADLY_STEPS = 4;
const RELAYS = 6;

function createFleet(): CrashingFleet {
  const fleet = CrashingFleet.create({
    relays: RELAYS,
    servers: 18,
    zones: 3,
    isDeadly: ({ promptParts }) =>
      promptParts.some((part) => part.startsWith("deadly")),
  });
  onTestFinished(() => fleet.close());
  return fleet;
}

/** Requests with the part after `CONTACT_MS` from the fifth crash. */
function lateArrivals(fleet: CrashingFleet): number {
  const fifthMs = fleet.crashesMs[CRASHES_MIN - 1];
  if (fifthMs === undefined) return 0;
  return fleet.arrivalsAfter(fifthMs + CONTACT_MS);
}

/** Sends requests with a deadly part to all relays in turn, among harmless ones. */
async function sendMixed(
  fleet: CrashingFleet,
  injectFault: (step: number) => void = () => undefined,
  common: readonly string[] = ["shared"],
): Promise<{
  readonly deadly: readonly ServedRequest[];
  readonly harmless: readonly ServedRequest[];
}> {
  const deadly: Promise<ServedRequest>[] = [];
  const harmless: Promise<ServedRequest>[] = [];
  for (let step = 0; step < REQUESTS; step++) {
    injectFault(step);
    if (step % DEADLY_STEPS === 0) {
      const parts = [...common, "deadly", `own ${step}`];
      deadly.push(fleet.send(step % RELAYS, parts));
    }
    const parts = [...common, `other ${step}`];
    harmless.push(fleet.send((step + 1) % RELAYS, parts));
    await sleep(INTERVAL_MS);
  }
  return {
    deadly: await Promise.all(deadly),
    harmless: await Promise.all(harmless),
  };
}

test("requests that share a part which crashes servers stop reaching servers, regardless of their other parts", async () => {
  const fleet = createFleet();
  const sent = [];
  for (let at = 0; at < REQUESTS; at++) {
    sent.push(fleet.send(at % RELAYS, ["shared", "deadly"]));
    await sleep(INTERVAL_MS);
  }
  await Promise.all(sent);
  expect(lateArrivals(fleet)).toBeLessThanOrEqual(LATE_ARRIVALS_MAX);
});

test("harmless requests that share a part and ran during crashes are all served, and the others refused at once", async () => {
  const fleet = createFleet();
  const { deadly, harmless } = await sendMixed(fleet);
  expect(lateArrivals(fleet)).toBeLessThanOrEqual(LATE_ARRIVALS_MAX);
  expect(harmless.filter(({ ending }) => ending !== "whole")).toEqual([]);
  const refused = deadly.filter(({ attempts }) => attempts === 0);
  expect(refused.length).toBeGreaterThan(REQUESTS / DEADLY_STEPS / 2);
  for (const { ending, tookMs, retryAfterS } of refused) {
    expect(ending).toBe("refused not_run");
    expect(tookMs).toBeLessThan(INTERVAL_MS);
    expect(retryAfterS).toBeGreaterThan(50);
  }
  const hasRun = deadly.filter(({ attempts }) => attempts > 0);
  for (const { ending } of hasRun) {
    expect(ending).toBe("refused outcome_unknown");
  }
});

test.each([17, 600])(
  "a part behind %i others that all requests share is refused, and the harmless requests are served",
  async (count) => {
    const fleet = createFleet();
    const common = Array.from({ length: count }, (_, at) => `shared ${at}`);
    const { harmless } = await sendMixed(fleet, () => undefined, common);
    expect(lateArrivals(fleet)).toBeLessThanOrEqual(LATE_ARRIVALS_MAX);
    expect(harmless.filter(({ ending }) => ending !== "whole")).toEqual([]);
  },
);

test("crashes of whole zones hide no part that crashes servers", async () => {
  const fleet = createFleet();
  const { harmless } = await sendMixed(fleet, (step) => {
    if (step % 25 === 0) fleet.crashZone("abc".charAt((step / 25) % 3));
  });
  expect(lateArrivals(fleet)).toBeLessThanOrEqual(LATE_ARRIVALS_MAX);
  expect(harmless.filter(({ ending }) => ending !== "whole")).toEqual([]);
});

test("a part is found in a large zone where servers crash many times a second", async () => {
  const fleet = CrashingFleet.create({
    relays: 2,
    servers: 120,
    zones: 1,
    isDeadly: () => true,
  });
  onTestFinished(() => fleet.close());
  const sent = [];
  for (let at = 0; at < 400; at++) {
    sent.push(fleet.send(at % 2, ["shared", "deadly"]));
    await sleep(10);
  }
  await Promise.all(sent);
  expect(lateArrivals(fleet)).toBeLessThanOrEqual(LATE_ARRIVALS_MAX);
});

test("entries that restart or were cut off learn which part crashes servers", async () => {
  const fleet = createFleet();
  await sendMixed(fleet, (step) => {
    if (step === 15) fleet.setCut(1, true);
    if (step === 40) fleet.setCut(1, false);
    if (step % 12 === 0) fleet.restartRelay(2 + (step / 12) % (RELAYS - 2));
  });
  const arrivals = fleet.arrivals.length;
  await sleep(CONTACT_MS);
  for (let at = 0; at < RELAYS; at++) {
    const { ending } = await fleet.send(at, ["shared", "deadly", "later"]);
    expect(ending).toBe("refused not_run");
  }
  expect(fleet.arrivals.length).toBe(arrivals);
});

test("a second part that crashes servers is found after the first", async () => {
  const fleet = createFleet();
  await sendMixed(fleet);
  const firstCrashes = fleet.crashesMs.length;
  const sent = [];
  for (let at = 0; at < REQUESTS; at++) {
    sent.push(fleet.send(at % RELAYS, ["shared", "deadly too"]));
    await sleep(INTERVAL_MS);
  }
  await Promise.all(sent);
  const fifthMs = fleet.crashesMs[firstCrashes + CRASHES_MIN - 1] ?? Infinity;
  expect(fleet.arrivalsAfter(fifthMs + CONTACT_MS))
    .toBeLessThanOrEqual(LATE_ARRIVALS_MAX);
});
