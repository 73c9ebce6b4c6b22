/** The record of one non-idempotent action, kept in the platform. */

import type { ActionAttemptId, EntryId, Fingerprint } from "../ids.ts";

/** The answer of an action, kept for repeats. */
export interface ActionResponse {
  readonly status: number;
  readonly contentType: string;
  /** Body in base64; absent when it was too large to keep. */
  readonly body?: string;
}

/** How far an action has come. */
export enum ActionState {
  /** Somebody may be sending it, or may have sent it. */
  Claimed = "claimed",
  /** It ran once and this is its answer. */
  Answered = "answered",
  /** It was sent and its end was not seen. */
  Unknown = "unknown",
}

/** What is stored under an action's key. */
export interface ActionRecord {
  readonly attempt: ActionAttemptId;
  /** Entry that claimed it. */
  readonly entry: EntryId;
  /** What the action consists of, to tell a key's reuse for another one. */
  readonly fingerprint: Fingerprint;
  readonly state: ActionState;
  readonly answer?: ActionResponse;
}
