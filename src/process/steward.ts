/**
 * The steward: duties that one process of all does at a time, chosen by lease:
 * the summary of status, and the removal of old revisions and records.
 */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type {
  KeyValueStore,
  ValueMetadata,
} from "../connection/key_value_store.ts";
import { messageOf, PlatformUnavailable, VersionConflict } from "../errors.ts";
import {
  ACTION_PREFIX,
  CHUNK_PREFIX,
  chunkName,
  ENTRY_STATUS_PREFIX,
  HEAD_NAME,
  STEWARD_LEASE_NAME,
  SUMMARY_NAME,
} from "../version/object_names.ts";
import { readManifest } from "../version/publisher.ts";
import type { Head } from "../version/types.ts";
import type { EntryStatus } from "./entry_status.ts";
import { LOG_EVENTS } from "./log_events.ts";
import { Lease } from "./lease.ts";
import type { Log } from "./log.ts";
import type { StewardSettings } from "./settings.ts";

/** Summary of all entries' status. */
export interface StatusSummary {
  /** Revision in force. */
  readonly revision: number;
  /** Entries by the revision that they have adopted. */
  readonly entriesByRevision: Readonly<Record<string, number>>;
}

/** An entry's status is removed after it was silent for so long, in ms. */
const STATUS_KEEP_MS = 86_400_000;
/** Renewals of the lease for each round of duties. */
const DUTIES_EVERY = 10;
/** Records removed in one round, to leave writes to others. */
const REMOVALS_MAX = 50;

/** What a steward is made of. */
export interface StewardOptions {
  readonly settings: StewardSettings;
  readonly log: Log;
  /** The platform's store; closed with the steward. */
  readonly platform: KeyValueStore;
}

/** One steward process. */
export class Steward {
  readonly #settings: StewardSettings;
  readonly #log: Log;
  readonly #platform: KeyValueStore;
  readonly #lease: Lease;
  #summary = "";
  #nextDutiesMs = 0;
  #closed = false;

  private constructor({ settings, log, platform }: StewardOptions) {
    this.#settings = settings;
    this.#log = log;
    this.#platform = platform;
    this.#lease = Lease.create({
      platform: this.#platform,
      name: STEWARD_LEASE_NAME,
      holder: settings.id,
      leaseMs: settings.leaseMs,
      now: () => performance.now(),
    });
  }

  /** Makes a steward; `run` starts it. */
  static create(options: StewardOptions): Steward {
    return new Steward(options);
  }

  /** Whether this steward holds the lease. */
  get isLeaseHolder(): boolean {
    return this.#lease.fencingToken !== undefined;
  }

  /** Ends the duties. */
  close(): void {
    this.#closed = true;
    this.#platform.close();
  }

  /** Does the duties whenever the lease is held, until closed. */
  async run(): Promise<void> {
    let wasHolder = false;
    while (!this.#closed) {
      try {
        await this.#lease.renew();
        if (this.isLeaseHolder && this.#isDue()) await this.#doDuties();
      } catch (error) {
        if (!isExpected(error)) throw error;
        if (!this.#closed) {
          this.#log(LOG_EVENTS.stewardTaskFailed, { reason: messageOf(error) });
        }
      }
      if (this.isLeaseHolder !== wasHolder) {
        wasHolder = this.isLeaseHolder;
        this.#log(wasHolder ? LOG_EVENTS.leaseAcquired : LOG_EVENTS.leaseLost);
      }
      const { intervalMs, leaseMs } = this.#settings;
      await sleep(this.isLeaseHolder ? intervalMs : leaseMs);
    }
  }

  #isDue(): boolean {
    const now = performance.now();
    if (now < this.#nextDutiesMs) return false;
    this.#nextDutiesMs = now + DUTIES_EVERY * this.#settings.intervalMs;
    return true;
  }

  async #doDuties(): Promise<void> {
    const stored = await this.#platform.read(HEAD_NAME);
    if (stored === undefined) return;
    const head = JSON.parse(stored.value) as Head;
    await this.#summarise(head);
    const nowMs = await this.#platformNow();
    await this.#expireChunks(head, nowMs);
    await this.#expire({
      prefix: ACTION_PREFIX,
      olderThanMs: nowMs - this.#settings.actionRetentionMs,
    });
    await this.#expire({
      prefix: ENTRY_STATUS_PREFIX,
      olderThanMs: nowMs - STATUS_KEEP_MS,
    });
  }

  /** The platform's clock, as shown by the lease that was just renewed. */
  async #platformNow(): Promise<number> {
    const [lease] = await this.#platform.list(STEWARD_LEASE_NAME);
    if (lease === undefined) throw new PlatformUnavailable("lease is missing");
    return lease.updatedMs;
  }

  async #summarise({ revision }: Head): Promise<void> {
    const listed = await this.#platform.list(ENTRY_STATUS_PREFIX);
    const entriesByRevision: Record<string, number> = {};
    for (const { name } of listed) {
      const stored = await this.#platform.read(name);
      if (stored === undefined) continue;
      const status = JSON.parse(stored.value) as EntryStatus;
      const count = entriesByRevision[status.revision] ?? 0;
      entriesByRevision[status.revision] = count + 1;
    }
    const summary: StatusSummary = { revision, entriesByRevision };
    const text = JSON.stringify(summary);
    if (text === this.#summary) return;
    await this.#platform.write(SUMMARY_NAME, text);
    this.#summary = text;
  }

  /** Removes chunks that no kept revision uses. */
  async #expireChunks(head: Head, nowMs: number): Promise<void> {
    const used = new Set<string>();
    let hash = head.manifest;
    for (let kept = 0; kept <= this.#settings.retainedRevisions; kept++) {
      const manifest = await readManifest(this.#platform, hash);
      used.add(chunkName(hash));
      for (const chunk of manifest.chunks) used.add(chunkName(chunk));
      if (manifest.parent === "") break;
      const parent = await this.#platform.read(chunkName(manifest.parent));
      if (parent === undefined) break;
      hash = manifest.parent;
    }
    await this.#expire({
      prefix: CHUNK_PREFIX,
      olderThanMs: nowMs - this.#settings.chunkRetentionMs,
      used,
    });
  }

  /** Removes old objects; each only at the version that was judged. */
  async #expire(rule: {
    readonly prefix: string;
    readonly olderThanMs: number;
    readonly used?: ReadonlySet<string>;
  }): Promise<void> {
    const listed = await this.#platform.list(rule.prefix);
    const old = listed.filter(({ name, updatedMs }: ValueMetadata) =>
      updatedMs < rule.olderThanMs && rule.used?.has(name) !== true
    );
    for (const { name, version } of old.slice(0, REMOVALS_MAX)) {
      if (!this.isLeaseHolder) return;
      await this.#platform.remove(name, version);
    }
    if (old.length === 0) return;
    const removed = Math.min(old.length, REMOVALS_MAX);
    this.#log(LOG_EVENTS.recordsExpired, { prefix: rule.prefix, removed });
  }
}

function isExpected(error: unknown): boolean {
  return error instanceof PlatformUnavailable ||
    error instanceof VersionConflict;
}
