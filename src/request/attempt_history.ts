/** The sendings of one order: how many, how far they got, and the refusal that follows. */

import { RequestError, RequestErrorType } from "../errors.ts";
import { AttemptProgress, canRetry, mayHaveRun } from "./attempt_progress.ts";
import {
  effectiveDeadlineMs,
  isRetryable,
  type ProxyRequest,
} from "./proxy_request.ts";

/** One sending, whose progress only grows. */
export interface AttemptRecord {
  readonly server: string;
  progress: AttemptProgress;
}

/**
 * Sendings beyond the route's limit that are made after servers said that they
 * did not run the order; the limit counts servers that ran it.
 */
const NOT_RUN_EXTRA = 3;
/** Suggested wait after a refusal for want of room, as part of the time left. */
const RETRY_PART = 0.1;
const RETRY_MIN_S = 0.02;
const MS_PER_S = 1_000;

/** The record of an order's sendings. */
export class AttemptHistory {
  readonly #order: ProxyRequest;
  readonly #entries: AttemptRecord[] = [];

  private constructor(order: ProxyRequest) {
    this.#order = order;
  }

  /** Starts without sendings. */
  static create(order: ProxyRequest): AttemptHistory {
    return new AttemptHistory(order);
  }

  /** Adds a sending that has not left yet. */
  add(server: string): AttemptRecord {
    const entry = { server, progress: AttemptProgress.NotSent };
    this.#entries.push(entry);
    return entry;
  }

  /** Count of sendings. */
  get count(): number {
    return this.#entries.length;
  }

  /** Whether the order can have run. */
  get mayHaveRun(): boolean {
    return mayHaveRun(this.#progress());
  }

  /** Servers that can have run the order. */
  get mayHaveRunCount(): number {
    return this.#entries.filter(({ progress }) => mayHaveRun([progress]))
      .length;
  }

  /** Whether the order may be sent once more. */
  get canRetry(): boolean {
    const { maxAttempts: sendsMax } = this.#order;
    return this.mayHaveRunCount < sendsMax &&
      this.#entries.length < sendsMax + NOT_RUN_EXTRA &&
      canRetry(this.#progress(), isRetryable(this.#order));
  }

  /** Returns the truthful refusal at `nowMs`, on the monotonic clock. */
  refusal(message: string, nowMs: number): RequestError {
    if (this.mayHaveRun) {
      return new RequestError(RequestErrorType.OutcomeUnknown, message);
    }
    const leftS = Math.max(0, effectiveDeadlineMs(this.#order) - nowMs) /
      MS_PER_S;
    const retryAfterS = Math.max(RETRY_MIN_S, leftS * RETRY_PART);
    return new RequestError(RequestErrorType.NotRun, message, retryAfterS);
  }

  #progress(): readonly AttemptProgress[] {
    return this.#entries.map(({ progress }) => progress);
  }
}
