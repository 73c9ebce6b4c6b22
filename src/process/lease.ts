/**
 * A lease kept as one object in the platform. Nobody's wall clock counts: a
 * candidate takes over only after it saw the same version for the whole lease
 * time on its own monotonic clock, and the version is the fencing number.
 */

import type { ObjectRevision } from "../ids.ts";
import type {
  KeyValueStore,
  StoredValue,
} from "../connection/key_value_store.ts";
import type { EntryId } from "../ids.ts";

/** What a lease is held on. */
export interface LeaseOptions {
  readonly platform: KeyValueStore;
  /** Name of the lease's object. */
  readonly name: string;
  readonly holder: EntryId;
  readonly leaseMs: number;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

interface Seen {
  readonly version: ObjectRevision | undefined;
  readonly sinceMs: number;
}

/** One candidate's side of a lease. */
export class Lease {
  readonly #options: LeaseOptions;
  #held: ObjectRevision | undefined;
  #validUntilMs = Number.NEGATIVE_INFINITY;
  #seen: Seen | undefined;

  private constructor(options: LeaseOptions) {
    this.#options = options;
  }

  /** Makes a candidate that does not hold the lease yet. */
  static create(options: LeaseOptions): Lease {
    return new Lease(options);
  }

  /** The fencing number while the lease is surely held, else `undefined`. */
  get fencingToken(): ObjectRevision | undefined {
    return this.#options.now() < this.#validUntilMs ? this.#held : undefined;
  }

  /**
   * Renews the lease or tries to take it over; call it several times a lease.
   *
   * Errors: `PlatformUnavailable`, `VersionConflict`; the lease then runs out
   * unless a later call renews it.
   */
  async renew(): Promise<void> {
    const { platform, name, now } = this.#options;
    const startMs = now();
    const stored = await platform.read(name);
    if (!this.#mayTake(stored)) return;
    const value = JSON.stringify({ holder: this.#options.holder });
    const version = stored === undefined
      ? await platform.create(name, value)
      : await platform.update(name, stored.version, value);
    this.#held = version;
    this.#validUntilMs = startMs + this.#options.leaseMs;
  }

  #mayTake(stored: StoredValue | undefined): boolean {
    if (stored === undefined) return true;
    if (stored.version === this.#held) return true;
    const nowMs = this.#options.now();
    if (this.#seen?.version !== stored.version) {
      this.#seen = { version: stored.version, sinceMs: nowMs };
      return false;
    }
    return nowMs - this.#seen.sinceMs > this.#options.leaseMs;
  }
}
