/** Decides which call to the shared store a watch makes next. */

/** What a watch does next. */
export enum StoreCall {
  /** Make no call, since other entries read for this one. */
  None = "none",
  /** Read all objects as they are now. */
  List = "list",
  /** Wait for the changes since the last call. */
  Watch = "watch",
}

/** What a watch knows when it chooses its next call. */
export interface StoreReadState {
  /** Whether this entry is one of those that read for all. */
  readonly isReader: boolean;
  /** Whether a list is needed even if other entries read for this one. */
  readonly mustRelist: boolean;
  /** Whether this entry has listed before, so that a watch can continue. */
  readonly hasRevision: boolean;
  /**
   * Whether only the newest version of each object counts, as with the
   * configuration: versions in between may be large, and are not read.
   */
  readonly followsNewestOnly: boolean;
  /** Whether versions may have accumulated since the last successful call. */
  readonly mayHaveMissedVersions: boolean;
  /**
   * Whether the store's revision has increased by more than the watch returned:
   * by changes of other kinds, or by one that it passed over.
   */
  readonly mayHavePassedOver: boolean;
  /** Time since the last list, in ms. */
  readonly listAgeMs: number;
}

/**
 * Shortest time between a list and a later one that only checks whether a watch
 * passed over a change, in ms; limits the calls.
 */
const CHECK_INTERVAL_MS = 1_000;

/** Returns the next call. */
export function chooseStoreCall(state: StoreReadState): StoreCall {
  if (state.mustRelist) return StoreCall.List;
  if (!state.isReader) return StoreCall.None;
  if (!state.hasRevision) return StoreCall.List;
  if (!state.followsNewestOnly) return StoreCall.Watch;
  const isCheckDue = state.mayHavePassedOver &&
    state.listAgeMs >= CHECK_INTERVAL_MS;
  return state.mayHaveMissedVersions || isCheckDue
    ? StoreCall.List
    : StoreCall.Watch;
}
