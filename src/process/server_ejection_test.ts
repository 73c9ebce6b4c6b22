/** Ejection times by kind of failure and number of unanswered calls. */

import { expect, test } from "vitest";
import {
  addUnansweredCall,
  ejectionDurationMs,
  extendEjection,
  NO_UNANSWERED_CALLS,
  ServerFailure,
  shouldApplyPeerEjection,
} from "./server_ejection.ts";

function unansweredAt(times: readonly number[]) {
  return times.reduce(addUnansweredCall, NO_UNANSWERED_CALLS);
}

test("each unanswered call doubles the ejection, up to that of an unreachable server", () => {
  const durations = [[0], [0, 1], [0, 1, 2], [0, 1, 2, 3], [0, 1, 2, 3, 4]]
    .map((times) =>
      ejectionDurationMs(ServerFailure.Unanswered, unansweredAt(times))
    );
  expect(durations).toEqual([600, 1_200, 2_400, 4_000, 4_000]);
});

test("unanswered calls of long ago no longer count", () => {
  const unanswered = unansweredAt([0, 1, 2, 10_002]);
  expect(ejectionDurationMs(ServerFailure.Unanswered, unanswered)).toBe(600);
});

test("unanswered calls do not change the ejection for other failures", () => {
  const unanswered = unansweredAt([0, 1, 2]);
  expect(ejectionDurationMs(ServerFailure.Unreachable, unanswered)).toBe(4_000);
  expect(ejectionDurationMs(ServerFailure.Broken, unanswered)).toBe(600);
  expect(ejectionDurationMs(ServerFailure.Replaced, unanswered)).toBe(Infinity);
});

test("unanswered calls of an ejected server do not lengthen its ejections", () => {
  const unansweredCalls = unansweredAt([0]);
  const failure = ServerFailure.Unanswered;
  const ejected = { ejectedUntilMs: 600, unansweredCalls };
  expect(extendEjection(ejected, { failure, nowMs: 599 })).toEqual({
    ejectedUntilMs: 1_199,
    unansweredCalls,
    durationMs: 600,
  });
  expect(extendEjection(ejected, { failure, nowMs: 600 })).toEqual({
    ejectedUntilMs: 1_800,
    unansweredCalls: { count: 2, lastMs: 600 },
    durationMs: 1_200,
  });
});

test("a further failure never shortens an ejection", () => {
  const ejected = {
    ejectedUntilMs: 4_000,
    unansweredCalls: NO_UNANSWERED_CALLS,
  };
  const failure = ServerFailure.Broken;
  expect(extendEjection(ejected, { failure, nowMs: 1_000 })).toEqual({
    ...ejected,
    durationMs: 600,
  });
});

test("a peer's report ejects no server that is ejected or was active recently", () => {
  const idle = { ejectedUntilMs: 0, lastActivityMs: 600 };
  expect(shouldApplyPeerEjection(idle, 1_000)).toBe(true);
  expect(shouldApplyPeerEjection(idle, 999)).toBe(false);
  expect(shouldApplyPeerEjection({ ...idle, ejectedUntilMs: 1_000 }, 1_000))
    .toBe(true);
  expect(shouldApplyPeerEjection({ ...idle, ejectedUntilMs: 1_001 }, 1_000))
    .toBe(false);
});
