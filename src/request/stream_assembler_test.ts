/** Tests that segments of a stream from several servers form one stream. */

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
    (_, index) => event(from + index),
  );
}

function ids(accepted: readonly RawEvent[]): (string | undefined)[] {
  return accepted.map(({ id }) => id);
}

test("overlapping segments in any chunks yield each event once and in order", () => {
  const segment = fc.record({
    /** Number of events of the segment that were already accepted. */
    overlap: fc.nat(5),
    length: fc.nat(12),
    /** Numbers of events that arrive together. */
    chunkSizes: fc.array(fc.integer({ min: 1, max: 4 }), { maxLength: 6 }),
  });
  fc.assert(
    fc.property(
      fc.nat(9),
      fc.array(segment, { maxLength: 6 }),
      (after, segments) => {
        const assembler = StreamAssembler.create(String(after));
        const forwardedIds: (string | undefined)[] = [];
        for (const { overlap, length, chunkSizes } of segments) {
          assembler.beginSegment();
          const last = Number(assembler.lastEventId);
          const from = Math.max(1, last + 1 - overlap);
          const produced = events(from, from + length - 1);
          for (const size of [...chunkSizes, produced.length]) {
            forwardedIds.push(
              ...ids(assembler.accept(produced.splice(0, size))),
            );
          }
        }
        expect(forwardedIds).toEqual(
          forwardedIds.map((_, index) => String(after + 1 + index)),
        );
      },
    ),
  );
});

test("a segment that starts after a gap is rejected", () => {
  const assembler = StreamAssembler.create(undefined);
  assembler.accept(events(1, 4));
  assembler.beginSegment();
  const accept = () => assembler.accept(events(6, 9));
  expect(accept).toThrow(AttemptError);
  expect(accept).toThrow(FailureCause.PositionGap);
  expect(assembler.lastEventId).toBe("4");
  assembler.beginSegment();
  expect(ids(assembler.accept(events(5, 6)))).toEqual(["5", "6"]);
});

test("the first event may have any id", () => {
  for (const first of [0, 1, 7]) {
    const assembler = StreamAssembler.create(undefined);
    expect(ids(assembler.accept(events(first, first + 1)))).toEqual(
      [String(first), String(first + 1)],
    );
  }
});

test("if ids are not consecutive, a step between segments is not a gap", () => {
  const assembler = StreamAssembler.create(undefined);
  assembler.accept([event(1), event(8), event(15)]);
  assembler.beginSegment();
  expect(ids(assembler.accept([event(15), event(22)]))).toEqual(["22"]);
});

test("events without an id are accepted, and duplicate events are dropped", () => {
  const assembler = StreamAssembler.create(undefined);
  const sent = [event(1), event(undefined), event(2), event(2), event(3)];
  expect(ids(assembler.accept(sent))).toEqual(["1", undefined, "2", "3"]);
  expect(assembler.eventCount).toBe(3);
});
