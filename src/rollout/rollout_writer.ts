/**
 * Decides on roll-outs in turn, and writes their states to the store. Each entry
 * judges; the one that reads the store first writes for all, at the revision
 * that it has read.
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import { messageOf } from "../errors.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { Log } from "../process/log.ts";
import type { Rollouts, RolloutWrite } from "./rollouts.ts";
import { RolloutState, type StoredRollout } from "./types.ts";

/** Where orders are stored, and how they are read and written. */
export interface RolloutSource {
  readonly kind: string;
  /** Returns `undefined` for an object that is no usable order. */
  readonly parse: (object: StoredObject) => StoredRollout | undefined;
  /** Returns the status of an order with a target. */
  readonly createStatus: (state: RolloutState, target: string) => unknown;
}

/** Dependencies of a writer. */
export interface RolloutWriterOptions {
  readonly rollouts: Rollouts;
  readonly objects: Pick<ObjectStore, "read" | "replaceStatus">;
  readonly source: RolloutSource;
  /** Whether this entry decides for all; at most one should. */
  readonly isDecider: () => boolean;
  readonly log: Log;
}

/** Interval at which versions are judged, in ms. */
const UPDATE_INTERVAL_MS = 200;

/** Keeps the states in the store up to date. */
export class RolloutWriter {
  readonly #options: RolloutWriterOptions;
  #isClosed = false;

  private constructor(options: RolloutWriterOptions) {
    this.#options = options;
  }

  /** Creates a writer; `run` starts it. */
  static create(options: RolloutWriterOptions): RolloutWriter {
    return new RolloutWriter(options);
  }

  /** Stops after the current write. */
  close(): void {
    this.#isClosed = true;
  }

  /** Judges and writes until closed; never rejects. */
  async run(): Promise<void> {
    while (!this.#isClosed) {
      await sleep(UPDATE_INTERVAL_MS);
      await this.update();
    }
  }

  /** Judges all orders, and writes what the store lacks; never rejects. */
  async update(): Promise<void> {
    const { rollouts, isDecider, log } = this.#options;
    for (const write of rollouts.update(isDecider())) {
      try {
        await this.#write(write);
      } catch (error) {
        log(LOG_EVENTS.rolloutStateNotWritten, {
          service: write.order.service,
          state: write.state,
          reason: messageOf(error),
        });
      }
    }
  }

  /**
   * Writes a state, unless the order has another target or has ended meanwhile.
   *
   * Errors: `VersionConflict`, `PlatformUnavailable`.
   */
  async #write({ order, state }: RolloutWrite): Promise<void> {
    const { rollouts, objects, source, log } = this.#options;
    const { service, target, id } = order;
    const object = await objects.read(source.kind, service);
    const stored = object && source.parse(object);
    // The watch tells whether the operator has removed the order.
    if (object === undefined || stored === undefined) return;
    rollouts.applyStored(stored);
    const isOutdated = stored.order.id !== id ||
      !mayFollow(stored.state, state);
    if (isOutdated) return;
    const written = await objects.replaceStatus(source.kind, {
      name: service,
      status: source.createStatus(state, target),
      revision: object.revision,
    });
    if (written === undefined) return;
    rollouts.applyStored({ ...stored, state });
    log(LOG_EVENTS.rolloutStateWritten, { service, target, state, order: id });
  }
}

/** Whether a state may replace another: an order ends once. */
function mayFollow(
  stored: RolloutState | undefined,
  next: RolloutState,
): boolean {
  return stored !== next &&
    (stored === undefined || stored === RolloutState.Active);
}
