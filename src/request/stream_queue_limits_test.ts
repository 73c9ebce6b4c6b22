/** Tests how long a stream waits for a slot and avoids a prefill backlog. */

import { expect, test } from "vitest";
import { createRequest } from "../../tests/relay/scripted.ts";
import { streamQueueLimits } from "./stream_queue_limits.ts";

const REQUEST = createRequest({
  receivedMs: 10_000,
  callerDeadlineMs: 30_000,
  routeDeadlineMs: 25_000,
});
/** Target time of the rank of `createRequest`, in ms. */
const TARGET_MS = REQUEST.rank.targetMs;

test("a stream waits only while its first event can still meet the target", () => {
  const { waitMs } = streamQueueLimits(REQUEST, {
    hasBegun: false,
    nowMs: 10_100,
  });
  expect(waitMs).toBeGreaterThan(0);
  expect(waitMs).toBeLessThan(TARGET_MS - 100);
  const late = streamQueueLimits(REQUEST, { hasBegun: false, nowMs: 12_000 });
  expect(late.waitMs).toBe(0);
});

test("a stream stops avoiding engines with a backlog before its wait ends", () => {
  const { waitMs, avoidBacklogUntilMs } = streamQueueLimits(
    REQUEST,
    {
      hasBegun: false,
      nowMs: REQUEST.receivedMs,
    },
  );
  expect(avoidBacklogUntilMs).toBeLessThan(REQUEST.receivedMs + waitMs);
});

test("a stream does not wait past its deadline", () => {
  const request = createRequest({
    receivedMs: 10_000,
    callerDeadlineMs: 10_200,
    routeDeadlineMs: 25_000,
  });
  const { waitMs } = streamQueueLimits(request, {
    hasBegun: false,
    nowMs: 10_100,
  });
  expect(waitMs).toBe(100);
});

test("a stream that has begun waits until its deadline", () => {
  const limits = streamQueueLimits(REQUEST, { hasBegun: true, nowMs: 12_000 });
  expect(limits).toEqual({ waitMs: 13_000, avoidBacklogUntilMs: 12_000 });
});
