/**
 * Remembers which requests were running where a backend server was lost, so
 * that one which crashes its servers is refused instead of being spread.
 */

import type { Suspicion } from "../connection/peer_protocol.ts";
import { SUSPICION_BLAME_LIMIT, SUSPICION_TTL_MS } from "../constants.ts";
import type { Fingerprint } from "../ids.ts";

/** What suspicions need of their process. */
export interface CrashSuspicionsOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called when this entry has recorded a loss. */
  readonly onRecord: () => void;
}

interface Held {
  readonly blame: number;
  readonly expiresMs: number;
}

/** Suspicions in one digest. */
const DIGEST_SUSPICIONS_MAX = 4;
/** Digests carry suspicions that were renewed within this time, in ms. */
const DIGEST_SUSPICION_AGE_MS = 30_000;
const HELD_MAX = 10_000;

/** Suspicions by request fingerprint, with expiry. */
export class CrashSuspicions {
  readonly #now: () => number;
  readonly #onRecord: () => void;
  readonly #held = new Map<Fingerprint, Held>();

  private constructor({ now, onRecord }: CrashSuspicionsOptions) {
    this.#now = now;
    this.#onRecord = onRecord;
  }

  /** Starts empty. */
  static create(options: CrashSuspicionsOptions): CrashSuspicions {
    return new CrashSuspicions(options);
  }

  /** Sets the blame of a request after a loss that this entry saw. */
  record(fingerprint: Fingerprint, blame: number): void {
    this.#store(fingerprint, {
      blame,
      expiresMs: this.#now() + SUSPICION_TTL_MS,
    });
    this.#onRecord();
  }

  /** Returns the blame that still counts against a request. */
  blameScore(fingerprint: Fingerprint): number {
    const held = this.#held.get(fingerprint);
    if (held === undefined) return 0;
    if (held.expiresMs > this.#now()) return held.blame;
    this.#held.delete(fingerprint);
    return 0;
  }

  /** Whether a request must not run. */
  isRefused(fingerprint: Fingerprint): boolean {
    return this.blameScore(fingerprint) >= SUSPICION_BLAME_LIMIT;
  }

  /** Forgets a request that ended well. */
  clear(fingerprint: Fingerprint): void {
    this.#held.delete(fingerprint);
  }

  /** Takes over what a peer knows; the higher count and later end win. */
  merge(suspicions: readonly Suspicion[]): void {
    for (const { fingerprint, blame, remainingMs } of suspicions) {
      const held = this.#held.get(fingerprint);
      const ttlMs = Math.min(remainingMs, SUSPICION_TTL_MS);
      const expiresMs = this.#now() + ttlMs;
      this.#store(fingerprint, {
        blame: Math.max(blame, held?.blame ?? 0),
        expiresMs: Math.max(expiresMs, held?.expiresMs ?? 0),
      });
    }
  }

  /** Returns all suspicions, the newest last. */
  snapshot(): readonly Suspicion[] {
    const now = this.#now();
    return [...this.#held]
      .filter(([, held]) => held.expiresMs > now)
      .map(([fingerprint, { blame, expiresMs }]) => ({
        fingerprint,
        blame,
        remainingMs: expiresMs - now,
      }));
  }

  /**
   * Returns the few that a digest carries: of those that were renewed lately,
   * the ones with the most blame, so that a digest stays small in a storm.
   */
  digest(): readonly Suspicion[] {
    const renewedMs = SUSPICION_TTL_MS - DIGEST_SUSPICION_AGE_MS;
    return this.snapshot()
      .filter(({ remainingMs }) => remainingMs > renewedMs)
      .toSorted((a, b) => b.blame - a.blame)
      .slice(0, DIGEST_SUSPICIONS_MAX);
  }

  #store(fingerprint: Fingerprint, held: Held): void {
    this.#held.delete(fingerprint);
    this.#held.set(fingerprint, held);
    if (this.#held.size <= HELD_MAX) return;
    const oldest = this.#held.keys().next().value;
    if (oldest !== undefined) this.#held.delete(oldest);
  }
}
