/**
 * Bloom filters of the parts of a prompt, so that entries can tell each other of
 * all parts of a long head in a few bytes. A filter has all of its parts, and a
 * few that aren't.
 */

import { rendezvousHash } from "../hashing.ts";

/** Size of a filter, in bytes; one of 400 parts has 2% of all others. */
export const FILTER_BYTES = 512;
const BITS_PER_BYTE = 8;
/** Seeds of the hashes; each gives one bit of a part. */
const SEEDS = ["1", "2", "3"];

/** Returns the bits that stand for a part. */
export function bitsOf(part: string): readonly number[] {
  return SEEDS.map((seed) =>
    rendezvousHash(seed, part) % (FILTER_BYTES * BITS_PER_BYTE)
  );
}

/** Returns the filter of some parts. */
export function createPartsFilter(parts: readonly string[]): Uint8Array {
  const filter = new Uint8Array(FILTER_BYTES);
  for (const bit of parts.flatMap(bitsOf)) {
    const at = Math.floor(bit / BITS_PER_BYTE);
    filter[at] = (filter[at] ?? 0) | (1 << bit % BITS_PER_BYTE);
  }
  return filter;
}

/** Whether a filter has a part with these bits. */
export function hasBits(filter: Uint8Array, bits: readonly number[]): boolean {
  return bits.every((bit) => {
    const byte = filter[Math.floor(bit / BITS_PER_BYTE)] ?? 0;
    return (byte & (1 << bit % BITS_PER_BYTE)) !== 0;
  });
}
