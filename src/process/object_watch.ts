/**
 * Follows one kind of shared objects: lists it, then watches it, and lists anew
 * after an outage or when the store has dropped its history.
 */

import { setTimeout as sleep } from "node:timers/promises";
import type {
  ObjectChange,
  ObjectList,
  ObjectStore,
} from "../connection/object_store.ts";
import { messageOf, PlatformHistoryGone } from "../errors.ts";
import type { ObjectRevision } from "../ids.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";
import type { ReaderElection, ReaderLiveness } from "./reader_election.ts";

/** What a watch needs of its process. */
export interface ObjectWatchOptions {
  readonly objects: ObjectStore;
  readonly kind: string;
  readonly log: Log;
  /** Number from 0 up to 1; spreads calls of many entries. */
  readonly random: () => number;
  /** Longest time that the store holds one call, in ms. */
  readonly waitMs: number;
  /** Pause after changes before more are asked for, so that they come together, in ms. */
  readonly batchDelayMs: number;
  /**
   * Shortest time without the store in which entries of its servers may lapse,
   * in ms; what is gone after a shorter one has left.
   */
  readonly outageThresholdMs: number;
  /** Which entries read for all; absent where each reads for itself. */
  readonly readerElection?: ReaderElection;
  /** Called with all objects, after the start and after each outage. */
  readonly onList: (list: ObjectList, isAfterOutage: boolean) => void;
  readonly onChanges: (
    changes: readonly ObjectChange[],
    isAfterOutage: boolean,
  ) => void;
}

/** First and longest pause after a failed call, in ms. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 800;
/** Longer pause of an entry that relies on others to try the store, as a multiple. */
const SPARED_FACTOR = 4;
/** How often an entry that need not read looks whether it has to, in ms. */
const REST_MS = 100;
/** Pause after the first list, in which other entries may say that they read, in ms. */
const START_REST_MS = 700;
/** Longest random pause before it reads again, in ms; the first to do so spares the others. */
const TURN_MAX_MS = 150;

/** A task that follows one kind until it is closed. */
export class ObjectWatch {
  readonly #options: ObjectWatchOptions;
  #closed = false;
  /** Revision from which the next watch goes on, once the kind was listed. */
  #revision: ObjectRevision | undefined;
  /** Failed calls in a row. */
  #failures = 0;
  #isLost = false;
  #mustList = true;
  #isReading = true;
  /** Whether nobody reached the store for a while before this entry reads again. */
  #isUnsure = false;

  private constructor(options: ObjectWatchOptions) {
    this.#options = options;
  }

  /** Makes a watch; `run` starts it. */
  static create(options: ObjectWatchOptions): ObjectWatch {
    return new ObjectWatch(options);
  }

  /**
   * Lists the kind anew, also while other entries read for this one; returns
   * whether that was not due already.
   */
  requestRelist(): boolean {
    const isNew = !this.#mustList;
    this.#mustList = true;
    return isNew;
  }

  /** Ends the task after its current call. */
  close(): void {
    this.#closed = true;
  }

  /** Lists and watches until closed; never rejects. */
  async run(): Promise<void> {
    while (!this.#closed) {
      const mustRead = this.#options.readerElection?.mustRead !== false;
      this.#setReading(mustRead);
      if (mustRead || this.#mustList) await this.#read();
      else await this.#rest();
    }
  }

  /** Asks the store once. */
  async #read(): Promise<void> {
    const { readerElection: readers } = this.#options;
    if ((readers?.lastSuccessAgeMs ?? 0) > this.#options.outageThresholdMs) {
      this.#isUnsure = true;
    }
    const isFirst = this.#revision === undefined;
    try {
      this.#revision = this.#mustList || this.#revision === undefined
        ? await this.#list()
        : await this.#watch(this.#revision);
      this.#failures = 0;
      this.#setLost(false, "");
      if (isFirst && readers !== undefined) await sleep(START_REST_MS);
    } catch (error) {
      if (this.#closed) return;
      if (error instanceof PlatformHistoryGone) {
        this.#mustList = true;
        return;
      }
      // Changes may have been missed only if their history is gone, which
      // the next watch reports; so the revision stays.
      this.#setLost(true, messageOf(error));
      await sleep(this.#retryMs(this.#failures++));
    }
  }

  #setReading(isReading: boolean): void {
    const { log, kind, readerElection: readers } = this.#options;
    if (isReading === this.#isReading || readers === undefined) return;
    this.#isReading = isReading;
    const event = isReading
      ? LOG_EVENTS.storeReadsStarted
      : LOG_EVENTS.storeReadsStopped;
    log(event, { kind, readers: readers.liveness().map(describeSign) });
  }

  /** Waits until this entry may have to read. */
  async #rest(): Promise<void> {
    const { readerElection: readers, random } = this.#options;
    await sleep(REST_MS);
    if (readers?.mustRead !== false) await sleep(TURN_MAX_MS * random());
  }

  async #list(): Promise<ObjectRevision> {
    const { objects, kind, onList } = this.#options;
    this.#mustList = false;
    try {
      const list = await objects.list({ kind });
      onList(list, this.#isAfterOutage);
      return list.revision;
    } catch (error) {
      this.#mustList = true;
      throw error;
    }
  }

  async #watch(from: ObjectRevision): Promise<ObjectRevision> {
    const { objects, kind, waitMs, batchDelayMs: gatherMs, onChanges } =
      this.#options;
    const { changes, revision } = await objects.watch({
      kind,
      sinceRevision: from,
      waitMs,
    });
    if (changes.length > 0) {
      onChanges(changes, this.#isAfterOutage);
      await sleep(gatherMs);
    }
    return revision;
  }

  /** Whether what is missing now may have lapsed while the store was away. */
  get #isAfterOutage(): boolean {
    return this.#options.readerElection === undefined
      ? this.#isLost
      : this.#isUnsure;
  }

  #retryMs(failures: number): number {
    const limitMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** failures);
    const { readerElection: readers, random } = this.#options;
    const factor = readers?.isProber === false ? SPARED_FACTOR : 1;
    return limitMs * factor * (0.5 + 0.5 * random());
  }

  #setLost(isLost: boolean, reason: string): void {
    const { log, kind, readerElection: readers } = this.#options;
    if (isLost) readers?.recordFailure(kind);
    else {
      this.#isUnsure = false;
      readers?.recordSuccess(kind);
    }
    if (isLost === this.#isLost) return;
    this.#isLost = isLost;
    if (isLost) log(LOG_EVENTS.platformUnreachable, { kind, reason });
    else log(LOG_EVENTS.platformRecovered, { kind });
  }
}

function describeSign({ entry, ageMs }: ReaderLiveness): string {
  return `${entry} ${ageMs} ms ago`;
}
