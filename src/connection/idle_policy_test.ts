/** Tests the decisions on idle connections. */

import { expect, test } from "vitest";
import { IDLE_MARGIN_MS, remainingIdleMs } from "./idle_policy.ts";

const CONNECTION = { promisedMs: 3_000, idleSinceMs: 10_000 };

test("a lower limit does not shorten what the caller was told", () => {
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
