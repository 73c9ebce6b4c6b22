/** How long a server is kept out of new work after a loss. */

import { expect, test } from "vitest";
import {
  addUnansweredCall,
  ejectionDurationMs,
  NO_UNANSWERED_CALLS,
  ServerFailure,
} from "./server_ejection.ts";

function lose(times: readonly number[]) {
  return times.reduce(addUnansweredCall, NO_UNANSWERED_CALLS);
}

test("each lost answer doubles the time, up to that of a dead server", () => {
  const spans = [[0], [0, 1], [0, 1, 2], [0, 1, 2, 3], [0, 1, 2, 3, 4]]
    .map((times) => ejectionDurationMs(ServerFailure.Unanswered, lose(times)));
  expect(spans).toEqual([600, 1_200, 2_400, 4_000, 4_000]);
});

test("answers lost long ago no longer count", () => {
  const lost = lose([0, 1, 2, 10_002]);
  expect(ejectionDurationMs(ServerFailure.Unanswered, lost)).toBe(600);
});

test("lost answers do not change how long another loss counts", () => {
  const lost = lose([0, 1, 2]);
  expect(ejectionDurationMs(ServerFailure.Unreachable, lost)).toBe(4_000);
  expect(ejectionDurationMs(ServerFailure.Broken, lost)).toBe(600);
  expect(ejectionDurationMs(ServerFailure.Replaced, lost)).toBe(Infinity);
});
