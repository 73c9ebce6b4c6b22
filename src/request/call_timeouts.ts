/**
 * Decides how long a call waits for a slot and for its response.
 *
 * Handles overload of a plain service. If calls queued for long, every response
 * would be late, so a call waits only while it can still meet its target time.
 * A caller that retries after a refusal would get a late response anyway, so it
 * is refused if the service was recently at capacity, and otherwise gets only a
 * slot that is free at once.
 */

import { FailureCause } from "../errors.ts";
import { effectiveDeadlineMs, type ProxyRequest } from "./proxy_request.ts";

/** Part of the target time that a call may wait for a slot before it runs. */
const QUEUE_TIMEOUT_RATIO = 0.5;
/** The same if no server is eligible, as part of the time to the deadline. */
const OUTAGE_QUEUE_TIMEOUT_RATIO = 0.5;
/** Part of the target time after which a retryable call is sent elsewhere. */
const RESPONSE_TIMEOUT_RATIO = 0.75;
/** Interval at which an overdue call looks for a free server, in ms. */
const REPLACEMENT_INTERVAL_MS = 250;

/** What is known when a call needs a slot. */
export interface CallConditions {
  /** Estimated time that the caller has waited in earlier tries, in ms. */
  readonly priorWaitMs: number;
  /** Whether any server can serve the call, now or once it has capacity. */
  readonly hasEligibleServer: boolean;
  /** Whether servers of the service were recently at capacity. */
  readonly wasAtCapacity: boolean;
  /** Monotonic clock, in ms. */
  readonly nowMs: number;
}

/** Returns how long a call waits for a slot in ms; `undefined` to refuse it. */
export function callQueueTimeoutMs(
  request: ProxyRequest,
  {
    priorWaitMs,
    hasEligibleServer,
    wasAtCapacity,
    nowMs,
  }: CallConditions,
): number | undefined {
  const remainingMs = effectiveDeadlineMs(request) - nowMs;
  if (!hasEligibleServer) return remainingMs * OUTAGE_QUEUE_TIMEOUT_RATIO;
  const { targetMs } = request.rank;
  const canBeOnTime = priorWaitMs + nowMs - request.receivedMs < targetMs;
  if (canBeOnTime) {
    return Math.min(targetMs * QUEUE_TIMEOUT_RATIO, remainingMs);
  }
  return wasAtCapacity ? undefined : 0;
}

/** How long to wait for a response, and the failure cause when none arrives. */
export interface ResponseTimeout {
  readonly timeoutMs: number;
  readonly cause: FailureCause;
}

/**
 * Returns the response timeout of one attempt of a call.
 *
 * @param canRetryElsewhere whether the call may be sent to another server
 */
export function responseTimeout(
  request: ProxyRequest,
  { nowMs, canRetryElsewhere }: {
    readonly nowMs: number;
    readonly canRetryElsewhere: boolean;
  },
): ResponseTimeout {
  const remainingMs = effectiveDeadlineMs(request) - nowMs;
  const timeoutMs = request.rank.targetMs * RESPONSE_TIMEOUT_RATIO;
  return canRetryElsewhere && timeoutMs < remainingMs
    ? { timeoutMs, cause: FailureCause.Stalled }
    : { timeoutMs: remainingMs, cause: FailureCause.DeadlineExceeded };
}

/**
 * Returns how long a call whose response timeout has passed is kept before it
 * looks for a free server again.
 */
export function replacementTimeout(
  request: ProxyRequest,
  nowMs: number,
): ResponseTimeout {
  const remainingMs = effectiveDeadlineMs(request) - nowMs;
  return REPLACEMENT_INTERVAL_MS < remainingMs
    ? { timeoutMs: REPLACEMENT_INTERVAL_MS, cause: FailureCause.Stalled }
    : { timeoutMs: remainingMs, cause: FailureCause.DeadlineExceeded };
}
