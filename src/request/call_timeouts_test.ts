/** How long a call waits for a place and for its answer. */

import { expect, test } from "vitest";
import { createRequest } from "../../tests/relay/scripted.ts";
import { FailureCause } from "../errors.ts";
import { callQueueTimeoutMs, responseTimeout } from "./call_timeouts.ts";
import { RequestKind } from "./proxy_request.ts";

const CALL = createRequest({
  kind: RequestKind.Idempotent,
  receivedMs: 0,
  callerDeadlineMs: 4_000,
  routeDeadlineMs: 5_000,
});
const CALM = {
  priorWaitMs: 0,
  hasEligibleServer: true,
  wasAtCapacity: false,
  nowMs: 0,
};

test.for([
  { what: "it may be on time", changes: {}, waitMs: 500 },
  { what: "servers were full", changes: { wasAtCapacity: true }, waitMs: 500 },
  { what: "it comes late", changes: { priorWaitMs: 1_000 }, waitMs: 0 },
  { what: "it became late here", changes: { nowMs: 1_000 }, waitMs: 0 },
  {
    what: "it comes late and servers were full",
    changes: { priorWaitMs: 1_000, wasAtCapacity: true },
    waitMs: undefined,
  },
  {
    what: "no server is left",
    changes: { hasEligibleServer: false, priorWaitMs: 1_000, nowMs: 1_000 },
    waitMs: 1_500,
  },
])("wait for a place when $what", ({ changes, waitMs }) => {
  expect(callQueueTimeoutMs(CALL, { ...CALM, ...changes })).toBe(waitMs);
});

test("an answer is waited for until the end, unless another server may be tried", () => {
  const patience = (nowMs: number, mayTryElsewhere: boolean) =>
    responseTimeout(CALL, { nowMs, canRetryElsewhere: mayTryElsewhere });
  expect(patience(0, false)).toEqual({
    timeoutMs: 4_000,
    cause: FailureCause.DeadlineExceeded,
  });
  expect(patience(0, true)).toEqual({
    timeoutMs: 750,
    cause: FailureCause.Stalled,
  });
  expect(patience(3_900, true)).toEqual({
    timeoutMs: 100,
    cause: FailureCause.DeadlineExceeded,
  });
});
