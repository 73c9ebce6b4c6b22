/**
 * The steward process: background tasks that only the holder of a lease runs.
 * It writes the status summary and removes unused chunks and expired records.
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
import { requireHead } from "../version/parse_head.ts";
import { readManifest } from "../version/publisher.ts";
import type { Head } from "../version/types.ts";
import { LOG_EVENTS } from "./log_events.ts";
import { parseEntryStatus } from "./parse_entry_status.ts";
import { Lease } from "./lease.ts";
import type { Log } from "./log.ts";
import type { StewardSettings } from "./settings.ts";

/** Summary of all entries' status. */
export interface StatusSummary {
  /** Revision that the head object names. */
  readonly revision: number;
  /** Number of entries by the revision that they have adopted. */
  readonly entriesByRevision: Readonly<Record<string, number>>;
}

/** Age at which an entry's status is removed, in ms. */
const STATUS_RETENTION_MS = 86_400_000;
/** Lease renewals per round of tasks. */
const RENEWALS_PER_TASK_ROUND = 10;
/** Objects removed per round and prefix; leaves write capacity to others. */
const REMOVALS_PER_ROUND_MAX = 50;

/** Dependencies and settings of a steward. */
export interface StewardOptions {
  readonly settings: StewardSettings;
  readonly log: Log;
  /** The platform's store; closed with the steward. */
  readonly platform: KeyValueStore;
}

/** One steward process. */
export class Steward {
  #settings: StewardSettings;
  readonly #log: Log;
  readonly #platform: KeyValueStore;
  readonly #lease: Lease;
  #nextTasksMs = 0;
  #isClosed = false;

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

  /** Creates a steward; `run` starts it. */
  static create(options: StewardOptions): Steward {
    return new Steward(options);
  }

  /** Whether this steward holds the lease. */
  get isLeaseHolder(): boolean {
    return this.#lease.fencingToken !== undefined;
  }

  /** Takes over settings that may differ in all but `FIXED_STEWARD_SETTINGS`. */
  applySettings(settings: StewardSettings): void {
    this.#settings = settings;
  }

  /** Stops the tasks and closes the platform's store. */
  close(): void {
    this.#isClosed = true;
    this.#platform.close();
  }

  /** Renews the lease and runs the tasks while it is held, until closed. */
  async run(): Promise<void> {
    let wasHolder = false;
    while (!this.#isClosed) {
      try {
        await this.#lease.renew();
        if (this.isLeaseHolder && this.#areTasksDue()) await this.#runTasks();
      } catch (error) {
        if (!isPlatformError(error)) throw error;
        if (!this.#isClosed) {
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

  #areTasksDue(): boolean {
    const now = performance.now();
    if (now < this.#nextTasksMs) return false;
    this.#nextTasksMs = now +
      RENEWALS_PER_TASK_ROUND * this.#settings.intervalMs;
    return true;
  }

  async #runTasks(): Promise<void> {
    const stored = await this.#platform.read(HEAD_NAME);
    if (stored === undefined) return;
    const head = requireHead(stored.value);
    await this.#writeSummary(head);
    const nowMs = await this.#leaseTimeMs();
    await this.#removeUnusedChunks(head, nowMs);
    await this.#removeExpired({
      prefix: ACTION_PREFIX,
      olderThanMs: nowMs - this.#settings.actionRetentionMs,
    });
    await this.#removeExpired({
      prefix: ENTRY_STATUS_PREFIX,
      olderThanMs: nowMs - STATUS_RETENTION_MS,
    });
  }

  /** Time of the lease's last renewal, from which object ages are counted. */
  async #leaseTimeMs(): Promise<number> {
    const [lease] = await this.#platform.list(STEWARD_LEASE_NAME);
    if (lease === undefined) throw new PlatformUnavailable("no steward lease");
    return lease.updatedMs;
  }

  async #writeSummary({ revision }: Head): Promise<void> {
    const listed = await this.#platform.list(ENTRY_STATUS_PREFIX);
    const entriesByRevision: Record<string, number> = {};
    for (const { name } of listed) {
      const stored = await this.#platform.read(name);
      const status = stored && parseEntryStatus(stored.value);
      if (status === undefined) continue;
      const count = entriesByRevision[status.revision] ?? 0;
      entriesByRevision[status.revision] = count + 1;
    }
    const summary: StatusSummary = { revision, entriesByRevision };
    const text = JSON.stringify(summary);
    const stored = await this.#platform.read(SUMMARY_NAME);
    if (stored?.value === text) return;
    await this.#platform.write(SUMMARY_NAME, text);
  }

  /** Removes old chunks that no retained revision uses. */
  async #removeUnusedChunks(head: Head, nowMs: number): Promise<void> {
    const usedNames = new Set<string>();
    let hash = head.manifest;
    for (
      let index = 0;
      index <= this.#settings.retainedRevisions;
      index++
    ) {
      const manifest = await readManifest(this.#platform, hash);
      usedNames.add(chunkName(hash));
      for (const chunk of manifest.chunks) usedNames.add(chunkName(chunk));
      if (manifest.parent === "") break;
      const parent = await this.#platform.read(chunkName(manifest.parent));
      if (parent === undefined) break;
      hash = manifest.parent;
    }
    await this.#removeExpired({
      prefix: CHUNK_PREFIX,
      olderThanMs: nowMs - this.#settings.chunkRetentionMs,
      usedNames,
    });
  }

  /** Removes old, unused objects, each only if unchanged since the list. */
  async #removeExpired(rule: {
    readonly prefix: string;
    readonly olderThanMs: number;
    readonly usedNames?: ReadonlySet<string>;
  }): Promise<void> {
    const listed = await this.#platform.list(rule.prefix);
    const expired = listed.filter(({ name, updatedMs }: ValueMetadata) =>
      updatedMs < rule.olderThanMs && rule.usedNames?.has(name) !== true
    );
    for (const { name, version } of expired.slice(0, REMOVALS_PER_ROUND_MAX)) {
      if (!this.isLeaseHolder) return;
      await this.#platform.remove(name, version);
    }
    if (expired.length === 0) return;
    const removed = Math.min(expired.length, REMOVALS_PER_ROUND_MAX);
    this.#log(LOG_EVENTS.recordsExpired, { prefix: rule.prefix, removed });
  }
}

function isPlatformError(error: unknown): boolean {
  return error instanceof PlatformUnavailable ||
    error instanceof VersionConflict;
}
