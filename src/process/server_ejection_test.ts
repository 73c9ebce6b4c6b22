/** Ejection times by kind of failure and number of unanswered calls. */

import { expect, test } from "vitest";
import {
  addUnansweredCall,
  ejectionDurationMs,
  NO_UNANSWERED_CALLS,
  ServerFailure,
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
