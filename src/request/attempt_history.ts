/** The attempts of one request, their progress, and the error that follows. */

import { RequestError, RequestErrorType } from "../errors.ts";
import { AttemptProgress, canRetry, mayHaveRun } from "./attempt_progress.ts";
import {
  effectiveDeadlineMs,
  isRetryable,
  type ProxyRequest,
} from "./proxy_request.ts";

/** One attempt; its progress only advances. */
export interface AttemptRecord {
  readonly server: string;
  /** When it began, on the monotonic clock in ms. */
  readonly startedMs: number;
  progress: AttemptProgress;
  /** When the response's head arrived, on the monotonic clock in ms. */
  respondedMs?: number;
  /** When the first event of a stream arrived, on the same clock. */
  firstEventMs?: number;
  /** Whether the server crashed. */
  hasCrashed?: boolean;
  /** Whether the run has lasted long enough to show that it is harmless. */
  isProven?: boolean;
  /** Events of a stream that arrived in this attempt. */
  eventCount: number;
}

/**
 * Attempts allowed beyond the route's limit, which counts only attempts that
 * may have run, not those that a server declined.
 */
const EXTRA_NOT_RUN_ATTEMPTS = 3;
/** Suggested retry delay, as part of the time to the deadline. */
const RETRY_AFTER_RATIO = 0.1;
const RETRY_AFTER_MIN_S = 0.02;
const MS_PER_S = 1_000;

/** The attempts of one request. */
export class AttemptHistory {
  readonly #request: ProxyRequest;
  readonly #records: AttemptRecord[] = [];

  private constructor(request: ProxyRequest) {
    this.#request = request;
  }

  /** Starts without attempts. */
  static create(request: ProxyRequest): AttemptHistory {
    return new AttemptHistory(request);
  }

  /** Adds an attempt that begins at `startedMs` and has not been sent yet. */
  add(server: string, startedMs: number): AttemptRecord {
    const record: AttemptRecord = {
      server,
      startedMs,
      progress: AttemptProgress.NotSent,
      eventCount: 0,
    };
    this.#records.push(record);
    return record;
  }

  /** Number of attempts. */
  get count(): number {
    return this.#records.length;
  }

  /** Whether the request may have run on any server. */
  get mayHaveRun(): boolean {
    return mayHaveRun(this.#progress());
  }

  /** Number of attempts that may have run. */
  get mayHaveRunCount(): number {
    return this.#records.filter(({ progress }) => mayHaveRun([progress]))
      .length;
  }

  /** Attempts that did not run, since the last one that may have run. */
  get notRunInARow(): number {
    const lastRun = this.#records.findLastIndex(({ progress }) =>
      mayHaveRun([progress])
    );
    return this.#records.length - 1 - lastRun;
  }

  /** Whether another attempt is allowed. */
  get canRetry(): boolean {
    const { maxAttempts } = this.#request;
    return this.#records.length < maxAttempts + EXTRA_NOT_RUN_ATTEMPTS &&
      this.mayHaveRunCount < maxAttempts && this.canResume;
  }

  /**
   * Whether another attempt of a stream that has begun is allowed, however
   * often servers declined it or crashed before they responded.
   */
  get canResume(): boolean {
    const counted = this.#records.filter(({ progress, ...record }) =>
      mayHaveRun([progress]) &&
      (record.hasCrashed !== true || record.respondedMs !== undefined)
    );
    return counted.length < this.#request.maxAttempts &&
      canRetry(this.#progress(), isRetryable(this.#request));
  }

  /**
   * Returns the error for the caller: outcome unknown if the request may have
   * run, else not run. `nowMs` is the time on the monotonic clock.
   *
   * @param freeAtMs when the first server gets requests again, on the same
   * clock, if all have asked for a pause
   */
  refusal(
    message: string,
    nowMs: number,
    { freeAtMs }: { readonly freeAtMs?: number | undefined } = {},
  ): RequestError {
    if (this.mayHaveRun) {
      return new RequestError(RequestErrorType.OutcomeUnknown, message);
    }
    if (freeAtMs !== undefined) {
      const retryAfterS = Math.ceil(Math.max(0, freeAtMs - nowMs)) / MS_PER_S;
      return new RequestError(RequestErrorType.NotRun, message, retryAfterS);
    }
    const remainingS = Math.max(0, effectiveDeadlineMs(this.#request) - nowMs) /
      MS_PER_S;
    const retryAfterS = Math.max(
      RETRY_AFTER_MIN_S,
      remainingS * RETRY_AFTER_RATIO,
    );
    return new RequestError(RequestErrorType.NotRun, message, retryAfterS);
  }

  #progress(): readonly AttemptProgress[] {
    return this.#records.map(({ progress }) => progress);
  }
}
