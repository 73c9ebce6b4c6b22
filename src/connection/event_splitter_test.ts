/** Events are passed on whole and once, however their bytes arrive. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { EventSplitter } from "./event_splitter.ts";

/** Cuts bytes at the given places. */
function cut(bytes: Buffer, places: readonly number[]): Buffer[] {
  const ends = [...new Set([...places, bytes.length])]
    .filter((place) => place <= bytes.length)
    .sort((a, b) => a - b);
  return ends.map((end, at) => bytes.subarray(ends[at - 1] ?? 0, end));
}

function eventText(id: number, data: string, feed: string): string {
  return `id: ${id}${feed}data: ${data}${feed}${feed}`;
}

test("any cuts give the same events, and what is unfinished is held back", () => {
  fc.assert(
    fc.property(
      fc.array(fc.stringMatching(/^[a-z0-9 .:]{0,20}$/), { maxLength: 8 }),
      fc.array(fc.nat(400), { maxLength: 12 }),
      fc.constantFrom("\n", "\r\n"),
      fc.constantFrom("", "id: 99", "id: 99\ndata: half"),
      (datas, places, feed, unfinished) => {
        const texts = datas.map((data, at) => eventText(at + 1, data, feed));
        const stream = Buffer.from(texts.join("") + unfinished);
        const splitter = EventSplitter.create();
        const events = cut(stream, places)
          .flatMap((bytes) => [...splitter.push(bytes)]);
        expect(events.map(({ bytes }) => bytes.toString())).toEqual(texts);
        expect(events.map(({ id }) => id)).toEqual(
          datas.map((_, at) => String(at + 1)),
        );
        expect(splitter.hasPartialEvent).toBe(unfinished !== "");
      },
    ),
  );
});

test("the parts of two servers join without loss or repetition at any cut", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 20 }),
      fc.nat(2_000),
      (count, cutAt) => {
        const texts = Array.from(
          { length: count },
          (_, at) => eventText(at + 1, "x".repeat(at), "\n"),
        );
        const first = EventSplitter.create();
        const whole = Buffer.from(texts.join(""));
        const delivered = [...first.push(whole.subarray(0, cutAt))];
        // The next server goes on after the last event that was delivered.
        const last = Number(delivered.at(-1)?.id ?? 0);
        const second = EventSplitter.create();
        const rest = [...second.push(Buffer.from(texts.slice(last).join("")))];
        const joined = [...delivered, ...rest].map(({ bytes }) => `${bytes}`);
        expect(joined.join("")).toBe(texts.join(""));
      },
    ),
  );
});
