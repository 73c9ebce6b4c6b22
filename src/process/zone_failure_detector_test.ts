/** Zones are suspect after several losses at once, and for a while. */

import { expect, test } from "vitest";
import { ZoneFailureDetector } from "./zone_failure_detector.ts";

function createLosses() {
  const clock = { nowMs: 0 };
  return { clock, losses: ZoneFailureDetector.create(() => clock.nowMs) };
}

test("two servers of a zone lost at once make it suspect, one lost twice does not", () => {
  const { losses } = createLosses();
  expect(losses.record({ zone: "a", name: "a1" })).toBe(0);
  expect(losses.record({ zone: "a", name: "a1" })).toBe(0);
  expect(losses.record({ zone: "b", name: "b1" })).toBe(0);
  expect(losses.suspectZones().size).toBe(0);
  expect(losses.record({ zone: "a", name: "a2" })).toBe(2);
  expect([...losses.suspectZones().keys()]).toEqual(["a"]);
});

test("losses far apart mean nothing, and suspicion ends and is told once", () => {
  const { clock, losses } = createLosses();
  losses.record({ zone: "a", name: "a1" });
  clock.nowMs = 400;
  expect(losses.record({ zone: "a", name: "a2" })).toBe(0);
  clock.nowMs = 500;
  expect(losses.record({ zone: "a", name: "a3" })).toBe(2);
  expect(losses.record({ zone: "a", name: "a4" })).toBe(0);
  clock.nowMs = 2_100;
  expect(losses.suspectZones().size).toBe(0);
});
