/** Names of the system's objects in the platform's object API. */

import type { ContentHash, EntryId, Fingerprint } from "../ids.ts";

/** The one object that a publish moves. */
export const HEAD_NAME = "head";
/** Start of the names of chunks. */
export const CHUNK_PREFIX = "chunk/";
/** Start of the names of entries' status objects. */
export const ENTRY_STATUS_PREFIX = "status/entry/";
/** Start of the names of action records. */
export const ACTION_PREFIX = "action/";
/** Lease of the steward's duties. */
export const STEWARD_LEASE_NAME = "lease/steward";
/** Summary that the steward writes. */
export const SUMMARY_NAME = "status/summary";

/** Returns the name of a chunk. */
export function chunkName(hash: ContentHash): string {
  return `${CHUNK_PREFIX}${hash}`;
}

/** Returns the name of an entry's status object. */
export function entryStatusName(entry: EntryId): string {
  return `${ENTRY_STATUS_PREFIX}${entry}`;
}

/** Returns the name of an action's record. */
export function actionName(key: Fingerprint): string {
  return `${ACTION_PREFIX}${key}`;
}
