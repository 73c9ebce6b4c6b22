/** Tests how other requests fare beside servers that send events fast. */

import { setImmediate as immediate } from "node:timers/promises";
import { expect, test } from "vitest";
import { abortError } from "../../src/connection/backend_request.ts";
import { RequestKind } from "../../src/request/proxy_request.ts";
import {
  createRelay,
  createServer,
  PLAIN_SERVICE,
  responds,
  sendsEvents,
  type ServerScript,
  serveScripts,
} from "./scripted.ts";

const ENDLESS_STREAMS = 40;
/** Turns of the event loop between a call and its response. */
const RESPONSE_TURNS = 10;
const CALLS = 20;
const EVENTS_PER_TURN = 3_000;
/** Bytes that all endless streams send, by turn. */
const sentEvents: Buffer[] = [];

function createLoadedRelay() {
  const report = { startedMs: 1, waiting: 0, prefilling: 0, runs: undefined };
  return createRelay([
    ...["a1", "b1"].map((name) => createServer(name, { slots: 64 })),
    createServer("c1", { service: PLAIN_SERVICE, slots: 64 }),
  ], { fetchReport: () => Promise.resolve(report) });
}

function formatEvents(from: number, count: number): Buffer {
  const events = Array.from(
    { length: count },
    (_, index) => `id: ${from + index}\ndata: x\n\n`,
  );
  return Buffer.from(events.join(""));
}

/** A server that sends 64 KB of new events in each turn of the event loop. */
const sendsEventsEndlessly: ServerScript = async (target) => ({
  ...await sendsEvents(1, 1, "whole")(target),
  body: async function* () {
    for (let index = 0; !target.signal.aborted; index++) {
      await immediate();
      const from = index * EVENTS_PER_TURN + 1;
      yield sentEvents[index] ??= formatEvents(from, EVENTS_PER_TURN);
    }
    throw abortError(target.signal);
  },
});

const respondsAfterTurns: ServerScript = async (target) => {
  for (let turn = 0; turn < RESPONSE_TURNS; turn++) await immediate();
  return await responds(200)(target);
};

test("calls get responses in time beside streams with events without end", async () => {
  const relay = createLoadedRelay();
  const deadlineMs = performance.now() + 4_000;
  const streams = Array.from(
    { length: ENDLESS_STREAMS },
    () =>
      serveScripts(relay, [sendsEventsEndlessly], {
        kvCacheTokens: 100,
        callerDeadlineMs: deadlineMs,
        maxAttempts: 1,
      }),
  );
  const tookMs: number[] = [];
  for (let call = 0; call < CALLS; call++) {
    const { caller, ...served } = await serveScripts(
      relay,
      [respondsAfterTurns],
      { kind: RequestKind.NonIdempotent },
    );
    expect(caller.summary).toBe("200 whole: body");
    tookMs.push(served.tookMs);
  }
  expect(Math.max(...tookMs)).toBeLessThan(1_000);
  expect(performance.now()).toBeLessThan(deadlineMs);
  for (const { caller } of await Promise.all(streams)) {
    expect(caller.ending).toBe("broken off");
  }
});

test("a resumed stream gets many events at once without a noticeable delay", async () => {
  const count = 3_000;
  const sendsAtOnce: ServerScript = async (target) => ({
    ...await sendsEvents(1, 1, "whole")(target),
    body: async function* () {
      yield formatEvents(3, count);
    },
  });
  const { caller, tookMs } = await serveScripts(createLoadedRelay(), [
    sendsEvents(1, 2, "cut"),
    sendsAtOnce,
  ]);
  expect(caller.ending).toBe("whole");
  expect(caller.text.split(" ")).toHaveLength(count + 3);
  expect(tookMs).toBeLessThan(500);
});

test("a stream that waits for its turn ends as soon as its caller leaves", async () => {
  const relay = createLoadedRelay();
  const streams = Array.from(
    { length: ENDLESS_STREAMS },
    () =>
      serveScripts(relay, [sendsEventsEndlessly], {
        kvCacheTokens: 100,
        callerDeadlineMs: performance.now() + 500,
        maxAttempts: 1,
      }),
  );
  const [first] = await Promise.all(streams);
  expect(first?.caller.ending).toBe("broken off");
  expect(first?.tookMs).toBeLessThan(900);
});
