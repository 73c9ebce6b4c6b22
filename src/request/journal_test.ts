/** A journal takes each position once, whatever the order of arrival. */

import fc from "fast-check";
import { expect, test } from "vitest";
import type { StreamEvent } from "../connection/engine_protocol.ts";
import { Journal } from "./journal.ts";

const LENGTH = 30;
const TOKENS = Array.from(
  { length: LENGTH },
  (_, p): StreamEvent => ({ p, t: ` t${p}` }),
);
const WHOLE = TOKENS.map(({ t }) => t).join("");

test("repeated, late and cut batches never double or skip a token", () => {
  const range = fc.tuple(fc.nat(LENGTH), fc.nat(LENGTH));
  fc.assert(
    fc.property(fc.array(range, { maxLength: 40 }), (ranges) => {
      const journal = Journal.create(LENGTH);
      let delivered = "";
      for (const [from, length] of ranges) {
        const { text } = journal.accept(TOKENS.slice(from, from + length));
        delivered += text;
      }
      expect(WHOLE.startsWith(delivered)).toBe(true);
      expect(journal.text).toBe(delivered);
      delivered += journal.accept(TOKENS).text;
      expect(delivered).toBe(WHOLE);
    }),
    { seed: 20_261_204 },
  );
});

test("the text's hash does not depend on how it was cut", () => {
  const whole = Journal.create(LENGTH);
  whole.accept(TOKENS);
  const cut = Journal.create(LENGTH);
  for (const token of TOKENS) cut.accept([token]);
  expect(cut.textHash).toBe(whole.textHash);
});
