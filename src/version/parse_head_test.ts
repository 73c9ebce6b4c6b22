/** The head object, as any writer may leave it. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { parseHead } from "./parse_head.ts";

const MANIFEST = "0a".repeat(32);

test("any text is a valid head or none", () => {
  expect(parseHead(JSON.stringify({ revision: 3, manifest: MANIFEST })))
    .toEqual({ revision: 3, manifest: MANIFEST });
  const revision = fc.oneof(
    fc.jsonValue(),
    fc.constantFrom(0, 1.5, -1, 1e308, 2 ** 53),
  );
  const manifest = fc.oneof(fc.jsonValue(), fc.constant(MANIFEST));
  const head = fc.record({ revision, manifest }, { requiredKeys: [] });
  const text = fc.oneof(
    fc.string(),
    fc.json(),
    head.map((value) => JSON.stringify(value)),
  );
  fc.assert(
    fc.property(text, (candidate) => {
      const parsed = parseHead(candidate);
      if (parsed === undefined) return;
      expect(Number.isSafeInteger(parsed.revision)).toBe(true);
      expect(parsed.revision).toBeGreaterThan(0);
      expect(parsed.manifest).toBe(MANIFEST);
    }),
  );
});
