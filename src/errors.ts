/** Error types shared across modules. */

import type { Finding } from "./version/finding.ts";

/** Error type sent to the caller of a request without a complete response. */
export enum RequestErrorType {
  /** Not run by any backend server; safe to retry. */
  NotRun = "not_run",
  /**
   * This request was not sent. Whether an earlier one with the same
   * idempotency key ran is unknown; safe to retry with that key.
   */
  NotSent = "not_sent",
  /** Part of the response was produced; a cursor may allow resuming it. */
  Interrupted = "interrupted",
  /** The request was sent and may have run; its outcome was not received. */
  OutcomeUnknown = "outcome_unknown",
  /** A non-idempotent action ran once; its response was too large to store. */
  AnswerUnavailable = "answer_unavailable",
  /** The request is malformed. */
  InvalidRequest = "invalid_request",
  /** The bearer key is missing or unknown. */
  Unauthorized = "unauthorized",
  /** No service or route has this name or path. */
  NotFound = "not_found",
  /** The body exceeds the configured limit. */
  TooLarge = "too_large",
  /** The idempotency key or cursor belongs to another request. */
  Conflict = "conflict",
}

/** HTTP status of each error type. */
export const REQUEST_ERROR_STATUS: Readonly<Record<RequestErrorType, number>> =
  {
    [RequestErrorType.NotRun]: 503,
    [RequestErrorType.NotSent]: 503,
    [RequestErrorType.Interrupted]: 502,
    [RequestErrorType.OutcomeUnknown]: 504,
    [RequestErrorType.AnswerUnavailable]: 409,
    [RequestErrorType.InvalidRequest]: 400,
    [RequestErrorType.Unauthorized]: 401,
    [RequestErrorType.NotFound]: 404,
    [RequestErrorType.TooLarge]: 413,
    [RequestErrorType.Conflict]: 409,
  };

/** An error of one request that is sent to its caller. */
export class RequestError extends Error {
  readonly type: RequestErrorType;
  readonly retryAfterS: number | undefined;

  constructor(type: RequestErrorType, message: string, retryAfterS?: number) {
    super(message);
    this.name = "RequestError";
    this.type = type;
    this.retryAfterS = retryAfterS;
  }
}

/** Returns the error of a generation that was interrupted partway. */
export function createInterruptedError(message: string): RequestError {
  return new RequestError(RequestErrorType.Interrupted, message);
}

/** Input failed validation; holds all findings. */
export class InvalidInput extends Error {
  readonly findings: readonly Finding[];

  constructor(findings: readonly Finding[]) {
    super(`input is invalid: ${findings.length} finding(s)`);
    this.name = "InvalidInput";
    this.findings = findings;
  }
}

/** A conditional update conflicted with another writer. */
export class VersionConflict extends Error {
  constructor(name: string) {
    super(`object ${name} was changed by another writer`);
    this.name = "VersionConflict";
  }
}

/** The platform gave no usable response; a write may have taken effect. */
export class PlatformUnavailable extends Error {
  constructor(reason: string) {
    super(`platform unavailable: ${reason}`);
    this.name = "PlatformUnavailable";
  }
}

/** The platform responded with something that can't be read as a whole. */
export class PlatformResponseUnreadable extends PlatformUnavailable {
  constructor(reason: string) {
    super(reason);
    this.name = "PlatformResponseUnreadable";
  }
}

/** The platform's store no longer has the changes that a watch requested. */
export class PlatformHistoryGone extends Error {
  constructor() {
    super("platform store no longer has the requested changes; list again");
    this.name = "PlatformHistoryGone";
  }
}

/** Why an attempt on a backend server ended without its complete output. */
export enum FailureCause {
  /** The server rejected the request before running any of it. */
  Rejected = "refused",
  /** The connection was refused, so nothing was sent. */
  Unreachable = "unreachable",
  /** This process had no descriptor, port or memory for a connection. */
  NoResources = "no_resources",
  /** The connection closed before the end of the output. */
  Closed = "closed",
  /** No data arrived within the stall timeout. */
  Stalled = "stalled",
  /** The deadline of the request passed, so it is not retried. */
  DeadlineExceeded = "time_up",
  /** No data or no connection in time; other calls get no response either. */
  Unresponsive = "silent",
  /** A token arrived beyond the next expected position. */
  PositionGap = "gap",
  /** Cancelled to free capacity for a more urgent request. */
  Preempted = "preempted",
  /** The server runs another model version. */
  VersionMismatch = "wrong_version",
}

/** The failure of one attempt on a backend server. */
export class AttemptError extends Error {
  readonly failureCause: FailureCause;

  constructor(cause: FailureCause, detail = "") {
    super(`attempt failed: ${cause}${detail === "" ? "" : ` (${detail})`}`);
    this.name = "AttemptError";
    this.failureCause = cause;
  }

  /** Whether the backend server may have run part of the request. */
  get mayHaveRun(): boolean {
    return this.failureCause !== FailureCause.Rejected &&
      this.failureCause !== FailureCause.Unreachable &&
      this.failureCause !== FailureCause.VersionMismatch;
  }
}

/** A backend server answered a call with a request for a pause. */
export class HoldOffRequested extends Error {
  /** Length of the pause, in ms; above 0. */
  readonly holdOffMs: number;

  constructor(holdOffMs: number) {
    super(`the server asked for a pause of ${holdOffMs} ms`);
    this.name = "HoldOffRequested";
    this.holdOffMs = holdOffMs;
  }
}

/** A call was not made, because its server asked for a pause earlier. */
export class ServerHeldOff extends Error {
  constructor(name: string) {
    super(`${name} asked for a pause, so it gets no requests`);
    this.name = "ServerHeldOff";
  }
}

/** Whether a call has no result because of a pause, which is no failure. */
export function isHeldOff(error: unknown): boolean {
  return error instanceof ServerHeldOff || error instanceof HoldOffRequested;
}

/** Returns the message of a thrown value of any type. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
