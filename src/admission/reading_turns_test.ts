/** How bodies that are costly to parse share the processor. */

import { expect, test } from "vitest";
import { ReadingTurns } from "./reading_turns.ts";

test("a body that takes little time is not delayed", () => {
  const turns = ReadingTurns.create(() => 0);
  expect(turns.recordRead({ tookMs: 1, spentMs: 8 })).toBe(0);
});

test("costly bodies leave half of the time to other work", () => {
  const clock = { nowMs: 0 };
  const turns = ReadingTurns.create(() => clock.nowMs);
  expect(turns.recordRead({ tookMs: 10, spentMs: 10 })).toBe(20);
  expect(turns.recordRead({ tookMs: 10, spentMs: 10 })).toBe(40);
  clock.nowMs = 100;
  expect(turns.recordRead({ tookMs: 5, spentMs: 15 })).toBe(10);
});
