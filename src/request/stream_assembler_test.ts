/** Parts of a stream that several servers made join to one whole. */

import fc from "fast-check";
import { expect, test } from "vitest";
import type { RawEvent } from "../connection/event_splitter.ts";
import { AttemptError, FailureCause } from "../errors.ts";
import { StreamAssembler } from "./stream_assembler.ts";

function event(id: number | undefined, text = `${id}`): RawEvent {
  const line = id === undefined ? "" : `id: ${id}\n`;
  return {
    bytes: Buffer.from(`${line}data: ${text}\n\n`),
    id: id === undefined ? undefined : String(id),
  };
}

function events(from: number, to: number): RawEvent[] {
  return Array.from(
    { length: Math.max(0, to - from + 1) },
    (_, at) => event(from + at),
  );
}

function ids(accepted: readonly RawEvent[]): (string | undefined)[] {
  return accepted.map(({ id }) => id);
}

test("however many parts begin where, each event is passed on once and in order", () => {
  const part = fc.record({
    /** How far before the next event the part begins. */
    back: fc.nat(5),
    length: fc.nat(12),
    /** Places where the bytes of the part arrive in separate pieces. */
    pieces: fc.array(fc.integer({ min: 1, max: 4 }), { maxLength: 6 }),
  });
  fc.assert(
    fc.property(fc.nat(9), fc.array(part, { maxLength: 6 }), (after, parts) => {
      const splice = StreamAssembler.create(String(after));
      const passed: (string | undefined)[] = [];
      for (const { back, length, pieces } of parts) {
        splice.beginSegment();
        const last = Number(splice.lastEventId);
        const from = Math.max(1, last + 1 - back);
        const made = events(from, from + length - 1);
        for (const size of [...pieces, made.length]) {
          passed.push(...ids(splice.accept(made.splice(0, size))));
        }
      }
      expect(passed).toEqual(
        passed.map((_, at) => String(after + 1 + at)),
      );
    }),
  );
});

test("a part that leaves events out is not passed on", () => {
  const splice = StreamAssembler.create(undefined);
  splice.accept(events(1, 4));
  splice.beginSegment();
  const accept = () => splice.accept(events(6, 9));
  expect(accept).toThrow(AttemptError);
  expect(accept).toThrow(FailureCause.PositionGap);
  expect(splice.lastEventId).toBe("4");
  splice.beginSegment();
  expect(ids(splice.accept(events(5, 6)))).toEqual(["5", "6"]);
});

test("the first event may have any id", () => {
  for (const first of [0, 1, 7]) {
    const splice = StreamAssembler.create(undefined);
    expect(ids(splice.accept(events(first, first + 1)))).toEqual(
      [String(first), String(first + 1)],
    );
  }
});

test("where ids do not count events, a step between parts is no gap", () => {
  const splice = StreamAssembler.create(undefined);
  splice.accept([event(1), event(8), event(15)]);
  splice.beginSegment();
  expect(ids(splice.accept([event(15), event(22)]))).toEqual(["22"]);
});

test("events without an id pass, and an event sent twice passes once", () => {
  const splice = StreamAssembler.create(undefined);
  const sent = [event(1), event(undefined), event(2), event(2), event(3)];
  expect(ids(splice.accept(sent))).toEqual(["1", undefined, "2", "3"]);
  expect(splice.eventCount).toBe(3);
});
