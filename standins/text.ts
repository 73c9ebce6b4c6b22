/** The text that the stand-in engine generates, known in advance to tests. */

import { hashParts } from "../src/hashing.ts";

/** What an answer's text depends on. */
export interface TextSeed {
  readonly prompt: string;
  readonly modelVersion: string;
}

const WORD_DIGITS = 5;

/** Returns the token at a position; each position has its own. */
export function tokenAt(seed: TextSeed, position: number): string {
  const hash = hashParts([seed.prompt, seed.modelVersion, String(position)]);
  return ` ${hash.slice(0, WORD_DIGITS)}`;
}

/** Returns the first `count` tokens as one text. */
export function expectedText(seed: TextSeed, count: number): string {
  return Array.from({ length: count }, (_, position) => tokenAt(seed, position))
    .join("");
}
