/**
 * What entries tell each other of the list of registered entries, so that one
 * that has the current list need not ask the store.
 */

import type { ObjectList } from "../connection/object_store.ts";
import type { ObjectRevision } from "../ids.ts";

/**
 * A list of the registered entries in brief. A registration or a removal changes
 * the count or the newest revision, as revisions only increase.
 */
export interface MemberSummary {
  /** Revision of the store when it was listed. */
  readonly revision: ObjectRevision;
  /** Number of registrations. */
  readonly count: number;
  /** Revision of the newest registration; 0 without one. */
  readonly newest: ObjectRevision;
}

/** Summarizes a list. */
export function summarize({ objects, revision }: ObjectList): MemberSummary {
  return {
    revision,
    count: objects.length,
    newest: Math.max(
      0,
      ...objects.map((object) => object.revision),
    ) as ObjectRevision,
  };
}

/** Returns the summary of the later list. */
export function laterOf(
  a: MemberSummary | undefined,
  b: MemberSummary,
): MemberSummary {
  return a === undefined || b.revision >= a.revision ? b : a;
}

/** Whether two summaries are of the same registrations. */
export function hasSameMembers(a: MemberSummary, b: MemberSummary): boolean {
  return a.count === b.count && a.newest === b.newest;
}
