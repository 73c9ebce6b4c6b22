/**
 * Decides how long a stream waits for a place, and before how long a line.
 *
 * Answers the load of more prompts than engines can read at once, which comes
 * when a zone is lost: reading goes one prompt after the other, so a place behind
 * many of them is no gain over waiting for another engine.
 */

import { effectiveDeadlineMs, type ProxyRequest } from "./proxy_request.ts";

/** Part of the time to the target that a stream waits for a place. */
export const QUEUE_TIMEOUT_RATIO = 0.6;
/** Part of the target time in which it rather waits than lines up behind others. */
const PATIENCE_PART = 0.3;

/** The limits of a stream's wait for a place. */
export interface StreamQueueLimits {
  readonly waitMs: number;
  /** See `SelectionCriteria`. */
  readonly avoidBacklogUntilMs: number;
}

/**
 * Returns how a stream waits for a place.
 *
 * @param hasBegun whether its caller got part of the answer; nothing is gained
 * then by giving it up early
 */
export function streamQueueLimits(
  order: ProxyRequest,
  { hasBegun, nowMs }: { readonly hasBegun: boolean; readonly nowMs: number },
): StreamQueueLimits {
  if (hasBegun) {
    return {
      waitMs: effectiveDeadlineMs(order) - nowMs,
      avoidBacklogUntilMs: nowMs,
    };
  }
  const { receivedMs, rank } = order;
  return {
    waitMs: Math.max(
      0,
      receivedMs + rank.targetMs * QUEUE_TIMEOUT_RATIO - nowMs,
    ),
    avoidBacklogUntilMs: receivedMs + rank.targetMs * PATIENCE_PART,
  };
}
