/**
 * Eras of the shared store. One that comes back from an older copy has lost what
 * was written since, and gives the same revisions out again; each time its era
 * rises by one. A revision in this program contains the era of the answer it came
 * with, so that a later one is higher wherever two are compared.
 */

import type { ObjectRevision } from "../ids.ts";

/** Revisions of one era; eras up to 8,191 fit into a whole number. */
const REVISIONS_PER_ERA = 2 ** 40;

/** Returns a store's revision with its era; `undefined` if it can't be told. */
export function withEra(
  era: number,
  revision: number,
): ObjectRevision | undefined {
  if (era === 0) return revision as ObjectRevision;
  const combined = era * REVISIONS_PER_ERA + revision;
  const isExact = revision < REVISIONS_PER_ERA &&
    Number.isSafeInteger(combined);
  return isExact ? combined as ObjectRevision : undefined;
}

/** Returns the era in which a revision was given out; 0 without eras. */
export function eraOf(revision: ObjectRevision): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}

/** Returns a revision as the store knows it. */
export function storeRevisionOf(revision: ObjectRevision): number {
  return revision % REVISIONS_PER_ERA;
}
