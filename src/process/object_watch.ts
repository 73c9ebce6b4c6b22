/**
 * Follows one kind of shared objects: lists it, then watches it, and lists anew
 * after an outage or when the store has dropped its history.
 */

import { setTimeout as sleep } from "node:timers/promises";
import type {
  ObjectChange,
  ObjectList,
  SharedObjects,
} from "../connection/shared_objects.ts";
import { messageOf, PlatformHistoryGone } from "../errors.ts";
import type { ObjectRevision } from "../ids.ts";
import { EVENTS } from "./event_catalog.ts";
import type { Log } from "./log.ts";

/** What a watch needs of its process. */
export interface ObjectWatchOptions {
  readonly objects: SharedObjects;
  readonly kind: string;
  readonly log: Log;
  /** Number from 0 up to 1; spreads calls of many entries. */
  readonly random: () => number;
  /** Longest time that the store holds one call, in ms. */
  readonly waitMs: number;
  /** Pause after changes before more are asked for, so that they come together, in ms. */
  readonly gatherMs: number;
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

/** A task that follows one kind until it is closed. */
export class ObjectWatch {
  readonly #options: ObjectWatchOptions;
  #closed = false;
  #isLost = false;

  private constructor(options: ObjectWatchOptions) {
    this.#options = options;
  }

  /** Makes a watch; `run` starts it. */
  static create(options: ObjectWatchOptions): ObjectWatch {
    return new ObjectWatch(options);
  }

  /** Whether the last call failed. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** Ends the task after its current call. */
  close(): void {
    this.#closed = true;
  }

  /** Lists and watches until closed; never rejects. */
  async run(): Promise<void> {
    let revision: ObjectRevision | undefined;
    let failures = 0;
    while (!this.#closed) {
      try {
        revision = revision === undefined
          ? await this.#list()
          : await this.#watch(revision);
        failures = 0;
        this.#setLost(false, "");
      } catch (error) {
        if (this.#closed) return;
        if (error instanceof PlatformHistoryGone) {
          revision = undefined;
          continue;
        }
        // Changes may have been missed only if their history is gone, which
        // the next watch reports; so the revision stays.
        this.#setLost(true, messageOf(error));
        await sleep(this.#retryMs(failures++));
      }
    }
  }

  async #list(): Promise<ObjectRevision> {
    const { objects, kind, onList } = this.#options;
    const list = await objects.list({ kind });
    onList(list, this.#isLost);
    return list.revision;
  }

  async #watch(from: ObjectRevision): Promise<ObjectRevision> {
    const { objects, kind, waitMs, gatherMs, onChanges } = this.#options;
    const { changes, revision } = await objects.watch({ kind, from, waitMs });
    if (changes.length > 0) {
      onChanges(changes, this.#isLost);
      await sleep(gatherMs);
    }
    return revision;
  }

  #retryMs(failures: number): number {
    const limitMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** failures);
    return limitMs * (0.5 + 0.5 * this.#options.random());
  }

  #setLost(isLost: boolean, reason: string): void {
    if (isLost === this.#isLost) return;
    this.#isLost = isLost;
    const { log, kind } = this.#options;
    if (isLost) log(EVENTS.platformLost, { kind, reason });
    else log(EVENTS.platformBack, { kind });
  }
}
