/** The record of one non-idempotent action, stored in the platform. */

import type { ActionAttemptId, EntryId, Fingerprint } from "../ids.ts";

/** The response of an action, stored for repeated requests. */
export interface ActionResponse {
  readonly status: number;
  readonly contentType: string;
  /** Body in base64; absent when it was too large to store. */
  readonly body?: string;
}

/** State of an action. */
export enum ActionState {
  /** The attempt that claimed it may yet send it or may have sent it. */
  Claimed = "claimed",
  /** It ran once; the record holds its response. */
  Answered = "answered",
  /** It may have been sent, but no response was recorded. */
  Unknown = "unknown",
}

/** The value stored under an action's key. */
export interface ActionRecord {
  readonly attempt: ActionAttemptId;
  /** The entry that claimed the action. */
  readonly entry: EntryId;
  /** Hash of the call, to detect that a key is reused for another call. */
  readonly fingerprint: Fingerprint;
  readonly state: ActionState;
  readonly answer?: ActionResponse;
}
