/** A zone is suspect for a while after several servers failed at once. */

import { expect, test } from "vitest";
import { ZoneFailureDetector } from "./zone_failure_detector.ts";

function createDetector() {
  const clock = { nowMs: 0 };
  return { clock, detector: ZoneFailureDetector.create(() => clock.nowMs) };
}

test("a zone is suspect if two of its servers fail at once, but not if one fails twice", () => {
  const { detector } = createDetector();
  expect(detector.record({ zone: "a", name: "a1" })).toBe(0);
  expect(detector.record({ zone: "a", name: "a1" })).toBe(0);
  expect(detector.record({ zone: "b", name: "b1" })).toBe(0);
  expect(detector.suspectZones().size).toBe(0);
  expect(detector.record({ zone: "a", name: "a2" })).toBe(2);
  expect([...detector.suspectZones().keys()]).toEqual(["a"]);
});

test("failures far apart do not count; a suspect zone is reported once, and only for a while", () => {
  const { clock, detector } = createDetector();
  detector.record({ zone: "a", name: "a1" });
  clock.nowMs = 400;
  expect(detector.record({ zone: "a", name: "a2" })).toBe(0);
  clock.nowMs = 500;
  expect(detector.record({ zone: "a", name: "a3" })).toBe(2);
  expect(detector.record({ zone: "a", name: "a4" })).toBe(0);
  clock.nowMs = 2_100;
  expect(detector.suspectZones().size).toBe(0);
});
