/** Events are yielded complete and once, however their bytes arrive. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { EventSplitter } from "./event_splitter.ts";

/** Splits bytes at the given offsets. */
function splitAt(bytes: Buffer, offsets: readonly number[]): Buffer[] {
  const ends = [...new Set([...offsets, bytes.length])]
    .filter((offset) => offset <= bytes.length)
    .sort((a, b) => a - b);
  return ends.map((end, at) => bytes.subarray(ends[at - 1] ?? 0, end));
}

function eventText(id: number, data: string, newline: string): string {
  return `id: ${id}${newline}data: ${data}${newline}${newline}`;
}

test("any split yields the same events and buffers an incomplete one", () => {
  fc.assert(
    fc.property(
      fc.array(fc.stringMatching(/^[a-z0-9 .:]{0,20}$/), { maxLength: 8 }),
      fc.array(fc.nat(400), { maxLength: 12 }),
      fc.constantFrom("\n", "\r\n"),
      fc.constantFrom("", "id: 99", "id: 99\ndata: half"),
      (payloads, offsets, newline, incomplete) => {
        const texts = payloads.map((data, at) =>
          eventText(at + 1, data, newline)
        );
        const stream = Buffer.from(texts.join("") + incomplete);
        const splitter = EventSplitter.create();
        const events = splitAt(stream, offsets)
          .flatMap((bytes) => [...splitter.push(bytes)]);
        expect(events.map(({ bytes }) => bytes.toString())).toEqual(texts);
        expect(events.map(({ id }) => id)).toEqual(
          payloads.map((_, at) => String(at + 1)),
        );
        expect(splitter.hasPartialEvent).toBe(incomplete !== "");
      },
    ),
  );
});

test("resuming at any offset neither loses nor repeats events", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 20 }),
      fc.nat(2_000),
      (count, cutOffset) => {
        const texts = Array.from(
          { length: count },
          (_, at) => eventText(at + 1, "x".repeat(at), "\n"),
        );
        const first = EventSplitter.create();
        const fullStream = Buffer.from(texts.join(""));
        const delivered = [...first.push(fullStream.subarray(0, cutOffset))];
        // The second server resumes after the last event that was delivered.
        const last = Number(delivered.at(-1)?.id ?? 0);
        const second = EventSplitter.create();
        const resumed = [
          ...second.push(Buffer.from(texts.slice(last).join(""))),
        ];
        const joined = [...delivered, ...resumed].map(({ bytes }) =>
          `${bytes}`
        );
        expect(joined.join("")).toBe(texts.join(""));
      },
    ),
  );
});
