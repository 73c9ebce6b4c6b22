/** What all entries share: objects by kind and name, kept by the platform. */

import type { ObjectRevision } from "../ids.ts";

/** A stored object; `spec` and `status` are untrusted until restored. */
export interface StoredObject {
  readonly name: string;
  /** Revision of the object's last change. */
  readonly revision: ObjectRevision;
  readonly spec: unknown;
  readonly status: unknown;
}

/** All objects of a kind at one revision of the store. */
export interface ObjectList {
  readonly objects: readonly StoredObject[];
  /** The store's revision, from which a watch goes on. */
  readonly revision: ObjectRevision;
}

/** One change of an object. */
export interface ObjectChange {
  readonly object: StoredObject;
  readonly isDeleted: boolean;
}

/** What a watch returned; no changes when its wait ran out. */
export interface WatchResult {
  readonly changes: readonly ObjectChange[];
  readonly revision: ObjectRevision;
}

/** How a kind is watched. */
export interface WatchOptions {
  readonly kind: string;
  /** Revision after which changes are wanted. */
  readonly sinceRevision: ObjectRevision;
  /** Longest time that the store holds the call, in ms. */
  readonly waitMs: number;
}

/** How a kind is listed. */
export interface ListOptions {
  readonly kind: string;
  /** Accepts data that is seconds old at a tenth of the price. */
  readonly allowsStale?: boolean;
}

/** The calls on shared objects; writes are never retried by themselves. */
export interface ObjectStore {
  /** Lists all objects of a kind. Errors: `PlatformUnavailable`. */
  readonly list: (wish: ListOptions) => Promise<ObjectList>;
  /** Reads one object. Errors: `PlatformUnavailable`. */
  readonly read: (
    kind: string,
    name: string,
  ) => Promise<StoredObject | undefined>;
  /** Waits for changes. Errors: `PlatformHistoryGone`, `PlatformUnavailable`. */
  readonly watch: (wish: WatchOptions) => Promise<WatchResult>;
  /** Creates an object. Errors: `VersionConflict`, `PlatformUnavailable`. */
  readonly create: (
    kind: string,
    object: { readonly name: string; readonly spec: unknown },
  ) => Promise<StoredObject>;
  /**
   * Replaces an object; `undefined` when there is none.
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
  /** Removes an object. Errors: `VersionConflict`, `PlatformUnavailable`. */
  readonly remove: (
    kind: string,
    object: { readonly name: string; readonly revision?: ObjectRevision },
  ) => Promise<void>;
  /** Closes the connections. */
  readonly close: () => void;
}
