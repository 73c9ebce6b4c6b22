/**
 * Follows one kind of objects in the shared store: lists it, then watches it
 * for changes, and lists it again on request or when the store has dropped the
 * change history.
 */

import { performance } from "node:perf_hooks";
import { setTimeout as sleepFor } from "node:timers/promises";
import type {
  ObjectChange,
  ObjectList,
  ObjectStore,
} from "../connection/object_store.ts";
import {
  messageOf,
  PlatformHistoryGone,
  PlatformResponseUnreadable,
} from "../errors.ts";
import { eraOf } from "../connection/store_era.ts";
import type { ObjectRevision } from "../ids.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";
import type {
  ReaderElection,
  ReaderLiveness,
} from "../gossip/reader_election.ts";
import { chooseStoreCall, StoreCall } from "./store_call.ts";

/** Dependencies and settings of a watch. */
export interface ObjectWatchOptions {
  readonly objects: ObjectStore;
  readonly kind: string;
  readonly log: Log;
  /** Returns a random number in [0, 1); used as jitter between entries. */
  readonly random: () => number;
  /** Monotonic clock, in ms; the process's own if absent. */
  readonly now?: () => number;
  /** Waits for a time in ms, on the same clock; rejects if aborted. */
  readonly sleep?: (ms: number, signal?: AbortSignal) => Promise<unknown>;
  /** Longest time that the store blocks a watch call, in ms. */
  readonly waitMs: number;
  /** Delay after changes, so that the next call returns a batch, in ms. */
  readonly batchDelayMs: number;
  /** Whether versions in between count for nothing; `false` by default. */
  readonly followsNewestOnly?: boolean;
  /**
   * Shortest outage of the store in which registrations may expire, in ms; what
   * is missing after a shorter one was removed on purpose.
   */
  readonly outageThresholdMs: number;
  /** Which entries read for all; if absent, each reads for itself. */
  readonly readerElection?: ReaderElection;
  /** Number of entries, which share the probes of a store that is away; or 1. */
  readonly entryCount?: () => number;
  /** Called with all objects after each list. */
  readonly onList: (list: ObjectList, isAfterOutage: boolean) => void;
  readonly onChanges: (
    changes: readonly ObjectChange[],
    isAfterOutage: boolean,
  ) => void;
}

/** Delay after the first failed call, in ms; doubles with each further one. */
const RETRY_DELAY_MIN_MS = 100;
/** Limit of that delay, in ms, before `NON_PROBER_DELAY_FACTOR` applies. */
const RETRY_DELAY_MAX_MS = 800;
/** Factor on retry delays of entries that leave probing the store to others. */
const NON_PROBER_DELAY_FACTOR = 4;
/** Lower limit of these delays for each entry, in ms. */
const NON_PROBER_DELAY_PER_ENTRY_MS = 50;
/** Head start of the probers, in ms: a digest shows whether they succeeded. */
const PROBER_HEAD_START_MS = 450;
/** Interval at which an idle entry checks whether it has to read, in ms. */
const IDLE_CHECK_INTERVAL_MS = 100;
/** Wait after the first list, in ms, so that digests can name the readers. */
const STARTUP_WAIT_MS = 700;
/**
 * Longest random delay before an idle entry starts to read, in ms. Once the
 * first ones read, the others need not.
 */
const TAKEOVER_JITTER_MAX_MS = 150;

/** Follows one kind of objects until it is closed. */
export class ObjectWatch {
  readonly #options: ObjectWatchOptions;
  readonly #now: () => number;
  readonly #sleep: (ms: number, signal?: AbortSignal) => Promise<unknown>;
  #outageThresholdMs: number;
  #isClosed = false;
  /** Revision from which the next watch continues; set by the first list. */
  #revision: ObjectRevision | undefined;
  /** Consecutive failed calls. */
  #failures = 0;
  #isUnreachable = false;
  /** Whether to list even while other entries read for this one. */
  #mustRelist = true;
  /** Whether versions may have accumulated since the last read. */
  #mayHaveMissedVersions = false;
  /**
   * Revision since which watches returned no change although the store's
   * revision increased: by a change of another kind, or by one passed over.
   */
  #uncheckedRevision: ObjectRevision | undefined;
  /** When the last list was made, on the monotonic clock in ms. */
  #listedMs = Number.NEGATIVE_INFINITY;
  #isReading = true;
  /**
   * Whether no entry reached the store for `outageThresholdMs`, and this one
   * has not reached it since.
   */
  #hadReaderOutage = false;
  /** Ends the wait after a failed call. */
  #retryNow = new AbortController();

  private constructor(options: ObjectWatchOptions) {
    this.#options = options;
    const { now = () => performance.now() } = options;
    this.#now = now;
    this.#sleep = options.sleep ??
      ((ms, signal) => sleepFor(ms, undefined, { signal }));
    this.#outageThresholdMs = options.outageThresholdMs;
  }

  /** Creates a watch; `run` starts it. */
  static create(options: ObjectWatchOptions): ObjectWatch {
    return new ObjectWatch(options);
  }

  /**
   * Requests a new list, which is made even while other entries read for this
   * one. Returns `false` if a list was already pending.
   */
  requestRelist(): boolean {
    const isNew = !this.#mustRelist;
    this.#mustRelist = true;
    return isNew;
  }

  /** Changes `outageThresholdMs`. */
  setOutageThreshold(thresholdMs: number): void {
    this.#outageThresholdMs = thresholdMs;
  }

  /** Ends the wait after a failed call, since the next one may succeed. */
  retryNow(): void {
    this.#failures = 0;
    this.#retryNow.abort();
  }

  /** Stops after the current call. */
  close(): void {
    this.#isClosed = true;
  }

  /** Lists and watches until closed; never rejects. */
  async run(): Promise<void> {
    while (!this.#isClosed) {
      const isReader = this.#options.readerElection?.mustRead !== false;
      this.#setReading(isReader);
      const call = this.#nextCall(isReader);
      if (call === StoreCall.None) await this.#idle();
      else await this.#read(call);
    }
  }

  #nextCall(isReader: boolean): StoreCall {
    return chooseStoreCall({
      isReader,
      mustRelist: this.#mustRelist,
      hasRevision: this.#revision !== undefined,
      followsNewestOnly: this.#options.followsNewestOnly ?? false,
      mayHaveMissedVersions: this.#mayHaveMissedVersions,
      mayHavePassedOver: this.#uncheckedRevision !== undefined,
      listAgeMs: this.#now() - this.#listedMs,
    });
  }

  get #hasToRead(): boolean {
    return this.#mustRelist ||
      this.#options.readerElection?.mustRead !== false;
  }

  /** Makes one list or watch call. */
  async #read(call: StoreCall): Promise<void> {
    const { readerElection } = this.#options;
    if (
      (readerElection?.lastSuccessAgeMs ?? 0) > this.#outageThresholdMs
    ) {
      this.#hadReaderOutage = true;
    }
    const isFirst = this.#revision === undefined;
    try {
      this.#revision = call === StoreCall.List || this.#revision === undefined
        ? await this.#list()
        : await this.#watch(this.#revision);
      this.#failures = 0;
      this.#setUnreachable(false, "");
      if (isFirst && readerElection !== undefined) {
        await this.#sleep(STARTUP_WAIT_MS);
      }
    } catch (error) {
      if (this.#isClosed) return;
      if (error instanceof PlatformHistoryGone) {
        this.#mustRelist = true;
        return;
      }
      // Unlike a list, the changes since a revision never become readable.
      if (error instanceof PlatformResponseUnreadable) this.#mustRelist = true;
      this.#mayHaveMissedVersions = true;
      // Keep the revision: the next watch returns the changes since then, or
      // reports that their history was dropped.
      this.#setUnreachable(true, messageOf(error));
      await this.#waitToRetry(this.#retryDelayMs(this.#failures++));
    }
  }

  /** Waits, but no longer than this entry has to call the store itself. */
  async #waitToRetry(delayMs: number): Promise<void> {
    this.#retryNow = new AbortController();
    const { signal } = this.#retryNow;
    const endMs = this.#now() + delayMs;
    for (
      let leftMs = delayMs;
      leftMs > 0 && this.#hasToRead && !signal.aborted;
      leftMs = endMs - this.#now()
    ) {
      const stepMs = Math.ceil(Math.min(leftMs, IDLE_CHECK_INTERVAL_MS));
      await this.#sleep(stepMs, signal).catch(() => undefined);
    }
  }

  #setReading(isReading: boolean): void {
    const { log, kind, readerElection } = this.#options;
    if (isReading === this.#isReading || readerElection === undefined) return;
    this.#isReading = isReading;
    this.#mayHaveMissedVersions = true;
    const event = isReading
      ? LOG_EVENTS.storeReadsStarted
      : LOG_EVENTS.storeReadsStopped;
    log(event, {
      kind,
      readers: readerElection.liveness().map(describeLiveness),
    });
  }

  /** Waits before the next check whether this entry has to read. */
  async #idle(): Promise<void> {
    const { readerElection, random } = this.#options;
    await this.#sleep(IDLE_CHECK_INTERVAL_MS);
    if (readerElection?.mustRead === false) return;
    await this.#sleep(TAKEOVER_JITTER_MAX_MS * random());
    if (readerElection?.leavesReadingToOthers !== true) return;
    await this.#waitToRetry(PROBER_HEAD_START_MS);
    if (!readerElection.isStoreReachable) {
      await this.#waitToRetry(this.#nonProberDelayMs(0) * random());
    }
  }

  async #list(): Promise<ObjectRevision> {
    const { objects, kind, onList } = this.#options;
    const wasRequested = this.#mustRelist;
    this.#mustRelist = false;
    try {
      this.#listedMs = this.#now();
      const list = await objects.list({ kind });
      this.#mayHaveMissedVersions = false;
      const isRestored = this.#isRestored(list);
      if (isRestored) this.#uncheckedRevision = undefined;
      this.#logPassedOver(list);
      onList(list, this.#isAfterOutage || isRestored);
      return list.revision;
    } catch (error) {
      this.#mustRelist ||= wasRequested;
      throw error;
    }
  }

  async #watch(sinceRevision: ObjectRevision): Promise<ObjectRevision> {
    const { objects, kind, waitMs, batchDelayMs, onChanges } = this.#options;
    const { changes, revision } = await objects.watch({
      kind,
      sinceRevision,
      waitMs,
    });
    if (changes.length > 0) {
      this.#uncheckedRevision = undefined;
      onChanges(changes, this.#isAfterOutage);
      await this.#sleep(batchDelayMs);
    } else if (revision > sinceRevision) {
      this.#uncheckedRevision ??= sinceRevision;
    }
    return revision;
  }

  /**
   * Whether the store has come back from an older copy since the last read; what
   * is missing then is written again, as after an outage.
   */
  #isRestored({ revision }: ObjectList): boolean {
    const { kind, log } = this.#options;
    const isRestored = this.#revision !== undefined &&
      eraOf(revision) > eraOf(this.#revision);
    if (isRestored) {
      log(LOG_EVENTS.storeRestored, { kind, era: eraOf(revision) });
    }
    return isRestored;
  }

  /** Logs changes of a list that the watches before it did not return. */
  #logPassedOver({ objects }: ObjectList): void {
    const { kind, log } = this.#options;
    const sinceRevision = this.#uncheckedRevision;
    const watchedRevision = this.#revision;
    this.#uncheckedRevision = undefined;
    if (sinceRevision === undefined || watchedRevision === undefined) return;
    for (const { name, revision } of objects) {
      if (revision <= sinceRevision || revision > watchedRevision) continue;
      log(LOG_EVENTS.changePassedOver, { kind, name, revision });
    }
  }

  /** Whether missing objects may have expired during an outage of the store. */
  get #isAfterOutage(): boolean {
    return this.#options.readerElection === undefined
      ? this.#isUnreachable
      : this.#hadReaderOutage;
  }

  #retryDelayMs(failures: number): number {
    const { readerElection, random } = this.#options;
    const maxDelayMs = readerElection?.isProber === false
      ? this.#nonProberDelayMs(failures)
      : proberDelayMs(failures);
    return maxDelayMs * (0.5 + 0.5 * random());
  }

  #nonProberDelayMs(failures: number): number {
    const { entryCount = () => 1 } = this.#options;
    return Math.max(
      NON_PROBER_DELAY_FACTOR * proberDelayMs(failures),
      NON_PROBER_DELAY_PER_ENTRY_MS * entryCount(),
    );
  }

  #setUnreachable(isUnreachable: boolean, reason: string): void {
    const { log, kind, readerElection } = this.#options;
    if (isUnreachable) readerElection?.recordFailure(kind);
    else {
      this.#hadReaderOutage = false;
      readerElection?.recordSuccess(kind);
    }
    if (isUnreachable === this.#isUnreachable) return;
    this.#isUnreachable = isUnreachable;
    if (isUnreachable) log(LOG_EVENTS.platformUnreachable, { kind, reason });
    else log(LOG_EVENTS.platformRecovered, { kind });
  }
}

function proberDelayMs(failures: number): number {
  return Math.min(RETRY_DELAY_MAX_MS, RETRY_DELAY_MIN_MS * 2 ** failures);
}

function describeLiveness({ entry, ageMs }: ReaderLiveness): string {
  return `${entry} ${ageMs} ms ago`;
}
