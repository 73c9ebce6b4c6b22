/**
 * A lease stored as one object in the platform. It doesn't rely on wall clocks:
 * a candidate acquires it only after the object's version hasn't changed for
 * the lease duration on the candidate's own monotonic clock. The version is the
 * fencing token.
 */

import type { ObjectRevision } from "../ids.ts";
import type {
  KeyValueStore,
  StoredValue,
} from "../connection/key_value_store.ts";
import type { EntryId } from "../ids.ts";

/** Dependencies and settings of a lease. */
export interface LeaseOptions {
  readonly platform: KeyValueStore;
  /** Name of the lease's object. */
  readonly name: string;
  readonly holder: EntryId;
  readonly leaseMs: number;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

interface ObservedVersion {
  readonly version: ObjectRevision | undefined;
  readonly sinceMs: number;
}

/** One candidate's handle on a lease. */
export class Lease {
  readonly #options: LeaseOptions;
  #heldVersion: ObjectRevision | undefined;
  #validUntilMs = Number.NEGATIVE_INFINITY;
  #observed: ObservedVersion | undefined;

  private constructor(options: LeaseOptions) {
    this.#options = options;
  }

  /** Creates a candidate that does not hold the lease yet. */
  static create(options: LeaseOptions): Lease {
    return new Lease(options);
  }

  /** The fencing token while the lease is surely held, else `undefined`. */
  get fencingToken(): ObjectRevision | undefined {
    return this.#options.now() < this.#validUntilMs
      ? this.#heldVersion
      : undefined;
  }

  /**
   * Renews the lease or tries to acquire it; call it several times per lease
   * duration.
   *
   * Errors: `PlatformUnavailable`, `VersionConflict`; the lease then expires
   * unless a later call renews it.
   */
  async renew(): Promise<void> {
    const { platform, name, now } = this.#options;
    const startMs = now();
    const stored = await platform.read(name);
    if (!this.#canAcquire(stored)) return;
    const value = JSON.stringify({ holder: this.#options.holder });
    const version = stored === undefined
      ? await platform.create(name, value)
      : await platform.update(name, stored.version, value);
    this.#heldVersion = version;
    this.#validUntilMs = startMs + this.#options.leaseMs;
  }

  #canAcquire(stored: StoredValue | undefined): boolean {
    if (stored === undefined) return true;
    if (stored.version === this.#heldVersion) return true;
    const nowMs = this.#options.now();
    if (this.#observed?.version !== stored.version) {
      this.#observed = { version: stored.version, sinceMs: nowMs };
      return false;
    }
    return nowMs - this.#observed.sinceMs > this.#options.leaseMs;
  }
}
