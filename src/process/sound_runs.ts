/**
 * When a run with each cause last began that crashed no server. Such a run
 * refutes the crashes before it; peers are told of those that refute any.
 */

import type { CrashCause } from "../ids.ts";
import type { ServerCrash } from "./crash_evidence.ts";

/** A cause, and when the last sound run with it began, in ms. */
export type Proof = readonly [cause: CrashCause, begunMs: number];

/** How long a change is sent to peers in each digest, in ms. */
export const FRESH_MS = 1_000;
/**
 * Causes whose last sound run is kept in memory: those of sixteen of the longest
 * heads.
 */
const PROOFS_MAX = 16_000;
/** Causes whose last crash is kept in memory. */
const SUSPECTED_MAX = 4_000;

/** The last sound runs, by cause. */
export class SoundRuns {
  readonly #now: () => number;
  /** In ms. */
  readonly #proofs = new Map<CrashCause, number>();
  /** When each proof last became news to peers, in ms. */
  readonly #newsMs = new Map<CrashCause, number>();
  /** Last crash of each suspected cause, in ms. */
  readonly #lastCrashMs = new Map<CrashCause, number>();

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts without runs; `now` is a monotonic clock in ms. */
  static create(now: () => number): SoundRuns {
    return new SoundRuns(now);
  }

  /** All that is known, by cause; in ms. */
  get proofs(): ReadonlyMap<CrashCause, number> {
    return this.#proofs;
  }

  /** When the last sound run with a cause began, in ms. */
  provenMs(cause: CrashCause): number | undefined {
    return this.#proofs.get(cause);
  }

  /** Records a sound run; returns whether it refutes any crash. */
  record(causes: readonly CrashCause[], begunMs: number): boolean {
    const refuting = causes.filter((cause) => this.#add(cause, begunMs));
    dropOldest(this.#proofs, PROOFS_MAX);
    return refuting.length > 0;
  }

  /** Records that the runs on a crashed server are suspected. */
  suspect({ atMs, runs }: ServerCrash): void {
    for (const cause of runs.flatMap(({ causes }) => causes)) {
      const lastMs = this.#lastCrashMs.get(cause) ?? -Infinity;
      this.#lastCrashMs.delete(cause);
      this.#lastCrashMs.set(cause, Math.max(lastMs, atMs));
    }
    dropOldest(this.#lastCrashMs, SUSPECTED_MAX);
  }

  /** Has proofs sent again that the sender of a crash lacks. */
  repeat(crash: ServerCrash): void {
    for (const cause of this.#refuted(crash)) {
      if (!this.#newsMs.has(cause)) this.#newsMs.set(cause, this.#now());
    }
  }

  /** Returns at most `count` proofs that are news, or that refute `crashes`. */
  news(crashes: readonly ServerCrash[], count: number): readonly Proof[] {
    const refuted = crashes.flatMap((crash) => this.#refuted(crash));
    return [...new Set([...this.#newsMs.keys(), ...refuted])]
      .slice(0, count)
      .map((cause) => [cause, this.#proofs.get(cause) ?? -Infinity] as const)
      .filter(([, begunMs]) => begunMs !== -Infinity);
  }

  /** Drops what peers have been told. */
  dropOldNews(): void {
    const nowMs = this.#now();
    for (const [cause, newsMs] of this.#newsMs) {
      if (nowMs - newsMs > FRESH_MS) this.#newsMs.delete(cause);
    }
  }

  #add(cause: CrashCause, begunMs: number): boolean {
    const previousMs = this.#proofs.get(cause) ?? -Infinity;
    if (begunMs <= previousMs) return false;
    this.#proofs.delete(cause);
    this.#proofs.set(cause, begunMs);
    const lastCrashMs = this.#lastCrashMs.get(cause);
    if (lastCrashMs === undefined || lastCrashMs <= previousMs) return false;
    this.#newsMs.set(cause, this.#now());
    return true;
  }

  #refuted({ atMs, runs }: ServerCrash): readonly CrashCause[] {
    return runs.flatMap(({ causes }) => causes)
      .filter((cause) => (this.#proofs.get(cause) ?? -Infinity) > atMs);
  }
}

function dropOldest<Key, Value>(map: Map<Key, Value>, size: number): void {
  for (const key of map.keys()) {
    if (map.size <= size) return;
    map.delete(key);
  }
}
