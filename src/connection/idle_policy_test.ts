/** Tests the decisions on idle connections. */

import { expect, test } from "vitest";
import {
  BUSY_ITERATION_MS,
  IDLE_MARGIN_MS,
  IdleVerdict,
  judgeIdleConnection,
  remainingIdleMs,
} from "./idle_policy.ts";

const CONNECTION = { announcedMs: 3_000, idleSinceMs: 10_000 };

test("a lower limit does not shorten the time announced to the caller", () => {
  expect(remainingIdleMs(CONNECTION, { limitMs: 300, nowMs: 12_900 }))
    .toBe(100 + IDLE_MARGIN_MS);
});

test("a higher limit extends the time of connections that are idle already", () => {
  expect(remainingIdleMs(CONNECTION, { limitMs: 5_000, nowMs: 14_000 }))
    .toBe(1_000 + IDLE_MARGIN_MS);
});

test("a connection past both limits and the margin may be closed", () => {
  const nowMs = 13_000 + IDLE_MARGIN_MS;
  expect(remainingIdleMs(CONNECTION, { limitMs: 300, nowMs })).toBe(0);
});

test("a connection is kept when anything was read from it", () => {
  const iteration = { bytesBefore: 80, bytesAfter: 81, tookMs: 0 };
  expect(judgeIdleConnection(iteration)).toBe(IdleVerdict.Keep);
});

test("a connection is closed only after a short iteration without a read", () => {
  const idle = { bytesBefore: 80, bytesAfter: 80 };
  expect(judgeIdleConnection({ ...idle, tookMs: BUSY_ITERATION_MS }))
    .toBe(IdleVerdict.LookAgain);
  expect(judgeIdleConnection({ ...idle, tookMs: BUSY_ITERATION_MS - 1 }))
    .toBe(IdleVerdict.Close);
});
