/**
 * The list of backend servers as this entry knows it, from the store or from
 * peer entries. For each server the highest revision wins, regardless of its source.
 */

import { crc32 } from "node:zlib";
import type {
  ServerChangeRecord,
  ServerChanges,
} from "../gossip/peer_protocol.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";

/** Dependencies of the list. */
export interface ServerListOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

/**
 * How long removed servers are remembered, in ms, so that older changes of them
 * are recognized.
 */
const REMOVED_RETENTION_MS = 60_000;
/**
 * How long changes are kept for peer entries, in ms: longer than lists may
 * differ before they are reloaded.
 */
const CHANGES_RETENTION_MS = 10_000;
/**
 * Changes per batch; the rest follows in the next one, so that no response is
 * too large.
 */
const CHANGE_BATCH_MAX = 2_000;
/**
 * How long a peer's list may differ before this one is reloaded, in ms: changes
 * take time to arrive.
 */
const DIVERGENCE_GRACE_MS = 1_500;
/** How long after loading the list it may differ from peers' lists, in ms. */
const LOAD_GRACE_MS = 5_000;

interface Change {
  /** Position in this list's sequence of changes. */
  readonly sequence: number;
  readonly atMs: number;
}

/** State of a peer entry's list, as the peer reports it. */
export interface PeerListState {
  readonly checksum: number;
  /** Number of changes so far. */
  readonly changeCount: number;
}

/** The latest record of each server that is or was listed. */
export class ServerList {
  readonly #now: () => number;
  readonly #records = new Map<string, ServerChangeRecord>();
  /** The latest change of each server, the oldest first. */
  readonly #changes = new Map<string, Change>();
  #changeCount = 0;
  /** For each peer entry, how many of its changes this list includes. */
  readonly #syncedCounts = new Map<EntryId, number>();
  /** When servers were removed, in ms, the earliest first. */
  readonly #removedMs = new Map<string, number>();
  /** Since when a peer entry's list differs from this one, in ms. */
  readonly #divergedMs = new Map<EntryId, number>();
  #loadedMs = Number.NEGATIVE_INFINITY;
  #checksum = 0;

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Creates an empty list. */
  static create({ now }: ServerListOptions): ServerList {
    return new ServerList(now);
  }

  /** Equal for entries with equal lists. */
  get checksum(): number {
    return this.#checksum;
  }

  /**
   * Applies a change unless an equal or newer one is known; returns whether it
   * did.
   */
  apply(change: ServerChangeRecord): boolean {
    const record = this.#records.get(change.name);
    if (record !== undefined && !isNewer(change, record)) return false;
    const { name, revision, server } = change;
    this.#records.set(name, { name, revision, server });
    this.#addToChecksum(-checksumPartOf(record));
    this.#addToChecksum(checksumPartOf(change));
    this.#removedMs.delete(name);
    if (server === null) this.#removedMs.set(name, this.#now());
    // The initial load is not recorded: each entry loads the list itself.
    if (this.isLoaded) this.#recordChange(name);
    this.#dropExpiredRemovals();
    return true;
  }

  /** Returns the latest record of a server. */
  find(name: string): ServerChangeRecord | undefined {
    return this.#records.get(name);
  }

  /** Returns the listed servers that a complete list at a revision lacks. */
  missing(
    listed: ReadonlySet<string>,
    revision: ObjectRevision,
  ): readonly ServerChangeRecord[] {
    return [...this.#records.values()].filter((record) =>
      record.server !== null && record.revision <= revision &&
      !listed.has(record.name)
    );
  }

  /** Number of changes so far. */
  get changeCount(): number {
    return this.#changeCount;
  }

  /** Returns the kept changes after the first `after`, the oldest first. */
  changesAfter(after: number): ServerChanges {
    const news: ServerChangeRecord[] = [];
    for (const [name, { sequence }] of this.#changes) {
      const record = this.#records.get(name);
      if (sequence <= after || record === undefined) continue;
      news.push(record);
      if (news.length === CHANGE_BATCH_MAX) return { upTo: sequence, news };
    }
    return { upTo: Math.max(after, this.#changeCount), news };
  }

  #recordChange(name: string): void {
    const atMs = this.#now();
    this.#changes.delete(name);
    this.#changes.set(name, { sequence: ++this.#changeCount, atMs });
    for (const [oldName, change] of this.#changes) {
      if (change.atMs >= atMs - CHANGES_RETENTION_MS) return;
      this.#changes.delete(oldName);
    }
  }

  /** Whether the complete list was ever loaded from the store. */
  get isLoaded(): boolean {
    return this.#loadedMs > Number.NEGATIVE_INFINITY;
  }

  /** Records that the complete list was loaded from the store. */
  markLoaded(): void {
    this.#loadedMs = this.#now();
    this.#divergedMs.clear();
  }

  /**
   * Compares a peer entry's list with this one. If the peer has changes that
   * may be missing here, returns how many of its changes are already included.
   */
  compare(
    entry: EntryId,
    { checksum, changeCount }: PeerListState,
  ): number | undefined {
    if (checksum === this.#checksum) {
      this.#divergedMs.delete(entry);
      this.#syncedCounts.set(entry, changeCount);
      return undefined;
    }
    if (!this.#divergedMs.has(entry)) this.#divergedMs.set(entry, this.#now());
    const synced = this.#syncedCounts.get(entry) ?? 0;
    return changeCount > synced ? synced : undefined;
  }

  /** Records how many of a peer entry's changes this list includes. */
  recordSynced(entry: EntryId, upTo: number): void {
    this.#syncedCounts.set(entry, upTo);
  }

  /**
   * Forgets a peer entry that may have ended: its next process counts from 0.
   */
  forgetPeer(entry: EntryId): void {
    this.#syncedCounts.delete(entry);
    this.#divergedMs.delete(entry);
  }

  /** Whether changes may be missing, so that the list has to be reloaded. */
  get needsRelist(): boolean {
    const nowMs = this.#now();
    if (nowMs - this.#loadedMs < LOAD_GRACE_MS) return false;
    const sinceMs = Math.min(...this.#divergedMs.values());
    return nowMs - sinceMs > DIVERGENCE_GRACE_MS;
  }

  #dropExpiredRemovals(): void {
    const sinceMs = this.#now() - REMOVED_RETENTION_MS;
    for (const [name, removedMs] of this.#removedMs) {
      if (removedMs >= sinceMs) return;
      this.#removedMs.delete(name);
      this.#records.delete(name);
    }
  }

  #addToChecksum(part: number): void {
    this.#checksum = (this.#checksum + part) >>> 0;
  }
}

function isNewer(
  change: ServerChangeRecord,
  old: ServerChangeRecord,
): boolean {
  if (change.revision !== old.revision) return change.revision > old.revision;
  // A removal carries the revision of the record that it removes.
  return change.server === null && old.server !== null;
}

function checksumPartOf(record: ServerChangeRecord | undefined): number {
  if (record === undefined || record.server === null) return 0;
  return crc32(`${record.name} ${record.revision}`);
}
