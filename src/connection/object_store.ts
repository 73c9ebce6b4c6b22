/** The platform's object store: shared objects by kind and name. */

import type { ObjectRevision } from "../ids.ts";

/** A stored object; `spec` and `status` are untrusted until parsed. */
export interface StoredObject {
  readonly name: string;
  /** Revision of the object's last change. */
  readonly revision: ObjectRevision;
  /**
   * Tells an object from an earlier one of its name; `undefined` if unknown.
   */
  readonly createdRevision?: ObjectRevision | undefined;
  readonly spec: unknown;
  readonly status: unknown;
}

/** All objects of a kind at one revision of the store. */
export interface ObjectList {
  readonly objects: readonly StoredObject[];
  /** The store's revision, from which a watch can continue. */
  readonly revision: ObjectRevision;
}

/** One change of an object. */
export interface ObjectChange {
  readonly object: StoredObject;
  readonly isDeleted: boolean;
}

/** Result of a watch; without changes when its wait expired. */
export interface WatchResult {
  readonly changes: readonly ObjectChange[];
  readonly revision: ObjectRevision;
}

/** Options of a watch. */
export interface WatchOptions {
  readonly kind: string;
  /** Revision after which changes are returned. */
  readonly sinceRevision: ObjectRevision;
  /** Longest time to wait for changes, in ms. */
  readonly waitMs: number;
}

/** Options of a list. */
export interface ListOptions {
  readonly kind: string;
  /** Accepts data that is seconds old, at a tenth of the cost. */
  readonly allowsStale?: boolean;
}

/** Operations of the store; writes are never retried automatically. */
export interface ObjectStore {
  /** Lists all objects of a kind. Errors: `PlatformUnavailable`. */
  readonly list: (options: ListOptions) => Promise<ObjectList>;
  /** Reads one object. Errors: `PlatformUnavailable`. */
  readonly read: (
    kind: string,
    name: string,
  ) => Promise<StoredObject | undefined>;
  /**
   * Waits for changes.
   *
   * Errors: `PlatformHistoryGone`, `PlatformUnavailable`.
   */
  readonly watch: (options: WatchOptions) => Promise<WatchResult>;
  /** Creates an object. Errors: `VersionConflict`, `PlatformUnavailable`. */
  readonly create: (
    kind: string,
    object: { readonly name: string; readonly spec: unknown },
  ) => Promise<StoredObject>;
  /**
   * Replaces an object's spec, at `revision` if given; `undefined` when the
   * object does not exist.
   *
   * Errors: `VersionConflict`, `PlatformUnavailable`.
   */
  readonly replace: (
    kind: string,
    object: {
      readonly name: string;
      readonly spec: unknown;
      readonly revision?: ObjectRevision;
    },
  ) => Promise<StoredObject | undefined>;
  /**
   * Replaces an object's status at a revision; `undefined` when the object does
   * not exist.
   *
   * Errors: `VersionConflict`, `PlatformUnavailable`.
   */
  readonly replaceStatus: (
    kind: string,
    object: {
      readonly name: string;
      readonly status: unknown;
      readonly revision: ObjectRevision;
    },
  ) => Promise<StoredObject | undefined>;
  /** Removes an object. Errors: `VersionConflict`, `PlatformUnavailable`. */
  readonly remove: (
    kind: string,
    object: { readonly name: string; readonly revision?: ObjectRevision },
  ) => Promise<void>;
  /** Closes the connections. */
  readonly close: () => void;
}
