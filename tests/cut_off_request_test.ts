/**
 * Tests that a request that is open at the deadline of a graceful shutdown gets
 * a true response.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import {
  formatAction,
  formatCompletion,
  formatEntryRequest,
  SERVICE_PATH,
} from "./raw_entry_request.ts";
import { RawCaller } from "./scripted_platform.ts";

const DEADLINE_MS = 1_200;
/** Longest time from the deadline until the process has exited, in ms. */
const EXIT_MAX_MS = 2_000;
/** Longer than from a request to the deadline, but within the call limit. */
const SERVICE_DELAY_MS = 1_900;
const KEY = "stop";

let cluster: LocalCluster;

beforeEach(async () => {
  cluster = await LocalCluster.create({
    engines: 1,
    services: 1,
    entries: 2,
    engineSwitches: { tokenMs: 20 },
    stop: ["notice_ms = 200", `deadline_ms = ${DEADLINE_MS}`],
  });
  await cluster.service().control({ delayMs: SERVICE_DELAY_MS });
});

afterEach(() => cluster.close());

function send(text: string): RawCaller {
  const caller = RawCaller.create(cluster.entry().port);
  caller.socket.write(text);
  return caller;
}

/** Stops the first entry; its callers must have received their responses. */
async function stopEntry(): Promise<void> {
  const startMs = performance.now();
  cluster.entry().signal("SIGTERM");
  expect(await cluster.entry().exited).toBe(1);
  const elapsedMs = performance.now() - startMs;
  expect(elapsedMs).toBeLessThan(DEADLINE_MS + EXIT_MAX_MS);
  await sleep(100);
}

async function waitForCall(): Promise<void> {
  await waitFor("the service is called", async () => {
    const { calls } = await cluster.service().get<{ calls: number }>(
      "/standin/counts",
    );
    return calls > 0;
  });
}

async function waitForStream(): Promise<void> {
  await waitFor("the engine runs", () => cluster.announcedRuns().length > 0);
}

function expectError(received: string, status: number, type: string): void {
  expect(received).toMatch(new RegExp(`^HTTP/1\\.1 ${status} `));
  expect(received).toMatch(/\r\nconnection: close\r\n/i);
  expect(received).toContain(`"type":"${type}"`);
}

test("an action that was sent when the entry is cut off has an unknown outcome, also by its record", async () => {
  const caller = send(formatAction(KEY));
  await waitForCall();
  await stopEntry();
  expectError(caller.received, 504, "outcome_unknown");
  const startMs = performance.now();
  const repeat = await cluster.callService({
    entry: cluster.entry(1),
    method: "POST",
    path: "/bookings",
    body: JSON.stringify({ key: KEY }),
    idempotencyKey: KEY,
  });
  expect(repeat.status).toBe(504);
  expect(performance.now() - startMs).toBeLessThan(1_000);
});

test("an idempotent call that was sent when the entry is cut off is interrupted", async () => {
  const caller = send(formatEntryRequest(`GET ${SERVICE_PATH}/items`));
  await waitForCall();
  await stopEntry();
  expectError(caller.received, 502, "interrupted");
});

test("pipelined requests that are open when the entry is cut off are all answered", async () => {
  const request = formatEntryRequest(`GET ${SERVICE_PATH}/items`);
  const caller = send(request + request);
  await waitForCall();
  await stopEntry();
  expect(caller.received.match(/HTTP\/1\.1 502 /g)?.length).toBe(2);
  expect(caller.received.match(/connection: close/gi)?.length).toBe(1);
});

test.each([["with", 20], ["without", 2_500]])(
  "a completion %s output that was sent when the entry is cut off is interrupted",
  async (_, tokenMs) => {
    await cluster.engine().control({ tokenMs });
    const caller = send(formatCompletion(200));
    await waitForStream();
    await stopEntry();
    expectError(caller.received, 502, "interrupted");
  },
);

test("a completion that no engine accepted when the entry is cut off has not run", async () => {
  await cluster.engine().control({ slots: 0, queueLimit: 0 });
  const caller = send(formatCompletion(200));
  await sleep(100);
  cluster.entry().signal("SIGTERM");
  await cluster.entry().exited;
  await sleep(100);
  expectError(caller.received, 503, "not_run");
});

test("a stream that is cut off ends with an error event, and resumes elsewhere", async () => {
  const request = { prompt: "survey", maxTokens: 150 };
  const stream = cluster.complete(request);
  await stream.waitForTokens(5);
  await stopEntry();
  expect((await stream.ended).outcome).toBe("interrupted");
  const rest = cluster.complete({
    ...request,
    entry: cluster.entry(1),
    lastEventId: stream.cursor,
    resumeText: stream.text,
  });
  expect((await rest.ended).outcome).toBe("done");
  expect(stream.tokenCount + rest.tokenCount).toBe(150);
});

test("an action whose claim has no answer when the entry is cut off was not sent", async () => {
  cluster.platform.suspend();
  const caller = send(formatAction(KEY));
  await sleep(100);
  await stopEntry();
  cluster.platform.resume();
  expectError(caller.received, 503, "not_sent");
});

test("a repeated action that waits for another entry when its own is cut off was not sent", async () => {
  const first = cluster.callService({
    entry: cluster.entry(1),
    method: "POST",
    path: "/bookings",
    body: JSON.stringify({ key: KEY }),
    idempotencyKey: KEY,
  });
  await waitForCall();
  const caller = send(formatAction(KEY));
  await sleep(100);
  await stopEntry();
  expectError(caller.received, 503, "not_sent");
  expect((await first).status).toBe(200);
});

test("an answer that is being stored when the entry is cut off reaches its caller", async () => {
  await cluster.service().control({ delayMs: 800 });
  const caller = send(formatAction(KEY));
  await waitForCall();
  cluster.platform.suspend();
  await sleep(200);
  await stopEntry();
  cluster.platform.resume();
  expect(caller.received).toMatch(/^HTTP\/1\.1 200 /);
});

test("a store that can't be reached delays no exit, and a request meanwhile is refused", async () => {
  const caller = send(formatAction(KEY));
  const late = send("GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n");
  await waitForCall();
  cluster.platform.suspend();
  const stopped = stopEntry();
  await expect.poll(() => caller.received, { interval: 5, timeout: 10_000 })
    .not.toBe("");
  late.received = "";
  late.socket.write(formatCompletion(5));
  await stopped;
  cluster.platform.resume();
  expectError(caller.received, 504, "outcome_unknown");
  expectError(late.received, 503, "not_run");
});
