/** How long a call waits for a place and for its answer. */

import { expect, test } from "vitest";
import { createOrder } from "../../tests/relay/scripted.ts";
import { LossCause } from "../errors.ts";
import { answerPatience, placeWaitMs } from "./call_wait.ts";
import { OrderKind } from "./order.ts";

const CALL = createOrder({
  kind: OrderKind.Idempotent,
  receivedMs: 0,
  deadlineMs: 4_000,
  limitMs: 5_000,
});
const CALM = { usedMs: 0, hasServer: true, wasFull: false, nowMs: 0 };

test.for([
  { what: "it may be on time", changes: {}, waitMs: 500 },
  { what: "servers were full", changes: { wasFull: true }, waitMs: 500 },
  { what: "it comes late", changes: { usedMs: 1_000 }, waitMs: 0 },
  { what: "it became late here", changes: { nowMs: 1_000 }, waitMs: 0 },
  {
    what: "it comes late and servers were full",
    changes: { usedMs: 1_000, wasFull: true },
    waitMs: undefined,
  },
  {
    what: "no server is left",
    changes: { hasServer: false, usedMs: 1_000, nowMs: 1_000 },
    waitMs: 1_500,
  },
])("wait for a place when $what", ({ changes, waitMs }) => {
  expect(placeWaitMs(CALL, { ...CALM, ...changes })).toBe(waitMs);
});

test("an answer is waited for until the end, unless another server may be tried", () => {
  const patience = (nowMs: number, mayTryElsewhere: boolean) =>
    answerPatience(CALL, { nowMs, mayTryElsewhere });
  expect(patience(0, false)).toEqual({ ms: 4_000, cause: LossCause.TimeUp });
  expect(patience(0, true)).toEqual({ ms: 750, cause: LossCause.Stalled });
  expect(patience(3_900, true)).toEqual({ ms: 100, cause: LossCause.TimeUp });
});
