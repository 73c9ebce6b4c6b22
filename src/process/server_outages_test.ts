/** Which failures count as silence, and which ones are reported to peers. */

import { expect, test } from "vitest";
import { ServerFailure } from "./server_ejection.ts";
import { ServerOutages } from "./server_outages.ts";

function createOutages() {
  const clock = { nowMs: 1_000 };
  const outages = ServerOutages.create(() => clock.nowMs);
  return { clock, outages };
}

test.for([
  { failure: ServerFailure.Replaced, isSilent: false, isReported: false },
  { failure: ServerFailure.Unreachable, isSilent: false, isReported: true },
  { failure: ServerFailure.Silent, isSilent: true, isReported: false },
  { failure: ServerFailure.Unresponsive, isSilent: true, isReported: true },
  { failure: ServerFailure.Broken, isSilent: false, isReported: false },
  { failure: ServerFailure.Unanswered, isSilent: false, isReported: false },
])(
  "$failure: silent $isSilent, reported $isReported",
  ({ failure, isSilent, isReported }) => {
    const { outages } = createOutages();
    outages.recordFailure("s", failure);
    expect(outages.isSilent("s")).toBe(isSilent);
    expect(outages.unreachableServers()).toEqual(isReported ? ["s"] : []);
    outages.recordRecovery("s");
    expect(outages.isSilent("s")).toBe(false);
    expect(outages.unreachableServers()).toEqual([]);
  },
);

test("only a repeated silence prolongs one, and other failures end it", () => {
  const { outages } = createOutages();
  const { Silent, Unresponsive, Broken } = ServerFailure;
  const prolonged = [Silent, Silent, Unresponsive, Silent, Broken, Silent]
    .map((failure) => outages.recordFailure("s", failure));
  expect(prolonged).toEqual([false, true, false, true, false, false]);
});

test("an unreachable server is reported to peers for 450 ms", () => {
  const { clock, outages } = createOutages();
  outages.recordFailure("s", ServerFailure.Unreachable);
  clock.nowMs += 450;
  expect(outages.unreachableServers()).toEqual(["s"]);
  clock.nowMs += 1;
  expect(outages.unreachableServers()).toEqual([]);
});
