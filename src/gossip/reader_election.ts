/**
 * Elects the entries that read the shared store. A few read it for all; the
 * others learn of changes from digests, and read the store themselves as soon
 * as too few readers are known to reach it.
 *
 * Calls to the store are rate-limited and billed. With the election they grow
 * with the number of readers and not with the number of entries.
 */

import { hashText } from "../hashing.ts";
import type { EntryId } from "../ids.ts";

/** When the store last answered an entry or, if `isLost`, failed to. */
export interface ReaderLiveness {
  readonly entry: EntryId;
  readonly ageMs: number;
  readonly isLost?: boolean;
}

/** Dependencies of a reader election. */
export interface ReaderElectionOptions {
  readonly entry: EntryId;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Whether peer links reach only some of the entries; if absent, all. */
  readonly isPartialMesh?: () => boolean;
  /** Called when the store stops answering; should notify peers at once. */
  readonly onStoreUnreachable?: () => void;
}

/** Number of entries that read for all; one may fail without a gap. */
const READER_COUNT = 2;
/**
 * Age at which an answer of the store no longer counts, in ms: one blocking
 * watch (600), a slow response (300) and two digests (150 each). All entries
 * must know of a leaving server 2,000 ms after the store does.
 */
const LIVENESS_MAX_AGE_MS = 1_200;
/**
 * The same in a partial mesh: one blocking watch (600), three digests of 300 ms
 * each and a margin. While the store is slow, more entries read it. After that
 * age an entry needs up to 250 ms to begin to read, of the 2,000 ms that a
 * change may take.
 */
const PARTIAL_MESH_MAX_AGE_MS = 1_650;
/**
 * An answer of the store counts only if it is newer than the entry's last
 * failure by more than this, in ms; allows for link latency.
 */
const FAILURE_MARGIN_MS = 100;
/** Time of an answer that never came. */
const NEVER_MS = Number.NEGATIVE_INFINITY;
/** Readers in a digest beyond those needed, to replace failed ones. */
const SPARE_READERS = 2;
/**
 * Entries in a digest that the store failed to answer: former readers, whom
 * others would still count as readers, before those that probe the store.
 */
const FAILED_MAX = 8;
/** Entries that keep probing a store which no entry reaches. */
const PROBER_COUNT = 4;

/** Tracks which entries reach the store, and elects the readers among them. */
export class ReaderElection {
  readonly #options: ReaderElectionOptions;
  /** Cached hash of each entry's name; hashing on each call costs too much. */
  readonly #hashes = new Map<EntryId, string>();
  /** When the store last answered each entry, on this entry's clock in ms. */
  readonly #successMs = new Map<EntryId, number>();
  /** When the store last failed to answer each entry, in ms. */
  readonly #failureMs = new Map<EntryId, number>();
  /** When the store last answered this entry, by object kind, in ms. */
  readonly #ownSuccessMs = new Map<string, number>();
  /** When the store last answered any entry, in ms. */
  #lastSuccessMs: number;
  /** When the last digest of each other entry arrived, in ms. */
  readonly #lastDigestMs = new Map<EntryId, number>();

  private constructor(options: ReaderElectionOptions) {
    this.#options = options;
    this.#lastSuccessMs = options.now();
  }

  /** Creates an election that knows of no readers, so that this entry reads. */
  static create(options: ReaderElectionOptions): ReaderElection {
    return new ReaderElection(options);
  }

  /** Records that the store answered this entry about a kind of objects. */
  recordSuccess(kind: string): void {
    const nowMs = this.#options.now();
    this.#ownSuccessMs.set(kind, nowMs);
    this.#lastSuccessMs = nowMs;
    // An entry counts as a reader only as long as it reads every kind.
    const oldestMs = Math.min(...this.#ownSuccessMs.values());
    this.#successMs.set(this.#options.entry, oldestMs);
  }

  /** Records that the store failed to answer this entry about a kind. */
  recordFailure(kind: string): void {
    const { entry, now, onStoreUnreachable } = this.#options;
    const wasReachable = this.#ownSuccessMs.get(kind) !== NEVER_MS;
    this.#ownSuccessMs.set(kind, NEVER_MS);
    this.#failureMs.set(entry, now());
    if (wasReachable) onStoreUnreachable?.();
  }

  /** Time since the store last answered any entry, as far as known, in ms. */
  get lastSuccessAgeMs(): number {
    return this.#options.now() - this.#lastSuccessMs;
  }

  /** Merges another entry's liveness records of the readers. */
  merge(sender: EntryId, liveness: readonly ReaderLiveness[]): void {
    const nowMs = this.#options.now();
    this.#lastDigestMs.set(sender, nowMs);
    for (const { entry, ageMs, isLost } of liveness) {
      // This entry's own records are more recent.
      if (entry === this.#options.entry) continue;
      const times = isLost ? this.#failureMs : this.#successMs;
      const knownMs = times.get(entry) ?? NEVER_MS;
      times.set(entry, Math.max(knownMs, nowMs - ageMs));
      if (!isLost) {
        this.#lastSuccessMs = Math.max(this.#lastSuccessMs, nowMs - ageMs);
      }
    }
  }

  /** Drops an entry whose process has ended. */
  forgetPeer(entry: EntryId): void {
    this.#successMs.delete(entry);
    this.#failureMs.delete(entry);
    this.#lastDigestMs.delete(entry);
  }

  /** Returns the liveness records that digests carry. */
  liveness(): readonly ReaderLiveness[] {
    const succeeded = this.#sortByHash(this.#entriesReachingStore())
      .slice(0, READER_COUNT + SPARE_READERS)
      .map((entry) => this.#livenessOf(entry, this.#successMs));
    return [...succeeded, ...this.#failedToAnnounce()];
  }

  #failedToAnnounce(): readonly ReaderLiveness[] {
    const formerReaders = new Set(this.#recentEntries(this.#successMs));
    const failed = this.#sortByHash(this.#recentEntries(this.#failureMs));
    return [
      ...failed.filter((entry) => formerReaders.has(entry)),
      ...failed.filter((entry) => !formerReaders.has(entry)),
    ].slice(0, FAILED_MAX).map((entry) => ({
      ...this.#livenessOf(entry, this.#failureMs),
      isLost: true,
    }));
  }

  #sortByHash(entries: readonly EntryId[]): EntryId[] {
    return entries.toSorted((a, b) =>
      this.#hashOf(a) < this.#hashOf(b) ? -1 : 1
    );
  }

  #livenessOf(
    entry: EntryId,
    times: ReadonlyMap<EntryId, number>,
  ): ReaderLiveness {
    const nowMs = this.#options.now();
    return { entry, ageMs: Math.round(nowMs - (times.get(entry) ?? nowMs)) };
  }

  /** Whether this entry has to read the store itself. */
  get mustRead(): boolean {
    return this.#countRankedBefore(this.#entriesReachingStore()) < READER_COUNT;
  }

  /** Whether this entry is the first of those that reach the store. */
  get isFirstReader(): boolean {
    const entries = this.#entriesReachingStore();
    return entries.includes(this.#options.entry) &&
      this.#countRankedBefore(entries) === 0;
  }

  /** Whether any entry, this one included, has recently reached the store. */
  get isStoreReachable(): boolean {
    return this.#entriesReachingStore().length > 0;
  }

  /**
   * Whether this entry is one of the first to read when too few others reach
   * the store, and keeps probing a store that no entry reaches.
   */
  get isProber(): boolean {
    const linked = this.#recentEntries(this.#lastDigestMs);
    const probing = this.#recentEntries(this.#failureMs);
    return this.#countRankedBefore(linked) < READER_COUNT &&
      this.#countRankedBefore(probing) < PROBER_COUNT;
  }

  /**
   * Whether this entry leaves it to linked ones to read first. They pass on what
   * they read; only in a partial mesh are there many that would read at once.
   */
  get leavesReadingToOthers(): boolean {
    return this.#options.isPartialMesh?.() === true && !this.isProber;
  }

  #countRankedBefore(entries: readonly EntryId[]): number {
    const ownHash = this.#hashOf(this.#options.entry);
    return entries.filter((entry) => this.#hashOf(entry) < ownHash).length;
  }

  /** Entries that recently reached the store and have not failed to since. */
  #entriesReachingStore(): EntryId[] {
    return this.#recentEntries(this.#successMs).filter((entry) => {
      const failedMs = this.#failureMs.get(entry) ?? NEVER_MS;
      return (this.#successMs.get(entry) ?? 0) > failedMs + FAILURE_MARGIN_MS;
    });
  }

  #recentEntries(times: Map<EntryId, number>): EntryId[] {
    const { now, isPartialMesh } = this.#options;
    const maxMs = isPartialMesh?.()
      ? PARTIAL_MESH_MAX_AGE_MS
      : LIVENESS_MAX_AGE_MS;
    const sinceMs = now() - maxMs;
    for (const [entry, timeMs] of times) {
      if (timeMs < sinceMs) times.delete(entry);
    }
    return [...times.keys()];
  }

  #hashOf(entry: EntryId): string {
    const hash = this.#hashes.get(entry) ?? hashText(entry);
    this.#hashes.set(entry, hash);
    return hash;
  }
}
