/** Status objects, as any writer may leave them. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { parseEntryStatus } from "./parse_entry_status.ts";

const STATUS = {
  entry: "entry-1",
  zone: "a",
  revision: 3,
  time: "2026-12-04T00:00:00.000Z",
  stopping: false,
  servers: [
    { name: "e-1", service: "s", condition: "serving", inFlight: 2 },
  ],
  suspicions: [{ fingerprint: "f", blame: 1, expiresInS: 60 }],
};

test("a status is returned unchanged", () => {
  expect(parseEntryStatus(JSON.stringify(STATUS))).toEqual(STATUS);
});

test("any text, and a status with any field replaced, is a status or nothing", () => {
  const changed = fc
    .tuple(fc.constantFrom(...Object.keys(STATUS)), fc.jsonValue())
    .map(([field, value]) => JSON.stringify({ ...STATUS, [field]: value }));
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json(), changed), (text) => {
      const status = parseEntryStatus(text);
      if (status === undefined) return;
      expect(typeof status.entry).toBe("string");
      expect(Number.isSafeInteger(status.revision)).toBe(true);
      for (const { name } of status.servers) expect(typeof name).toBe("string");
    }),
  );
});
