/**
 * Guards against doubled or skipped tokens: batches of several attempts may
 * overlap, arrive late or start anywhere, yet each position counts once.
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import type { StreamEvent } from "../connection/engine_protocol.ts";
import { Journal } from "./journal.ts";

const LENGTH = 30;
const TOKENS = Array.from(
  { length: LENGTH },
  (_, p): StreamEvent => ({ p, t: ` t${p}` }),
);
const FULL_TEXT = TOKENS.map(({ t }) => t).join("");

test("repeated, late and partial batches never double or skip a token", () => {
  const range = fc.tuple(fc.nat(LENGTH), fc.nat(LENGTH));
  fc.assert(
    fc.property(fc.array(range, { maxLength: 40 }), (ranges) => {
      const journal = Journal.create(LENGTH);
      let delivered = "";
      for (const [from, length] of ranges) {
        const { text } = journal.accept(TOKENS.slice(from, from + length));
        delivered += text;
      }
      expect(FULL_TEXT.startsWith(delivered)).toBe(true);
      expect(journal.text).toBe(delivered);
      delivered += journal.accept(TOKENS).text;
      expect(delivered).toBe(FULL_TEXT);
    }),
    { seed: 20_261_204 },
  );
});

test("the text hash does not depend on how the text was split", () => {
  const joint = Journal.create(LENGTH);
  joint.accept(TOKENS);
  const split = Journal.create(LENGTH);
  for (const token of TOKENS) split.accept([token]);
  expect(split.textHash).toBe(joint.textHash);
});
