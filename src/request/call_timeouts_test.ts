/** Tests how long a call waits for a slot and for its response. */

import { expect, test } from "vitest";
import { createRequest } from "../../tests/relay/scripted.ts";
import { FailureCause } from "../errors.ts";
import {
  callQueueTimeoutMs,
  replacementTimeout,
  responseTimeout,
} from "./call_timeouts.ts";
import { RequestKind } from "./proxy_request.ts";

const CALL = createRequest({
  kind: RequestKind.Idempotent,
  receivedMs: 0,
  callerDeadlineMs: 4_000,
  routeDeadlineMs: 5_000,
});
const CONDITIONS = {
  priorWaitMs: 0,
  hasEligibleServer: true,
  wasAtCapacity: false,
  nowMs: 0,
};

test.for([
  { what: "it can meet its target", changes: {}, waitMs: 500 },
  {
    what: "servers were at capacity",
    changes: { wasAtCapacity: true },
    waitMs: 500,
  },
  { what: "it arrives late", changes: { priorWaitMs: 1_000 }, waitMs: 0 },
  { what: "it became late in the entry", changes: { nowMs: 1_000 }, waitMs: 0 },
  {
    what: "it arrives late and servers were at capacity",
    changes: { priorWaitMs: 1_000, wasAtCapacity: true },
    waitMs: undefined,
  },
  {
    what: "its deadline is before its target",
    changes: { priorWaitMs: -4_000, nowMs: 3_900 },
    waitMs: 100,
  },
  {
    what: "no server is eligible",
    changes: { hasEligibleServer: false, priorWaitMs: 1_000, nowMs: 1_000 },
    waitMs: 1_500,
  },
])("the wait of a call for a slot when $what", ({ changes, waitMs }) => {
  expect(callQueueTimeoutMs(CALL, { ...CONDITIONS, ...changes })).toBe(waitMs);
});

test("the response timeout is shorter if the call can be retried elsewhere", () => {
  const timeoutAt = (nowMs: number, canRetryElsewhere: boolean) =>
    responseTimeout(CALL, { nowMs, canRetryElsewhere });
  expect(timeoutAt(0, false)).toEqual({
    timeoutMs: 4_000,
    cause: FailureCause.DeadlineExceeded,
  });
  expect(timeoutAt(0, true)).toEqual({
    timeoutMs: 750,
    cause: FailureCause.Stalled,
  });
  expect(timeoutAt(3_900, true)).toEqual({
    timeoutMs: 100,
    cause: FailureCause.DeadlineExceeded,
  });
});

test("an overdue call looks for a free server until its deadline", () => {
  expect(replacementTimeout(CALL, 3_000)).toEqual({
    timeoutMs: 250,
    cause: FailureCause.Stalled,
  });
  expect(replacementTimeout(CALL, 3_900)).toEqual({
    timeoutMs: 100,
    cause: FailureCause.DeadlineExceeded,
  });
});
