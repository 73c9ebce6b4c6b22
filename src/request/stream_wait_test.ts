/** How long a stream waits for a place, and when it lines up behind others. */

import { expect, test } from "vitest";
import { createOrder } from "../../tests/relay/scripted.ts";
import { streamWait } from "./stream_wait.ts";

const ORDER = createOrder({
  receivedMs: 10_000,
  deadlineMs: 30_000,
  limitMs: 25_000,
});
/** Target time of the rank of `createOrder`, in ms. */
const TARGET_MS = ORDER.rank.targetMs;

test("a stream waits only while its first event can still be in time", () => {
  const { waitMs } = streamWait(ORDER, { hasBegun: false, nowMs: 10_100 });
  expect(waitMs).toBeGreaterThan(0);
  expect(waitMs).toBeLessThan(TARGET_MS - 100);
  const late = streamWait(ORDER, { hasBegun: false, nowMs: 12_000 });
  expect(late.waitMs).toBe(0);
});

test("its patience ends before its wait does", () => {
  const { waitMs, patientUntilMs } = streamWait(ORDER, {
    hasBegun: false,
    nowMs: ORDER.receivedMs,
  });
  expect(patientUntilMs).toBeLessThan(ORDER.receivedMs + waitMs);
});

test("a stream that has begun waits until its time ends", () => {
  const wait = streamWait(ORDER, { hasBegun: true, nowMs: 12_000 });
  expect(wait).toEqual({ waitMs: 13_000, patientUntilMs: 12_000 });
});
