/** Callers that come back are told from those that have just come. */

import { expect, test } from "vitest";
import { CallerWaitEstimator } from "./caller_wait_estimator.ts";

test("a caller with less time than others of its route has waited before", () => {
  const times = CallerWaitEstimator.create(() => 0);
  expect(times.record("bookings", 1_000)).toBe(0);
  expect(times.record("bookings", 700)).toBe(300);
  expect(times.record("look-ups", 700)).toBe(0);
});

test("what callers had long ago no longer counts", () => {
  let nowMs = 0;
  const times = CallerWaitEstimator.create(() => nowMs);
  times.record("bookings", 1_000);
  nowMs = 10_000;
  expect(times.record("bookings", 600)).toBe(400);
  nowMs = 20_000;
  expect(times.record("bookings", 600)).toBe(0);
});
