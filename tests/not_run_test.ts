/**
 * Tests promise 4: a request that is refused with not_run did not run. Seeded
 * fault schedules run against real processes. Engines announce each run on a
 * pipe, so that runs are counted even if the engine is killed.
 */

import fc from "fast-check";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { callHttp } from "../src/connection/http_call.ts";
import { bearerKey, GENERATION_SERVICE } from "../bench/local_deployment.ts";
import { Transcript } from "./transcript.ts";

const SEED = 20_261_204;
const SCHEDULES = 6;
const REQUESTS_PER_SCHEDULE = 24;
/** Longer than `resume_limit_ms`, the time that a stream waits for a server. */
const OUTAGE_MS = 1_000;

/** One fault of a schedule. */
const FAULT = fc.record({
  engine: fc.nat({ max: 1 }),
  kind: fc.constantFrom(
    "drain",
    "restore",
    "disconnect",
    "freeze",
    "kill",
    "kill all",
    "model version",
    "no slots",
    "slots",
  ),
  pauseMs: fc.integer({ min: 5, max: 120 }),
});
type Fault = {
  readonly engine: number;
  readonly kind: string;
  readonly pauseMs: number;
};

test("a not_run refusal is true under random faults", async () => {
  const counts = new Map<string, number>();
  await fc.assert(
    fc.asyncProperty(
      fc.array(FAULT, { minLength: 4, maxLength: 10 }),
      (faults) => runSchedule(faults, counts),
    ),
    { seed: SEED, numRuns: SCHEDULES, endOnFailure: true },
  );
  expect(counts.get("not_run") ?? 0).toBeGreaterThan(0);
  expect(counts.get("interrupted") ?? 0).toBeGreaterThan(0);
  expect(counts.get("done") ?? 0).toBeGreaterThan(0);
}, 240_000);

test("a not_run refusal is true on each path to it", async () => {
  const cluster = await LocalCluster.create({
    engines: 1,
    services: 1,
    slots: 1,
    urgentTargetMs: 400,
    limits: ["queue_length = 1", "resume_limit_ms = 700"],
    engineSwitches: { tokenMs: 20, queueLimit: 0 },
  });
  try {
    const transcript = Transcript.create("each path of refusal");
    const recordRefusal = async (name: string, prompt: string) => {
      const { type, request } = await requestCompletion(cluster, prompt);
      const runs = countRuns(cluster, request);
      transcript.record(`${name}: ${type}, runs ${runs}`);
    };
    const first = cluster.complete({
      prompt: "long",
      maxTokens: 150,
      rank: "urgent",
    });
    await first.waitForTokens(1);
    const waiting = requestCompletion(cluster, "waiting");
    await sleep(50);
    await recordRefusal("queue full", "one too many");
    transcript.record(`target time passed: ${(await waiting).type}`);
    await first.ended;
    await cluster.engine().control({ leaving: true });
    await sleep(800);
    await recordRefusal("server draining", "nowhere to go");
    await cluster.engine().control({ leaving: false, slots: 0 });
    await sleep(800);
    await recordRefusal("engine refuses", "no slot there");
    await cluster.engine().control({ slots: 1 });
    await sleep(800);
    const killed = requestCompletion(cluster, "killed while it runs");
    await waitFor("the request runs", () => cluster.announcedRuns().length > 1);
    await cluster.engine().kill();
    const { type, request } = await killed;
    transcript.record(
      `server killed: ${type}, runs ${countRuns(cluster, request)}`,
    );
    await recordRefusal("server down", "nobody there");
    await cluster.service().kill();
    const call = await cluster.callService({
      entry: cluster.entry(),
      method: "POST",
      path: "/bookings",
      body: JSON.stringify({ key: "never" }),
      idempotencyKey: "never",
    });
    const { error } = JSON.parse(call.body.toString());
    const runs = cluster.service().announcedRuns().length;
    transcript.record(`service down: ${error.type}, runs ${runs}`);
    await transcript.matchGoldenFile("not_run/paths");
  } finally {
    await cluster.close();
  }
});

async function runSchedule(
  faults: readonly Fault[],
  counts: Map<string, number>,
): Promise<void> {
  const cluster = await LocalCluster.create({
    engines: 2,
    slots: 2,
    urgentTargetMs: 700,
    limits: [
      "resume_limit_ms = 700",
      "token_stall_ms = 300",
      "first_token_stall_ms = 500",
      "first_token_limit_ms = 600",
    ],
    engineSwitches: { tokenMs: 4, queueLimit: 1 },
  });
  try {
    const requests = Array.from(
      { length: REQUESTS_PER_SCHEDULE },
      (_, index) => requestCompletion(cluster, `request ${index}`, index * 15),
    );
    for (const fault of faults) await injectFault(cluster, fault);
    for (const engine of cluster.engines) engine.resume();
    for (const { type, request } of await Promise.all(requests)) {
      counts.set(type, (counts.get(type) ?? 0) + 1);
      if (type === "not_run") expect(countRuns(cluster, request)).toBe(0);
    }
  } finally {
    await cluster.close();
  }
}

async function injectFault(cluster: LocalCluster, fault: Fault): Promise<void> {
  const engine = cluster.engine(fault.engine);
  const setSwitches = (switches: Record<string, unknown>) =>
    engine.control(switches).catch(() => undefined);
  switch (fault.kind) {
    case "drain":
      await setSwitches({ leaving: true });
      break;
    case "restore":
      await setSwitches({ leaving: false, modelVersion: "1" });
      break;
    case "disconnect":
      await setSwitches({ cut: true });
      break;
    case "freeze":
      engine.suspend();
      await sleep(2 * fault.pauseMs);
      engine.resume();
      break;
    case "kill":
      await engine.kill();
      await cluster.restartEngine(fault.engine);
      break;
    case "kill all":
      for (const other of cluster.engines) await other.kill();
      await sleep(OUTAGE_MS);
      await cluster.restartEngine(0);
      await cluster.restartEngine(1);
      break;
    case "model version":
      await setSwitches({ modelVersion: "2" });
      break;
    case "no slots":
      await setSwitches({ slots: 0 });
      break;
    case "slots":
      await setSwitches({ slots: 2 });
      break;
  }
  await sleep(fault.pauseMs);
}

/** Requests a completion; resolves with `done` or the type of the error. */
async function requestCompletion(
  cluster: LocalCluster,
  prompt: string,
  delayMs = 0,
): Promise<{ readonly type: string; readonly request: string }> {
  await sleep(delayMs);
  const response = await callHttp({
    address: cluster.entry().address,
    method: "POST",
    path: "/v1/completions",
    headers: { authorization: `Bearer ${bearerKey("alpha")}` },
    body: JSON.stringify({
      model: GENERATION_SERVICE,
      prompt,
      max_tokens: 30,
      rank: "urgent",
    }),
    timeoutMs: 30_000,
  });
  const request = String(response.headers["x-request-id"]);
  if (response.status === 200) return { type: "done", request };
  const { error } = JSON.parse(response.body.toString());
  return { type: error.type, request };
}

function countRuns(cluster: LocalCluster, request: string): number {
  return cluster.announcedRuns().filter((run) => run === request).length;
}
