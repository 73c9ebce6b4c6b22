/**
 * The list of backend servers as this entry knows it, from the store or from
 * other entries: the higher revision of a server wins, whoever told it.
 */

import { crc32 } from "node:zlib";
import type {
  ServerChangeRecord,
  ServerChanges,
} from "../connection/peer_protocol.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";

/** What the list needs of its process. */
export interface ServerListOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

/** How long gone servers are remembered, so that older news is told apart, in ms. */
const GONE_KEPT_MS = 60_000;
/**
 * How long changes are kept for other entries, in ms: longer than lists may
 * differ before they are read anew.
 */
const CHANGES_KEPT_MS = 10_000;
/** Changes in one answer; more come with the next one, so that none is too large. */
const CHANGES_MAX = 2_000;
/** Time in which two entries' lists may differ: news is on its way, in ms. */
const DIFFERENCE_MS = 1_500;
/** Time after a reading in which another entry's different list means nothing, in ms. */
const CONFIRMED_MS = 5_000;

interface Change {
  /** This list's count of changes at that one. */
  readonly count: number;
  readonly atMs: number;
}

/** What another entry says of its list. */
export interface PeerListState {
  readonly checksum: number;
  /** Its count of changes. */
  readonly changeCount: number;
}

/** What is known of each server that is or was listed. */
export class ServerList {
  readonly #now: () => number;
  readonly #held = new Map<string, ServerChangeRecord>();
  /** The latest change of each server, the oldest first. */
  readonly #changes = new Map<string, Change>();
  #count = 0;
  /** Changes of other entries that this list holds, by their own count. */
  readonly #synced = new Map<EntryId, number>();
  /** When servers were removed, the oldest first, in ms. */
  readonly #goneMs = new Map<string, number>();
  /** Since when another entry's list differs from this one, in ms. */
  readonly #differsMs = new Map<EntryId, number>();
  #confirmedMs = Number.NEGATIVE_INFINITY;
  #checksum = 0;

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts with an empty list. */
  static create({ now }: ServerListOptions): ServerList {
    return new ServerList(now);
  }

  /** The same for entries that hold the same list. */
  get checksum(): number {
    return this.#checksum;
  }

  /** Takes over a change unless a newer one is known; returns whether it did. */
  apply(news: ServerChangeRecord): boolean {
    const held = this.#held.get(news.name);
    if (held !== undefined && !isNewer(news, held)) return false;
    const { name, revision, server } = news;
    this.#held.set(name, { name, revision, server });
    this.#add(-partOf(held));
    this.#add(partOf(news));
    this.#goneMs.delete(name);
    if (server === null) this.#goneMs.set(name, this.#now());
    // Each entry reads a first list of its own.
    if (this.isLoaded) this.#noteChange(name);
    this.#forgetGone();
    return true;
  }

  /** Returns what is known of a server. */
  find(name: string): ServerChangeRecord | undefined {
    return this.#held.get(name);
  }

  /** Returns the held servers that a whole list at a revision does not name. */
  missing(
    listed: ReadonlySet<string>,
    revision: ObjectRevision,
  ): readonly ServerChangeRecord[] {
    return [...this.#held.values()].filter((held) =>
      held.server !== null && held.revision <= revision &&
      !listed.has(held.name)
    );
  }

  /** Count of changes so far. */
  get changeCount(): number {
    return this.#count;
  }

  /** Returns recent changes after the first `after`, the oldest first. */
  changesAfter(after: number): ServerChanges {
    const news: ServerChangeRecord[] = [];
    for (const [name, { count }] of this.#changes) {
      const held = this.#held.get(name);
      if (count <= after || held === undefined) continue;
      news.push(held);
      if (news.length === CHANGES_MAX) return { upTo: count, news };
    }
    return { upTo: Math.max(after, this.#count), news };
  }

  #noteChange(name: string): void {
    const atMs = this.#now();
    this.#changes.delete(name);
    this.#changes.set(name, { count: ++this.#count, atMs });
    for (const [old, change] of this.#changes) {
      if (change.atMs >= atMs - CHANGES_KEPT_MS) return;
      this.#changes.delete(old);
    }
  }

  /** Whether the whole list was ever read from the store. */
  get isLoaded(): boolean {
    return this.#confirmedMs > Number.NEGATIVE_INFINITY;
  }

  /** Notes that the whole list was read from the store. */
  markLoaded(): void {
    this.#confirmedMs = this.#now();
    this.#differsMs.clear();
  }

  /**
   * Compares another entry's list with this one. Returns up to which of its
   * changes this list has them, if it has others that may be new here.
   */
  compare(
    entry: EntryId,
    { checksum, changeCount: changes }: PeerListState,
  ): number | undefined {
    if (checksum === this.#checksum) {
      this.#differsMs.delete(entry);
      this.#synced.set(entry, changes);
      return undefined;
    }
    if (!this.#differsMs.has(entry)) this.#differsMs.set(entry, this.#now());
    const synced = this.#synced.get(entry) ?? 0;
    return changes > synced ? synced : undefined;
  }

  /** Notes that the changes of another entry were taken over. */
  recordSynced(entry: EntryId, upTo: number): void {
    this.#synced.set(entry, upTo);
  }

  /** Forgets an entry whose process may have ended: its next one counts anew. */
  forgetPeer(entry: EntryId): void {
    this.#synced.delete(entry);
    this.#differsMs.delete(entry);
  }

  /** Whether the list may lack changes and has to be read anew. */
  get needsRelist(): boolean {
    const nowMs = this.#now();
    if (nowMs - this.#confirmedMs < CONFIRMED_MS) return false;
    const sinceMs = Math.min(...this.#differsMs.values());
    return nowMs - sinceMs > DIFFERENCE_MS;
  }

  #forgetGone(): void {
    const sinceMs = this.#now() - GONE_KEPT_MS;
    for (const [name, goneMs] of this.#goneMs) {
      if (goneMs >= sinceMs) return;
      this.#goneMs.delete(name);
      this.#held.delete(name);
    }
  }

  #add(part: number): void {
    this.#checksum = (this.#checksum + part) >>> 0;
  }
}

function isNewer(news: ServerChangeRecord, held: ServerChangeRecord): boolean {
  if (news.revision !== held.revision) return news.revision > held.revision;
  // A removal bears the revision of what it removes.
  return news.server === null && held.server !== null;
}

function partOf(held: ServerChangeRecord | undefined): number {
  if (held === undefined || held.server === null) return 0;
  return crc32(`${held.name} ${held.revision}`);
}
