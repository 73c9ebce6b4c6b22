/**
 * Decides which entries ask the shared store for changes. A few read it for
 * all; the others hear from them in digests, and read for themselves as soon
 * as too few readers are known to reach the store.
 *
 * Answers the load of many entries on a store whose calls are limited and paid:
 * calls grow with the readers, not with the entries.
 */

import { hashText } from "../hashing.ts";
import type { EntryId } from "../ids.ts";

/** How long ago an entry last had an answer of the store, or found that it has none. */
export interface ReaderLiveness {
  readonly entry: EntryId;
  readonly ageMs: number;
  readonly isLost?: boolean;
}

/** What the choice of readers needs of its process. */
export interface ReaderElectionOptions {
  readonly entry: EntryId;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Whether links reach only a part of the entries; all of them if absent. */
  readonly isPartialMesh?: () => boolean;
  /** Called when this entry lost the store, which others should hear at once. */
  readonly onStoreUnreachable?: () => void;
}

/** Entries that read for all; one may be lost without a gap. */
const READERS = 2;
/**
 * Age of a sign at which a reader no longer counts, in ms: one wait of a watch
 * (600), a slow answer of the store (300) and two digests (150 each). A server
 * that leaves must be known everywhere 2,000 ms after the store knew it.
 */
const SIGN_MAX_MS = 1_200;
/** The same where signs take three digests of 300 ms each. */
const CROWDED_SIGN_MAX_MS = 1_800;
/** A sign counts after a loss only if it is so much younger, in ms: links take time. */
const LOSS_SLACK_MS = 100;
/** Time of an answer that there was not. */
const NEVER_MS = Number.NEGATIVE_INFINITY;
/** Signs passed on beyond the readers needed, so that a lost one is replaced. */
const SPARE_SIGNS = 2;

/** When each reader known here last reached the store. */
export class ReaderElection {
  readonly #options: ReaderElectionOptions;
  /** Hash of each entry's name; hashing it at each question costs too much. */
  readonly #ranks = new Map<EntryId, string>();
  /** When the store last answered an entry, on this entry's clock in ms. */
  readonly #contactMs = new Map<EntryId, number>();
  /** When an entry last found that the store does not answer it, in ms. */
  readonly #lostMs = new Map<EntryId, number>();
  /** The same of this entry alone, by kind of objects. */
  readonly #ownContactMs = new Map<string, number>();
  /** When the store last answered any entry, in ms. */
  #reachedMs: number;
  /** When other entries last sent anything, in ms. */
  readonly #heardMs = new Map<EntryId, number>();

  private constructor(options: ReaderElectionOptions) {
    this.#options = options;
    this.#reachedMs = options.now();
  }

  /** Starts without signs, so that the entry reads for itself. */
  static create(options: ReaderElectionOptions): ReaderElection {
    return new ReaderElection(options);
  }

  /** Notes that the store answered this entry about a kind. */
  recordSuccess(kind: string): void {
    const nowMs = this.#options.now();
    this.#ownContactMs.set(kind, nowMs);
    this.#reachedMs = nowMs;
    // An entry reads for others only what it reads of every kind.
    const oldestMs = Math.min(...this.#ownContactMs.values());
    this.#contactMs.set(this.#options.entry, oldestMs);
  }

  /** Notes that the store did not answer this entry about a kind. */
  recordFailure(kind: string): void {
    const { entry, now, onStoreUnreachable: onLoss } = this.#options;
    const wasReached = this.#ownContactMs.get(kind) !== NEVER_MS;
    this.#ownContactMs.set(kind, NEVER_MS);
    this.#contactMs.delete(entry);
    this.#lostMs.set(entry, now());
    if (wasReached) onLoss?.();
  }

  /** Time since the store last answered any entry, as far as is known, in ms. */
  get lastSuccessAgeMs(): number {
    return this.#options.now() - this.#reachedMs;
  }

  /** Takes over what another entry knows of the readers. */
  merge(sender: EntryId, signs: readonly ReaderLiveness[]): void {
    const nowMs = this.#options.now();
    this.#heardMs.set(sender, nowMs);
    for (const { entry, ageMs, isLost } of signs) {
      // An entry's own contact is known best by itself.
      if (entry === this.#options.entry) continue;
      const times = isLost ? this.#lostMs : this.#contactMs;
      const heldMs = times.get(entry) ?? NEVER_MS;
      times.set(entry, Math.max(heldMs, nowMs - ageMs));
      if (!isLost) this.#reachedMs = Math.max(this.#reachedMs, nowMs - ageMs);
    }
  }

  /** Drops a reader whose process has ended. */
  forget(entry: EntryId): void {
    this.#contactMs.delete(entry);
    this.#lostMs.delete(entry);
    this.#heardMs.delete(entry);
  }

  /** Returns the signs that other entries are told. */
  liveness(): readonly ReaderLiveness[] {
    const lost = this.#fresh(this.#lostMs)
      .map((entry) => ({ ...this.#sign(entry, this.#lostMs), isLost: true }));
    const contacts = this.#reached()
      .sort((a, b) => this.#rankOf(a) < this.#rankOf(b) ? -1 : 1)
      .slice(0, READERS + SPARE_SIGNS)
      .map((entry) => this.#sign(entry, this.#contactMs));
    return [...contacts, ...lost];
  }

  #sign(entry: EntryId, times: ReadonlyMap<EntryId, number>): ReaderLiveness {
    const nowMs = this.#options.now();
    return { entry, ageMs: Math.round(nowMs - (times.get(entry) ?? nowMs)) };
  }

  /** Whether this entry has to read the store itself. */
  get mustRead(): boolean {
    return this.#countBefore(this.#reached()) < READERS;
  }

  /** Whether any entry, this one included, reached the store lately. */
  get isStoreReachable(): boolean {
    return this.#reached().length > 0;
  }

  /**
   * Whether this entry is among those that keep trying a store which nobody
   * reaches; the others try more seldom.
   */
  get isProber(): boolean {
    return this.#countBefore(this.#fresh(this.#heardMs)) < READERS;
  }

  #countBefore(entries: readonly EntryId[]): number {
    const own = this.#rankOf(this.#options.entry);
    return entries.filter((entry) => this.#rankOf(entry) < own).length;
  }

  /** Entries that reached the store lately and have not lost it since. */
  #reached(): EntryId[] {
    return this.#fresh(this.#contactMs).filter((entry) => {
      const lostMs = this.#lostMs.get(entry) ?? NEVER_MS;
      return (this.#contactMs.get(entry) ?? 0) > lostMs + LOSS_SLACK_MS;
    });
  }

  #fresh(times: Map<EntryId, number>): EntryId[] {
    const { now, isPartialMesh: isCrowded } = this.#options;
    const maxMs = isCrowded?.() ? CROWDED_SIGN_MAX_MS : SIGN_MAX_MS;
    const sinceMs = now() - maxMs;
    for (const [entry, timeMs] of times) {
      if (timeMs < sinceMs) times.delete(entry);
    }
    return [...times.keys()];
  }

  #rankOf(entry: EntryId): string {
    const rank = this.#ranks.get(entry) ?? hashText(entry);
    this.#ranks.set(entry, rank);
    return rank;
  }
}
