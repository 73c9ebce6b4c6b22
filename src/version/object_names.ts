/** Names of this system's objects in the platform's object API. */

import type { ContentHash, EntryId, Fingerprint } from "../ids.ts";

/** Head object; each publish updates it to the new revision. */
export const HEAD_NAME = "head";
/** Name prefix of chunks. */
export const CHUNK_PREFIX = "chunk/";
/** Name prefix of the status objects of entries. */
export const ENTRY_STATUS_PREFIX = "status/entry/";
/** Name prefix of action records. */
export const ACTION_PREFIX = "action/";
/** Lease that the active steward holds. */
export const STEWARD_LEASE_NAME = "lease/steward";
/** Status summary that the steward writes. */
export const SUMMARY_NAME = "status/summary";

/** Returns the name of a chunk. */
export function chunkName(hash: ContentHash): string {
  return `${CHUNK_PREFIX}${hash}`;
}

/** Returns the name of an entry's status object. */
export function entryStatusName(entry: EntryId): string {
  return `${ENTRY_STATUS_PREFIX}${entry}`;
}

/** Returns the name of an action record. */
export function actionName(key: Fingerprint): string {
  return `${ACTION_PREFIX}${key}`;
}
