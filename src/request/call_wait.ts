/**
 * Decides how long a call waits for a place, and for its answer.
 *
 * Answers the load of more calls than the servers of a plain service can do.
 * Calls that wait long are all answered late, so a call waits only as long as
 * it can still be on time, and callers that come back after a refusal, whose
 * answers are late anyway, take only places that nobody waits for.
 */

import { LossCause } from "../errors.ts";
import { endMs, type Order } from "./order.ts";

/** Part of the target time that a call waits for a place; the rest is its work. */
const WAIT_PART = 0.5;
/** Part of the time left that a call waits while no server can be used. */
const OUTAGE_WAIT_PART = 0.5;
/** Part of the target time after which a call that may be repeated is tried elsewhere. */
const PATIENCE_PART = 0.75;

/** What is known when a call needs a place. */
export interface CallSituation {
  /** Time that its caller has most likely waited before it came here, in ms. */
  readonly usedMs: number;
  /** Whether any server could take it, now or once that has room. */
  readonly hasServer: boolean;
  /** Whether its servers refused for want of room just now. */
  readonly wasFull: boolean;
  /** Monotonic clock, in ms. */
  readonly nowMs: number;
}

/** Returns how long a call waits for a place, in ms; `undefined` to refuse it. */
export function placeWaitMs(
  order: Order,
  { usedMs, hasServer, wasFull, nowMs }: CallSituation,
): number | undefined {
  if (!hasServer) return (endMs(order) - nowMs) * OUTAGE_WAIT_PART;
  const { targetMs } = order.rank;
  const canBeOnTime = usedMs + nowMs - order.receivedMs < targetMs;
  if (canBeOnTime) return targetMs * WAIT_PART;
  return wasFull ? undefined : 0;
}

/** How long an answer is waited for, and what its absence means. */
export interface AnswerPatience {
  readonly ms: number;
  readonly cause: LossCause;
}

/**
 * Returns the patience with one sending of a call.
 *
 * @param mayTryElsewhere whether the call may be sent to another server
 */
export function answerPatience(
  order: Order,
  { nowMs, mayTryElsewhere }: {
    readonly nowMs: number;
    readonly mayTryElsewhere: boolean;
  },
): AnswerPatience {
  const leftMs = endMs(order) - nowMs;
  const ms = order.rank.targetMs * PATIENCE_PART;
  return mayTryElsewhere && ms < leftMs
    ? { ms, cause: LossCause.Stalled }
    : { ms: leftMs, cause: LossCause.TimeUp };
}
