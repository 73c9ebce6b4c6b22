/** The stand-in engine's deterministic text, which tests can compute. */

import { hashParts } from "../src/hashing.ts";

/** What determines the text of a stream. */
export interface TextSeed {
  readonly prompt: string;
  readonly modelVersion: string;
}

const TOKEN_DIGITS = 5;

/** Returns the token at a position, from 0. */
export function tokenAt(seed: TextSeed, position: number): string {
  const hash = hashParts([seed.prompt, seed.modelVersion, String(position)]);
  return ` ${hash.slice(0, TOKEN_DIGITS)}`;
}

/** Returns the first `count` tokens as one text. */
export function expectedText(seed: TextSeed, count: number): string {
  return Array.from({ length: count }, (_, position) => tokenAt(seed, position))
    .join("");
}
