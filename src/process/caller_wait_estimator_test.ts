/**
 * The wait before a request is estimated from other callers' remaining time.
 */

import { expect, test } from "vitest";
import { CallerWaitEstimator } from "./caller_wait_estimator.ts";

test("a caller with less time left than others of its route has waited before", () => {
  const estimator = CallerWaitEstimator.create(() => 0);
  expect(estimator.record("bookings", 1_000)).toBe(0);
  expect(estimator.record("bookings", 700)).toBe(300);
  expect(estimator.record("look-ups", 700)).toBe(0);
});

test("remaining times of earlier windows no longer count", () => {
  let nowMs = 0;
  const estimator = CallerWaitEstimator.create(() => nowMs);
  estimator.record("bookings", 1_000);
  nowMs = 10_000;
  expect(estimator.record("bookings", 600)).toBe(400);
  nowMs = 20_000;
  expect(estimator.record("bookings", 600)).toBe(0);
});
