/**
 * Tests that an entry in a graceful shutdown passes no request on to a server
 * that came, or would be sent, too late to be answered.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import type { Child } from "../bench/child.ts";
import {
  type ClusterOptions,
  LocalCluster,
  waitFor,
} from "../bench/local_cluster.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import {
  formatAction,
  formatCompletion,
  formatEntryRequest,
  SERVICE_PATH,
} from "./raw_entry_request.ts";
import { RawCaller } from "./scripted_platform.ts";

const NOTICE_MS = 600;
/** Allowed delay of a refusal, in ms. */
const SLACK_MS = 500;
/** Time before the deadline at which calls are no longer sent, in ms. */
const CALL_LIMIT_MS = 2_000;
const IDEMPOTENCY_KEY = "stop";

let cluster: LocalCluster;

afterEach(() => cluster.close());

async function startCluster(
  { deadlineMs, ...options }: ClusterOptions & { readonly deadlineMs: number },
): Promise<void> {
  cluster = await LocalCluster.create({
    engines: 1,
    services: 1,
    slots: 1,
    limits: ["first_token_limit_ms = 1000"],
    stop: [`notice_ms = ${NOTICE_MS}`, `deadline_ms = ${deadlineMs}`],
    ...options,
  });
}

const IDEMPOTENT_CALL = formatEntryRequest(`GET ${SERVICE_PATH}/items`, "{}");
const ACTION = formatAction(IDEMPOTENCY_KEY);

function send(text: string, entry = cluster.entry()): RawCaller {
  const caller = RawCaller.create(entry.port);
  caller.socket.write(text);
  return caller;
}

/** Number of requests that have reached a server. */
async function countSent(): Promise<number> {
  const engine = await cluster.engine().get<{ arrivals: number }>(
    "/standin/counts",
  );
  const service = await cluster.service().get<{ calls: number }>(
    "/standin/counts",
  );
  return engine.arrivals + service.calls;
}

function expectRefused(received: string, type = "not_run"): void {
  expect(received).toMatch(/^HTTP\/1\.1 503 /);
  expect(received).toMatch(/\r\nretry-after: /i);
  expect(received).toMatch(/\r\nconnection: close\r\n/i);
  expect(received).toContain(`"type":"${type}"`);
}

/** Books once more elsewhere; resolves with the status and number of runs. */
async function repeatBooking(entry: Child): Promise<readonly unknown[]> {
  const { status, body } = await cluster.callService({
    entry,
    method: "POST",
    path: "/bookings",
    body: JSON.stringify({ key: IDEMPOTENCY_KEY }),
    idempotencyKey: IDEMPOTENCY_KEY,
  });
  return [status, JSON.parse(body.toString()).run];
}

test.each([
  ["a completion", formatCompletion(5), "not_run"],
  ["an idempotent call", IDEMPOTENT_CALL, "not_run"],
  // An earlier request with its key may have run.
  ["a non-idempotent call", ACTION, "not_sent"],
])(
  "%s whose body ends after the notice is not passed on, and refused at once",
  async (_, text, type) => {
    await startCluster({ deadlineMs: 60_000 });
    const firstPart = text.slice(0, -1);
    const early = send(firstPart);
    await sleep(100);
    cluster.entry().signal("SIGTERM");
    await sleep(100);
    const late = send(firstPart);
    await sleep(NOTICE_MS - 100 + SLACK_MS);
    const receivedInTime = [early, late].map(({ received }) => received);
    for (const { socket } of [early, late]) {
      if (socket.writable) socket.write(text.slice(-1));
    }
    expect(await cluster.entry().exited).toBe(0);
    expect(await countSent()).toBe(0);
    for (const received of receivedInTime) expectRefused(received, type);
  },
);

test.each([
  ["a completion", formatCompletion(5)],
  ["an idempotent call", IDEMPOTENT_CALL],
  ["a non-idempotent call", ACTION],
])("%s whose body ends within the notice is served", async (_, text) => {
  await startCluster({ deadlineMs: 60_000 });
  const caller = send(text.slice(0, -1));
  await sleep(100);
  cluster.entry().signal("SIGTERM");
  await sleep(NOTICE_MS / 2);
  caller.socket.write(text.slice(-1));
  expect(await cluster.entry().exited).toBe(0);
  expect(caller.received).toMatch(/^HTTP\/1\.1 200 /);
});

test.each([
  ["an idempotent call", IDEMPOTENT_CALL],
  ["a non-idempotent call", ACTION],
])(
  "%s in the queue that gets a slot too late to complete is not passed on, and refused at once",
  async (_, text) => {
    await startCluster({ deadlineMs: CALL_LIMIT_MS + NOTICE_MS });
    await cluster.service().control({ leaving: true });
    await waitFor(
      "the entry lists the service as draining",
      () =>
        cluster.entry().logLines().some(({ event }) =>
          event === LOG_EVENTS.serverDraining.number
        ),
    );
    const caller = send(text);
    await sleep(50);
    cluster.entry().signal("SIGTERM");
    await sleep(NOTICE_MS + SLACK_MS);
    const receivedInTime = caller.received;
    await cluster.service().control({ leaving: false });
    expect(await cluster.entry().exited).toBe(0);
    expect(await countSent()).toBe(0);
    expectRefused(receivedInTime);
  },
);

test("a queued completion that gets a slot too late to complete is not passed on, and refused at once", async () => {
  await startCluster({
    deadlineMs: 3_000,
    engineSwitches: { tokenMs: 20 },
  });
  const running = cluster.complete({ prompt: "survey", maxTokens: 120 });
  await running.waitForTokens(1);
  const waiting = send(formatCompletion(20));
  await sleep(50);
  cluster.entry().signal("SIGTERM");
  await sleep(1_000 + SLACK_MS);
  const receivedInTime = waiting.received;
  expect(await cluster.entry().exited).toBe(0);
  expect((await running.ended).outcome).toBe("done");
  expect(await countSent()).toBe(1);
  expectRefused(receivedInTime);
});

test("a queued request that came in time is served after the notice while it can complete", async () => {
  await startCluster({ deadlineMs: 60_000, engineSwitches: { tokenMs: 20 } });
  const running = cluster.complete({ prompt: "survey", maxTokens: 60 });
  await running.waitForTokens(1);
  const waiting = cluster.complete({ prompt: "roof", maxTokens: 20 });
  await sleep(50);
  cluster.entry().signal("SIGTERM");
  expect(await cluster.entry().exited).toBe(0);
  expect((await waiting.ended).outcome).toBe("done");
});

test("a completion that its server declines too late to complete is not passed on again, and refused", async () => {
  await startCluster({ deadlineMs: 3_000, engineSwitches: { queueLimit: 0 } });
  await cluster.engine().control({ slots: 0 });
  const caller = send(formatCompletion(20));
  await expect.poll(countSent).toBeGreaterThan(0);
  cluster.entry().signal("SIGTERM");
  await sleep(1_000 + SLACK_MS);
  const receivedInTime = caller.received;
  await cluster.engine().control({ slots: 1 });
  expect(await cluster.entry().exited).toBe(0);
  expect(cluster.announcedRuns()).toEqual([]);
  expectRefused(receivedInTime);
});

test("an action whose claim is granted too late to complete is not passed on, and may be repeated elsewhere", async () => {
  await startCluster({ deadlineMs: CALL_LIMIT_MS + NOTICE_MS, entries: 2 });
  await cluster.platform.control({
    slowWrites: { prefix: "action/", skip: 0, count: 1, delayMs: 900 },
  });
  const caller = send(ACTION);
  await sleep(50);
  cluster.entry().signal("SIGTERM");
  expect(await cluster.entry().exited).toBe(0);
  expect(await countSent()).toBe(0);
  expectRefused(caller.received);
  const startMs = performance.now();
  expect(await repeatBooking(cluster.entry(1))).toEqual([200, 1]);
  expect(performance.now() - startMs).toBeLessThan(CALL_LIMIT_MS);
});
