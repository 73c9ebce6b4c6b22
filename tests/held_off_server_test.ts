/**
 * Calls and streams through a platform entry while stand-ins for backend
 * servers reject requests and ask for a pause.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { Child } from "../bench/child.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import type { Arrival } from "../standins/arrival.ts";
import { LIMITS, LocalPlatform } from "./local_platform.ts";

const ROUTE_KINDS = ["idempotent", "non_idempotent", "streaming"];
const CONFIGURATION = {
  version: 1,
  routes: ROUTE_KINDS.map((routeKind) => ({
    name: routeKind,
    host: "a.example",
    pathPrefix: routeKind === "streaming" ? "/stream/" : `/${routeKind}/`,
    routeKind,
    resumable: routeKind === "streaming",
    service: "engines",
    timeoutMs: 8_000,
    targetLatencyMs: 1_000,
    priority: 1,
    maxAttempts: 3,
  })),
  services: [{ name: "engines", healthPath: "/healthz" }],
  limits: LIMITS,
};
const PATHS = ["/idempotent/", "/non_idempotent/", "/stream/?events=2"];
/** Requests of one entry that may reach a server within a pause. */
const PERMITTED = 2;
/** Time from the start of a pause until requests count, in ms. */
const GRACE_MS = 500;
const LOAD_INTERVAL_MS = 15;
/** Time within which a request counts as refused at once, in ms. */
const AT_ONCE_MS = 300;

let platform: LocalPlatform;
let runners: Child[];

beforeEach(async () => {
  platform = await LocalPlatform.create();
  runners = [];
  for (const name of ["i-1", "i-2"]) await addRunner(name);
  await platform.startEntry(CONFIGURATION);
});

afterEach(async () => {
  await platform.close();
  for (const runner of runners) await runner.kill();
});

/** Starts a backend server and registers it. */
async function addRunner(name: string): Promise<Child> {
  const runner = await Child.create({ module: "standins/runner.js", args: [] });
  runners.push(runner);
  await runner.control({ id: name });
  await platform.store.create("servers", {
    name,
    spec: {
      service: "engines",
      address: runner.address,
      zone: `zone-${name}`,
      slots: 16,
      state: "ready",
      born: Date.now(),
    },
  });
  return runner;
}

function runnerAt(index: number): Child {
  const runner = runners[index];
  if (runner === undefined) throw new Error(`no runner ${index}`);
  return runner;
}

async function send(path: string) {
  const startMs = performance.now();
  const { status, headers, body } = await platform.call(path);
  return {
    status,
    retryAfterS: Number(headers["retry-after"]),
    text: body.toString(),
    tookMs: performance.now() - startMs,
  };
}

/** Sends requests of all kinds at a steady rate; returns their statuses. */
async function sendFor(durationMs: number): Promise<readonly number[]> {
  const pending: Promise<number>[] = [];
  const endMs = performance.now() + durationMs;
  for (let at = 0; performance.now() < endMs; at++) {
    const path = PATHS[at % PATHS.length] ?? "";
    pending.push(send(path).then(({ status }) => status));
    await sleep(LOAD_INTERVAL_MS);
  }
  return await Promise.all(pending);
}

function arrivalsAt(runner: Child): Promise<readonly Arrival[]> {
  return runner.get("/standin/arrivals");
}

/** Returns the most requests that reached a runner within one of its pauses. */
async function mostWithinPause(runner: Child): Promise<number> {
  const arrivals = await arrivalsAt(runner);
  const counts = arrivals
    .filter(({ retryAfter }) => Number(retryAfter) > 0)
    .map(({ atMs: startMs, retryAfter }) =>
      arrivals.filter(({ atMs }) =>
        atMs >= startMs + GRACE_MS && atMs < startMs + Number(retryAfter) * 1e3
      ).length
    );
  expect(counts.length).toBeGreaterThan(0);
  return Math.max(...counts);
}

test("a server that rejects requests gets at most two in its pause, and all callers get a response", async () => {
  await runnerAt(0).control({ retryAfter: "2.2" });
  expect(new Set(await sendFor(1_500))).toEqual(new Set([200]));
  await runnerAt(0).control({ retryAfter: "" });
  await sendFor(1_500);
  expect(await mostWithinPause(runnerAt(0))).toBeLessThanOrEqual(PERMITTED);
  const served = (await arrivalsAt(runnerAt(0)))
    .filter(({ retryAfter }) => retryAfter === "");
  expect(served.length).toBeGreaterThan(0);
  const [details] = platform.detailsOf(LOG_EVENTS.serverHeldOff);
  expect(LOG_EVENTS.serverHeldOff.number).toBe(3007);
  expect(details).toMatchObject({ server: "i-1", stated_ms: 2_200 });
});

test("callers are refused at once with the earliest end when all servers ask for a pause", async () => {
  await runnerAt(0).control({ retryAfter: "4" });
  await runnerAt(1).control({ retryAfter: "1.6" });
  await send("/non_idempotent/");
  for (const path of PATHS) {
    const { status, retryAfterS, tookMs } = await send(path);
    expect(status).toBe(503);
    expect(retryAfterS).toBeGreaterThan(0.5);
    expect(retryAfterS).toBeLessThanOrEqual(1.6);
    expect(tookMs).toBeLessThan(AT_ONCE_MS);
  }
  await sendFor(1_000);
  for (const runner of runners) {
    await runner.control({ retryAfter: "" });
    expect(await mostWithinPause(runner)).toBeLessThanOrEqual(PERMITTED);
  }
  const { retryAfterS } = await send("/non_idempotent/");
  await sleep(1_000 * (retryAfterS || 0));
  expect((await send("/non_idempotent/")).status).toBe(200);
});

test("a stream continues at a server that rejects report requests", async () => {
  await runnerAt(1).kill();
  await platform.store.remove("servers", { name: "i-2" });
  await runnerAt(0).control({ eventMs: 900 });
  const stream = send("/stream/?events=4");
  await expect.poll(async () => (await arrivalsAt(runnerAt(0))).length)
    .toBeGreaterThan(0);
  await runnerAt(0).control({ retryAfter: "2.5" });
  const { status, text } = await stream;
  expect(status).toBe(200);
  expect([...text.matchAll(/id: (\d)/g)].map(([, id]) => id).join("")).toBe(
    "1234",
  );
  expect(await mostWithinPause(runnerAt(0))).toBeLessThanOrEqual(PERMITTED);
});

test.for([
  "-1",
  "NaN",
  "Infinity",
  "soon",
  "Fri, 31 Dec 2100 23:59:59 GMT",
])("Retry-After '%s' leaves a server in use", async (retryAfter) => {
  await runnerAt(0).control({ retryAfter });
  await runnerAt(1).control({ retryAfter });
  await send("/idempotent/");
  for (const runner of runners) await runner.control({ retryAfter: "" });
  await sleep(100);
  for (const path of PATHS) expect((await send(path)).status).toBe(200);
});

test("a server that asked for an hour is in use again when it registers after a restart", async () => {
  await runnerAt(0).control({ retryAfter: "3600" });
  await runnerAt(1).control({ retryAfter: "3600" });
  await send("/idempotent/");
  const refused = await send("/idempotent/");
  expect(refused.status).toBe(503);
  expect(refused.retryAfterS).toBeLessThanOrEqual(120);
  await addRunner("i-3");
  await expect.poll(async () => (await send("/idempotent/")).status)
    .toBe(200);
});
