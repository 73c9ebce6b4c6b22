/**
 * Tracks the requests that were running on backend servers that failed, so that
 * a request that crashes servers is refused instead of being retried on others.
 */

import type { Suspicion } from "../connection/peer_protocol.ts";
import { SUSPICION_BLAME_LIMIT, SUSPICION_TTL_MS } from "../constants.ts";
import type { Fingerprint } from "../ids.ts";

/** Dependencies of the suspicions. */
export interface CrashSuspicionsOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called when this entry has recorded a suspicion. */
  readonly onRecord: () => void;
}

interface StoredSuspicion {
  readonly blame: number;
  readonly expiresMs: number;
}

/** Suspicions per gossip digest. */
const DIGEST_SUSPICIONS_MAX = 4;
/** Digests carry suspicions renewed within this time, in ms. */
const DIGEST_MAX_AGE_MS = 30_000;
const SUSPICIONS_MAX = 10_000;

/** Suspicions by request fingerprint, with expiry. */
export class CrashSuspicions {
  readonly #now: () => number;
  readonly #onRecord: () => void;
  readonly #suspicions = new Map<Fingerprint, StoredSuspicion>();

  private constructor({ now, onRecord }: CrashSuspicionsOptions) {
    this.#now = now;
    this.#onRecord = onRecord;
  }

  /** Creates an empty set. */
  static create(options: CrashSuspicionsOptions): CrashSuspicions {
    return new CrashSuspicions(options);
  }

  /** Sets the blame of a request after a server failure that this entry saw. */
  record(fingerprint: Fingerprint, blame: number): void {
    this.#store(fingerprint, {
      blame,
      expiresMs: this.#now() + SUSPICION_TTL_MS,
    });
    this.#onRecord();
  }

  /** Returns the blame of a request; 0 if none or expired. */
  blameScore(fingerprint: Fingerprint): number {
    const stored = this.#suspicions.get(fingerprint);
    if (stored === undefined) return 0;
    if (stored.expiresMs > this.#now()) return stored.blame;
    this.#suspicions.delete(fingerprint);
    return 0;
  }

  /** Whether a request must not run, because of its blame. */
  isRefused(fingerprint: Fingerprint): boolean {
    return this.blameScore(fingerprint) >= SUSPICION_BLAME_LIMIT;
  }

  /** Clears a request that completed. */
  clear(fingerprint: Fingerprint): void {
    this.#suspicions.delete(fingerprint);
  }

  /**
   * Merges the suspicions of a peer entry; the higher blame and later expiry
   * win.
   */
  merge(suspicions: readonly Suspicion[]): void {
    for (const { fingerprint, blame, remainingMs } of suspicions) {
      const stored = this.#suspicions.get(fingerprint);
      const ttlMs = Math.min(remainingMs, SUSPICION_TTL_MS);
      const expiresMs = this.#now() + ttlMs;
      this.#store(fingerprint, {
        blame: Math.max(blame, stored?.blame ?? 0),
        expiresMs: Math.max(expiresMs, stored?.expiresMs ?? 0),
      });
    }
  }

  /** Returns all suspicions, the most recently renewed last. */
  snapshot(): readonly Suspicion[] {
    const now = this.#now();
    return [...this.#suspicions]
      .filter(([, stored]) => stored.expiresMs > now)
      .map(([fingerprint, { blame, expiresMs }]) => ({
        fingerprint,
        blame,
        remainingMs: expiresMs - now,
      }));
  }

  /**
   * Returns the suspicions for a gossip digest: of those renewed recently, the
   * ones with the most blame. The limit keeps digests small when many requests
   * are suspected.
   */
  digest(): readonly Suspicion[] {
    const minRemainingMs = SUSPICION_TTL_MS - DIGEST_MAX_AGE_MS;
    return this.snapshot()
      .filter(({ remainingMs }) => remainingMs > minRemainingMs)
      .toSorted((a, b) => b.blame - a.blame)
      .slice(0, DIGEST_SUSPICIONS_MAX);
  }

  #store(fingerprint: Fingerprint, stored: StoredSuspicion): void {
    this.#suspicions.delete(fingerprint);
    this.#suspicions.set(fingerprint, stored);
    if (this.#suspicions.size <= SUSPICIONS_MAX) return;
    const oldest = this.#suspicions.keys().next().value;
    if (oldest !== undefined) this.#suspicions.delete(oldest);
  }
}
