/** Follows the orders in the store, and keeps their states there up to date. */

import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import type { ObjectRevision } from "../ids.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { Log } from "../process/log.ts";
import type {
  ObjectWatch,
  ObjectWatchOptions,
} from "../process/object_watch.ts";
import { type RolloutSource, RolloutWriter } from "./rollout_writer.ts";
import type { Rollouts } from "./rollouts.ts";
import type { StoredRollout, UnusableRollout } from "./types.ts";

/** What a watch of the orders calls. */
type WatchHandlers = Pick<ObjectWatchOptions, "onList" | "onChanges">;

/** Where orders are stored, and how another program's are read. */
export interface RolloutFormat extends Omit<RolloutSource, "parse"> {
  /** Returns `undefined` for an unusable order, and calls `onUnusable`. */
  readonly parse: (
    object: StoredObject,
    onUnusable: (finding: UnusableRollout) => void,
  ) => StoredRollout | undefined;
}

/** Dependencies of the sync. */
export interface RolloutSyncOptions {
  readonly rollouts: Rollouts;
  readonly objects: Pick<ObjectStore, "read" | "replaceStatus">;
  readonly source: RolloutFormat;
  readonly log: Log;
  /** See `RolloutWriterOptions`. */
  readonly isDecider: () => boolean;
  readonly createWatch: (handlers: WatchHandlers) => ObjectWatch;
}

/** The watch of the orders and the writer of their states. */
export class RolloutSync {
  readonly #options: RolloutSyncOptions;
  readonly #watch: ObjectWatch;
  readonly #writer: RolloutWriter;
  /** Revisions of the orders that were logged as unusable, by service. */
  readonly #unusable = new Map<string, ObjectRevision>();

  private constructor(options: RolloutSyncOptions) {
    this.#options = options;
    const { rollouts, source } = options;
    const parse = (object: StoredObject) => this.#parse(object);
    this.#watch = options.createWatch({
      onList: ({ objects }, isAfterOutage) =>
        rollouts.replaceStored(
          objects.flatMap((object) => parse(object) ?? []),
          isAfterOutage,
        ),
      onChanges: (changes) => {
        for (const { object, isDeleted } of changes) {
          const stored = isDeleted ? undefined : parse(object);
          if (stored === undefined) rollouts.withdraw(object.name);
          else rollouts.applyStored(stored);
        }
      },
    });
    this.#writer = RolloutWriter.create({
      ...options,
      source: { ...source, parse },
    });
  }

  /** Creates a sync; `run` starts it. */
  static create(options: RolloutSyncOptions): RolloutSync {
    return new RolloutSync(options);
  }

  /** Starts the watch and the writer. */
  run(): void {
    this.#watch.run();
    this.#writer.run();
  }

  /** Stops both after their current calls. */
  close(): void {
    this.#watch.close();
    this.#writer.close();
  }

  /** See `ObjectWatch`. */
  retryNow(): void {
    this.#watch.retryNow();
  }

  /** See `ObjectWatch`. */
  setOutageThreshold(thresholdMs: number): void {
    this.#watch.setOutageThreshold(thresholdMs);
  }

  #parse(object: StoredObject): StoredRollout | undefined {
    return this.#options.source.parse(object, (finding) => {
      const { service, field, expected, found } = finding;
      if (this.#unusable.get(service) === object.revision) return;
      this.#unusable.set(service, object.revision);
      this.#options.log(LOG_EVENTS.rolloutUnusable, {
        service,
        field,
        expected,
        found,
      });
    });
  }
}
