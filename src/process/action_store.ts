/**
 * Stores one record for each non-idempotent action. A conditional write creates
 * the record before the action is sent; this write alone guarantees that the
 * action runs at most once, whichever entries take part.
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { ObjectRevision } from "../ids.ts";
import type { KeyValueStore } from "../connection/key_value_store.ts";
import {
  ACTION_POLL_INTERVAL_MS,
  ACTION_RECONCILE_TIMEOUT_MS,
} from "../constants.ts";
import { PlatformUnavailable, VersionConflict } from "../errors.ts";
import type { ActionAttemptId, Fingerprint } from "../ids.ts";
import { type ActionRecord, ActionState } from "../request/action_record.ts";
import { actionName } from "../version/object_names.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";

/** Result of an attempt to claim an action. */
export enum ClaimResult {
  /** This attempt, and no other, may send the action. */
  Granted = "granted",
  /** Another attempt has claimed it. */
  Taken = "taken",
  /** This attempt may not send the action; no record was found. */
  Absent = "absent",
  /** This attempt may not send the action; the record could not be read. */
  Unreadable = "unreadable",
}

/** Result of a claim, with the stored record or its version. */
export type Claim =
  | { readonly result: ClaimResult.Granted; readonly version: ObjectRevision }
  | { readonly result: ClaimResult.Taken; readonly record: ActionRecord }
  | { readonly result: ClaimResult.Absent | ClaimResult.Unreadable };

/** Dependencies of an action store. */
export interface ActionStoreOptions {
  readonly platform: KeyValueStore;
  readonly log: Log;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

/** Interval for retrying an unconfirmed write, in ms. */
const RECONCILE_INTERVAL_MS = 500;

/** Creates, reads and updates the records of actions. */
export class ActionStore {
  readonly #options: ActionStoreOptions;

  private constructor(options: ActionStoreOptions) {
    this.#options = options;
  }

  /** Creates an action store on the platform's key-value store. */
  static create(options: ActionStoreOptions): ActionStore {
    return new ActionStore(options);
  }

  /** Claims an action by creating its record. */
  async claim(key: Fingerprint, record: ActionRecord): Promise<Claim> {
    const { platform } = this.#options;
    const name = actionName(key);
    try {
      const version = await platform.create(name, JSON.stringify(record));
      return { result: ClaimResult.Granted, version };
    } catch (error) {
      if (!isPlatformError(error)) throw error;
    }
    try {
      const stored = await platform.read(name);
      if (stored === undefined) {
        this.#removeIfCreatedLate(key, record.attempt);
        return { result: ClaimResult.Absent };
      }
      const existing = JSON.parse(stored.value) as ActionRecord;
      if (existing.attempt !== record.attempt) {
        return { result: ClaimResult.Taken, record: existing };
      }
      return { result: ClaimResult.Granted, version: stored.version };
    } catch (error) {
      if (!isPlatformError(error)) throw error;
      this.#removeIfCreatedLate(key, record.attempt);
      return { result: ClaimResult.Unreadable };
    }
  }

  /**
   * Waits for the outcome of an action that another attempt has claimed. After
   * `waitMs` it stores the state as unknown and resolves with that record.
   * Resolves with `undefined` when the claim was released without sending the
   * action.
   *
   * Errors: `PlatformUnavailable`, `VersionConflict`; the outcome stays open.
   */
  async awaitOutcome(
    key: Fingerprint,
    waitMs: number,
  ): Promise<ActionRecord | undefined> {
    const { platform, now } = this.#options;
    const name = actionName(key);
    const deadline = now() + waitMs;
    while (true) {
      const stored = await platform.read(name);
      if (stored === undefined) return undefined;
      const record = JSON.parse(stored.value) as ActionRecord;
      if (record.state !== ActionState.Claimed) return record;
      if (now() >= deadline) {
        const unknown = { ...record, state: ActionState.Unknown };
        await platform.update(name, stored.version, JSON.stringify(unknown));
        return unknown;
      }
      await sleep(ACTION_POLL_INTERVAL_MS);
    }
  }

  /**
   * Stores the outcome of an action that this attempt claimed. Retries in the
   * background if the first write fails.
   */
  async recordOutcome(
    key: Fingerprint,
    outcome: {
      readonly record: ActionRecord;
      readonly version: ObjectRevision;
    },
  ): Promise<void> {
    const write = () => this.#writeOutcome(key, outcome);
    if (await tryPlatform(write)) return;
    this.#reconcile(write, () => {
      this.#options.log(LOG_EVENTS.actionOutcomeNotStored, { key });
    });
  }

  /** Removes the record of an action that this attempt did not send. */
  async releaseClaim(
    key: Fingerprint,
    attempt: ActionAttemptId,
  ): Promise<void> {
    const remove = () => this.#removeOwnClaim(key, attempt);
    if (await tryPlatform(remove)) return;
    this.#reconcile(remove, () => undefined);
  }

  /** Removes this attempt's record if its unconfirmed create takes effect. */
  #removeIfCreatedLate(key: Fingerprint, attempt: ActionAttemptId): void {
    const remove = async () => {
      const isFound = await this.#removeOwnClaim(key, attempt);
      if (!isFound) throw new PlatformUnavailable("action record not found");
    };
    this.#reconcile(remove, () => undefined);
  }

  async #writeOutcome(
    key: Fingerprint,
    { record, version }: {
      readonly record: ActionRecord;
      readonly version: ObjectRevision;
    },
  ): Promise<void> {
    const { platform } = this.#options;
    const name = actionName(key);
    try {
      await platform.update(name, version, JSON.stringify(record));
    } catch (error) {
      if (!(error instanceof VersionConflict)) throw error;
      await this.#replaceOwnUnknown(key, record);
    }
  }

  /**
   * Handles a record that changed since the claim. Either an earlier try of
   * this write took effect, or a repeated request set the state to unknown;
   * only an unknown state is replaced by the outcome.
   */
  async #replaceOwnUnknown(
    key: Fingerprint,
    record: ActionRecord,
  ): Promise<void> {
    const { platform } = this.#options;
    const name = actionName(key);
    const stored = await platform.read(name);
    if (stored === undefined) return;
    const existing = JSON.parse(stored.value) as ActionRecord;
    const isOwnUnknown = existing.attempt === record.attempt &&
      existing.state === ActionState.Unknown;
    if (!isOwnUnknown) return;
    await platform.update(name, stored.version, JSON.stringify(record));
  }

  async #removeOwnClaim(
    key: Fingerprint,
    attempt: ActionAttemptId,
  ): Promise<boolean> {
    const { platform, log } = this.#options;
    const name = actionName(key);
    const stored = await platform.read(name);
    if (stored === undefined) return false;
    const existing = JSON.parse(stored.value) as ActionRecord;
    const isOwnClaim = existing.attempt === attempt &&
      existing.state === ActionState.Claimed;
    if (!isOwnClaim) return true;
    await platform.remove(name, stored.version);
    log(LOG_EVENTS.actionClaimReleased, { key });
    return true;
  }

  async #reconcile(
    action: () => Promise<unknown>,
    onGivenUp: () => void,
  ): Promise<void> {
    const deadline = this.#options.now() + ACTION_RECONCILE_TIMEOUT_MS;
    while (this.#options.now() < deadline) {
      await sleep(RECONCILE_INTERVAL_MS);
      if (await tryPlatform(action)) return;
    }
    onGivenUp();
  }
}

async function tryPlatform(action: () => Promise<unknown>): Promise<boolean> {
  try {
    await action();
    return true;
  } catch (error) {
    if (!isPlatformError(error)) throw error;
    return false;
  }
}

function isPlatformError(error: unknown): boolean {
  return error instanceof PlatformUnavailable ||
    error instanceof VersionConflict;
}
