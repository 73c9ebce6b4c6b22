/** Tests how other requests fare beside servers that send events fast. */

import { setImmediate as immediate } from "node:timers/promises";
import { expect, test } from "vitest";
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
/** Bytes that endless streams may send during the calls. */
const SENT_MAX_BYTES = 40_000_000;
let sentBytes = 0;

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
function sendsEventsEndlessly(until: AbortSignal): ServerScript {
  return async (target) => ({
    ...await sendsEvents(1, 1, "whole")(target),
    body: async function* () {
      const isSending = () => !until.aborted && sentBytes <= SENT_MAX_BYTES;
      for (let index = 0; isSending(); index++) {
        await immediate();
        const from = index * EVENTS_PER_TURN + 1;
        const events = sentEvents[index] ??= formatEvents(
          from,
          EVENTS_PER_TURN,
        );
        sentBytes += events.length;
        yield events;
      }
    },
  });
}

const respondsAfterTurns: ServerScript = async (target) => {
  for (let turn = 0; turn < RESPONSE_TURNS; turn++) await immediate();
  return await responds(200)(target);
};

test("streams with events without end leave the event loop to calls", async () => {
  sentBytes = 0;
  const relay = createLoadedRelay();
  const controller = new AbortController();
  const streams = Array.from(
    { length: ENDLESS_STREAMS },
    () =>
      serveScripts(relay, [sendsEventsEndlessly(controller.signal)], {
        kvCacheTokens: 100,
        promptTokens: 0,
        maxAttempts: 1,
      }),
  );
  for (let call = 0; call < CALLS; call++) {
    const { caller } = await serveScripts(relay, [respondsAfterTurns], {
      kind: RequestKind.NonIdempotent,
    });
    expect(caller.summary).toBe("200 whole: body");
  }
  const sentMeanwhile = sentBytes;
  controller.abort();
  await Promise.all(streams);
  expect(sentMeanwhile).toBeGreaterThan(ENDLESS_STREAMS * 50_000);
  expect(sentMeanwhile).toBeLessThan(SENT_MAX_BYTES);
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
