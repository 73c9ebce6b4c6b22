/** Tests how long streams wait that send faster than their own rate. */

import { expect, test } from "vitest";
import { ReadTurns, splitIntoTurns } from "./read_turns.ts";

const TURN_BYTES = 16_384;
const STREAMS = 40;

function createTurns() {
  let nowMs = 0;
  const turns = ReadTurns.create(() => nowMs);
  return { turns, advance: (ms: number) => nowMs += ms };
}

test("a stream within its own rate never waits, whatever others send", () => {
  const { turns, advance } = createTurns();
  const pace = turns.open();
  const others = Array.from({ length: STREAMS }, () => turns.open());
  for (let event = 0; event < 1_000; event++) {
    expect(pace.recordRead(400)).toBe(0);
    for (const other of others) other.recordRead(TURN_BYTES);
    advance(30);
  }
});

test("a stream that sends many bytes at once alone waits for some ms", () => {
  const { turns, advance } = createTurns();
  const pace = turns.open();
  let waitedMs = 0;
  for (let read = 0; read < 64; read++) {
    const delayMs = pace.recordRead(TURN_BYTES);
    waitedMs += delayMs;
    advance(delayMs);
  }
  expect(waitedMs).toBeLessThan(600);
});

test("many fast streams together read a bounded number of bytes", () => {
  const { turns, advance } = createTurns();
  const streams = Array.from(
    { length: 5 * STREAMS },
    () => ({ pace: turns.open(), readyMs: 0 }),
  );
  let readBytes = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs++) {
    for (const stream of streams) {
      if (stream.readyMs > nowMs) continue;
      readBytes += TURN_BYTES;
      stream.readyMs = nowMs + stream.pace.recordRead(TURN_BYTES);
    }
    advance(1);
  }
  expect(readBytes).toBeLessThan(70_000_000);
});

test("a stream may send bytes at once after a silence", () => {
  const { turns, advance } = createTurns();
  const pace = turns.open();
  expect(pace.recordRead(TURN_BYTES)).toBe(0);
  advance(60_000);
  expect(pace.recordRead(TURN_BYTES)).toBe(0);
  expect(pace.recordRead(TURN_BYTES)).toBe(0);
  expect(pace.recordRead(TURN_BYTES)).toBeGreaterThan(0);
});

test("bytes are split into those of single turns", () => {
  const bytes = Buffer.from("0123456789".repeat(4_000));
  const slices = [...splitIntoTurns(bytes)];
  expect(slices.map(({ length }) => length)).toEqual([16_384, 16_384, 7_232]);
  expect(Buffer.concat(slices).equals(bytes)).toBe(true);
});

test("a wait for a turn ends when its request ends", async () => {
  const turns = ReadTurns.create(() => performance.now());
  for (let other = 0; other < 1_000; other++) {
    turns.open().recordRead(2 * TURN_BYTES);
  }
  const controller = new AbortController();
  const startMs = performance.now();
  setTimeout(() => controller.abort(), 10);
  await turns.open().pause(1_000_000, controller.signal);
  expect(performance.now() - startMs).toBeLessThan(4_000);
});
