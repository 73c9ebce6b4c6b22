/** How long a stream waits for a place, and when it lines up behind others. */

import { expect, test } from "vitest";
import { createRequest } from "../../tests/relay/scripted.ts";
import { streamQueueLimits } from "./stream_queue_limits.ts";

const ORDER = createRequest({
  receivedMs: 10_000,
  callerDeadlineMs: 30_000,
  routeDeadlineMs: 25_000,
});
/** Target time of the rank of `createRequest`, in ms. */
const TARGET_MS = ORDER.rank.targetMs;

test("a stream waits only while its first event can still be in time", () => {
  const { waitMs } = streamQueueLimits(ORDER, {
    hasBegun: false,
    nowMs: 10_100,
  });
  expect(waitMs).toBeGreaterThan(0);
  expect(waitMs).toBeLessThan(TARGET_MS - 100);
  const late = streamQueueLimits(ORDER, { hasBegun: false, nowMs: 12_000 });
  expect(late.waitMs).toBe(0);
});

test("its patience ends before its wait does", () => {
  const { waitMs, avoidBacklogUntilMs: patientUntilMs } = streamQueueLimits(
    ORDER,
    {
      hasBegun: false,
      nowMs: ORDER.receivedMs,
    },
  );
  expect(patientUntilMs).toBeLessThan(ORDER.receivedMs + waitMs);
});

test("a stream that has begun waits until its time ends", () => {
  const wait = streamQueueLimits(ORDER, { hasBegun: true, nowMs: 12_000 });
  expect(wait).toEqual({ waitMs: 13_000, avoidBacklogUntilMs: 12_000 });
});
