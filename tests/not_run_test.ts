/**
 * Promise 4: a request refused as "not run" truly did not run. Seeded failure
 * schedules are played against real processes; engines announce each run on a
 * pipe, so that the count outlives a kill.
 */

import fc from "fast-check";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { callHttp } from "../src/connection/http_call.ts";
import { bearerKey, GENERATION_SERVICE } from "../bench/local_deployment.ts";
import { Transcript } from "./transcript.ts";

const SEED = 20_261_204;
const RUNS = 6;
const REQUESTS = 24;
/** Longer than a generation waits for another server. */
const BLACKOUT_MS = 1_000;

/** One step of a failure schedule. */
const STEP = fc.record({
  engine: fc.nat({ max: 1 }),
  failure: fc.constantFrom(
    "leave",
    "stay",
    "cut",
    "freeze",
    "kill",
    "blackout",
    "version",
    "full",
    "roomy",
  ),
  pauseMs: fc.integer({ min: 5, max: 120 }),
});
type Step = {
  readonly engine: number;
  readonly failure: string;
  readonly pauseMs: number;
};

test("failure schedules", async () => {
  const tally = new Map<string, number>();
  await fc.assert(
    fc.asyncProperty(
      fc.array(STEP, { minLength: 4, maxLength: 10 }),
      (steps) => play(steps, tally),
    ),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
  expect(tally.get("not_run") ?? 0).toBeGreaterThan(0);
  expect(tally.get("interrupted") ?? 0).toBeGreaterThan(0);
  expect(tally.get("done") ?? 0).toBeGreaterThan(0);
}, 240_000);

test("each path of refusal", async () => {
  const cluster = await LocalCluster.create({
    engines: 1,
    services: 1,
    slots: 1,
    urgentTargetMs: 400,
    limits: ["queue_length = 1", "resume_limit_ms = 700"],
    engineSwitches: { tokenMs: 20, queueLimit: 0 },
  });
  try {
    const session = Transcript.create("each path of refusal");
    const note = async (name: string, prompt: string) => {
      const { type, request } = await ask(cluster, prompt);
      const runs = runsOf(cluster, request);
      session.record(`${name}: ${type}, runs ${runs}`);
    };
    const first = cluster.complete({
      prompt: "long",
      maxTokens: 150,
      rank: "urgent",
    });
    await first.waitForTokens(1);
    const waiting = ask(cluster, "waiting");
    await sleep(50);
    await note("queue full", "one too many");
    session.record(`target time passed: ${(await waiting).type}`);
    await first.ended;
    await cluster.engine().control({ leaving: true });
    await sleep(800);
    await note("server leaving", "nowhere to go");
    await cluster.engine().control({ leaving: false, slots: 0 });
    await sleep(800);
    await note("engine refuses", "no slot there");
    await cluster.engine().control({ slots: 1 });
    await sleep(800);
    const running = ask(cluster, "killed while it runs");
    await waitFor("it runs", () => cluster.announcedRuns().length > 1);
    await cluster.engine().kill();
    const { type, request } = await running;
    session.record(`server killed: ${type}, runs ${runsOf(cluster, request)}`);
    await note("server gone", "nobody there");
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
    session.record(`service gone: ${error.type}, runs ${runs}`);
    await session.matchGoldenFile("not_run/paths");
  } finally {
    await cluster.close();
  }
});

async function play(
  steps: readonly Step[],
  tally: Map<string, number>,
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
    const asks = Array.from(
      { length: REQUESTS },
      (_, index) => ask(cluster, `request ${index}`, index * 15),
    );
    for (const step of steps) await apply(cluster, step);
    for (const engine of cluster.engines) engine.thaw();
    for (const { type, request } of await Promise.all(asks)) {
      tally.set(type, (tally.get(type) ?? 0) + 1);
      if (type === "not_run") expect(runsOf(cluster, request)).toBe(0);
    }
  } finally {
    await cluster.close();
  }
}

async function apply(cluster: LocalCluster, step: Step): Promise<void> {
  const engine = cluster.engine(step.engine);
  const control = (switches: Record<string, unknown>) =>
    engine.control(switches).catch(() => undefined);
  switch (step.failure) {
    case "leave":
      await control({ leaving: true });
      break;
    case "stay":
      await control({ leaving: false, modelVersion: "1" });
      break;
    case "cut":
      await control({ cut: true });
      break;
    case "freeze":
      engine.freeze();
      await sleep(2 * step.pauseMs);
      engine.thaw();
      break;
    case "kill":
      await engine.kill();
      await cluster.restartEngine(step.engine);
      break;
    case "blackout":
      for (const each of cluster.engines) await each.kill();
      await sleep(BLACKOUT_MS);
      await cluster.restartEngine(0);
      await cluster.restartEngine(1);
      break;
    case "version":
      await control({ modelVersion: "2" });
      break;
    case "full":
      await control({ slots: 0 });
      break;
    case "roomy":
      await control({ slots: 2 });
      break;
  }
  await sleep(step.pauseMs);
}

/** Asks for a whole answer; resolves with `done` or the type of the error. */
async function ask(
  cluster: LocalCluster,
  prompt: string,
  delayMs = 0,
): Promise<{ readonly type: string; readonly request: string }> {
  await sleep(delayMs);
  const answer = await callHttp({
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
  const request = String(answer.headers["x-request-id"]);
  if (answer.status === 200) return { type: "done", request };
  const { error } = JSON.parse(answer.body.toString());
  return { type: error.type, request };
}

function runsOf(cluster: LocalCluster, request: string): number {
  return cluster.announcedRuns().filter((run) => run === request).length;
}
