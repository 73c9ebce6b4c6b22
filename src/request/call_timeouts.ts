/**
 * Decides how long a call waits for a place, and for its answer.
 *
 * Answers the load of more calls than the servers of a plain service can do.
 * Calls that wait long are all answered late, so a call waits only as long as
 * it can still be on time, and callers that come back after a refusal, whose
 * answers are late anyway, take only places that nobody waits for.
 */

import { FailureCause } from "../errors.ts";
import { effectiveDeadlineMs, type ProxyRequest } from "./proxy_request.ts";

/** Part of the target time that a call waits for a place; the rest is its work. */
const WAIT_PART = 0.5;
/** Part of the time left that a call waits while no server can be used. */
const OUTAGE_WAIT_PART = 0.5;
/** Part of the target time after which a call that may be repeated is tried elsewhere. */
const PATIENCE_PART = 0.75;

/** What is known when a call needs a place. */
export interface CallConditions {
  /** Time that its caller has most likely waited before it came here, in ms. */
  readonly priorWaitMs: number;
  /** Whether any server could take it, now or once that has room. */
  readonly hasEligibleServer: boolean;
  /** Whether its servers refused for want of room just now. */
  readonly wasAtCapacity: boolean;
  /** Monotonic clock, in ms. */
  readonly nowMs: number;
}

/** Returns how long a call waits for a place, in ms; `undefined` to refuse it. */
export function callQueueTimeoutMs(
  order: ProxyRequest,
  {
    priorWaitMs: usedMs,
    hasEligibleServer: hasServer,
    wasAtCapacity: wasFull,
    nowMs,
  }: CallConditions,
): number | undefined {
  if (!hasServer) {
    return (effectiveDeadlineMs(order) - nowMs) * OUTAGE_WAIT_PART;
  }
  const { targetMs } = order.rank;
  const canBeOnTime = usedMs + nowMs - order.receivedMs < targetMs;
  if (canBeOnTime) return targetMs * WAIT_PART;
  return wasFull ? undefined : 0;
}

/** How long an answer is waited for, and what its absence means. */
export interface ResponseTimeout {
  readonly timeoutMs: number;
  readonly cause: FailureCause;
}

/**
 * Returns the patience with one sending of a call.
 *
 * @param mayTryElsewhere whether the call may be sent to another server
 */
export function responseTimeout(
  order: ProxyRequest,
  { nowMs, canRetryElsewhere: mayTryElsewhere }: {
    readonly nowMs: number;
    readonly canRetryElsewhere: boolean;
  },
): ResponseTimeout {
  const leftMs = effectiveDeadlineMs(order) - nowMs;
  const ms = order.rank.targetMs * PATIENCE_PART;
  return mayTryElsewhere && ms < leftMs
    ? { timeoutMs: ms, cause: FailureCause.Stalled }
    : { timeoutMs: leftMs, cause: FailureCause.DeadlineExceeded };
}
