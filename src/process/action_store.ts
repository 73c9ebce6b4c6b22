/**
 * The ledger of non-idempotent actions: one record an action, created by a
 * conditional write before the action is sent. At most once rests on this
 * write alone, whichever entries take part.
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

/** What came of an attempt to claim an action. */
export enum ClaimResult {
  /** The action is this attempt's alone to send. */
  Granted = "granted",
  /** Another attempt has it. */
  Taken = "taken",
  /** This attempt may not send, and no other attempt was on record. */
  Absent = "absent",
  /** This attempt may not send, and what is on record can't be read. */
  Unreadable = "unreadable",
}

/** A claim and what stands in the ledger. */
export type Claim =
  | { readonly result: ClaimResult.Granted; readonly version: ObjectRevision }
  | { readonly result: ClaimResult.Taken; readonly record: ActionRecord }
  | { readonly result: ClaimResult.Absent | ClaimResult.Unreadable };

/** What the ledger needs of its process. */
export interface ActionStoreOptions {
  readonly platform: KeyValueStore;
  readonly log: Log;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

/** Pause between follow-ups of an unconfirmed write, in ms. */
const FOLLOW_UP_PAUSE_MS = 500;

/** Access to the records of actions. */
export class ActionStore {
  readonly #options: ActionStoreOptions;

  private constructor(options: ActionStoreOptions) {
    this.#options = options;
  }

  /** Makes a ledger on the platform's object API. */
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
        this.#removeWhenItAppears(key, record.attempt);
        return { result: ClaimResult.Absent };
      }
      const held = JSON.parse(stored.value) as ActionRecord;
      if (held.attempt !== record.attempt) {
        return { result: ClaimResult.Taken, record: held };
      }
      return { result: ClaimResult.Granted, version: stored.version };
    } catch (error) {
      if (!isPlatformError(error)) throw error;
      this.#removeWhenItAppears(key, record.attempt);
      return { result: ClaimResult.Unreadable };
    }
  }

  /**
   * Waits for the end of an action that another attempt has claimed. A claim
   * that outlasts `waitMs` is marked as unknown for good, before anybody is told
   * so. Resolves with `undefined` when the claim was retracted unsent.
   *
   * Errors: `PlatformUnavailable`, `VersionConflict`; nothing is decided then.
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
   * Stores the end of an action that this attempt claimed. Goes on in the
   * background when the platform can't be reached at once.
   */
  async recordOutcome(
    key: Fingerprint,
    settled: {
      readonly record: ActionRecord;
      readonly version: ObjectRevision;
    },
  ): Promise<void> {
    const write = () => this.#writeEnd(key, settled);
    if (await tryPlatform(write)) return;
    this.#followUp(write, () => {
      this.#options.log(LOG_EVENTS.actionOutcomeNotStored, { key });
    });
  }

  /** Removes the record of an action that this attempt did not send. */
  async releaseClaim(
    key: Fingerprint,
    attempt: ActionAttemptId,
  ): Promise<void> {
    const remove = () => this.#removeOwn(key, attempt);
    if (await tryPlatform(remove)) return;
    this.#followUp(remove, () => undefined);
  }

  /** The write of an unconfirmed record may still take effect. */
  #removeWhenItAppears(key: Fingerprint, attempt: ActionAttemptId): void {
    const remove = async () => {
      const wasThere = await this.#removeOwn(key, attempt);
      if (!wasThere) throw new PlatformUnavailable("record may yet appear");
    };
    this.#followUp(remove, () => undefined);
  }

  async #writeEnd(
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
      await this.#writeEndOverUnknown(key, record);
    }
  }

  /**
   * The record changed since the claim: an earlier try of this write took
   * effect, or a repeat marked the claim as unknown, which the answer replaces.
   */
  async #writeEndOverUnknown(
    key: Fingerprint,
    record: ActionRecord,
  ): Promise<void> {
    const { platform } = this.#options;
    const name = actionName(key);
    const stored = await platform.read(name);
    if (stored === undefined) return;
    const held = JSON.parse(stored.value) as ActionRecord;
    const isOwnUnknown = held.attempt === record.attempt &&
      held.state === ActionState.Unknown;
    if (!isOwnUnknown) return;
    await platform.update(name, stored.version, JSON.stringify(record));
  }

  async #removeOwn(
    key: Fingerprint,
    attempt: ActionAttemptId,
  ): Promise<boolean> {
    const { platform, log } = this.#options;
    const name = actionName(key);
    const stored = await platform.read(name);
    if (stored === undefined) return false;
    const held = JSON.parse(stored.value) as ActionRecord;
    const isOwnClaim = held.attempt === attempt &&
      held.state === ActionState.Claimed;
    if (!isOwnClaim) return true;
    await platform.remove(name, stored.version);
    log(LOG_EVENTS.actionClaimReleased, { key });
    return true;
  }

  async #followUp(
    action: () => Promise<unknown>,
    onGivenUp: () => void,
  ): Promise<void> {
    const deadline = this.#options.now() + ACTION_RECONCILE_TIMEOUT_MS;
    while (this.#options.now() < deadline) {
      await sleep(FOLLOW_UP_PAUSE_MS);
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
