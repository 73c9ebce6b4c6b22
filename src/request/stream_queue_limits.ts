/**
 * Decides how long a stream waits for a slot, and how long it avoids engines
 * with a prefill backlog.
 *
 * Handles more prompts than the engines can prefill at once, as after a zone
 * failure. An engine prefills one prompt after the other, so a slot behind many
 * prompts is no better than waiting for another engine.
 */

import { effectiveDeadlineMs, type ProxyRequest } from "./proxy_request.ts";

/** Part of the target time that a stream may wait for a slot. */
export const QUEUE_TIMEOUT_RATIO = 0.6;
/** Part of the target time in which a stream avoids engines with a backlog. */
const BACKLOG_AVOIDANCE_RATIO = 0.3;

/** The limits of a stream's wait for a slot. */
export interface StreamQueueLimits {
  /** Longest wait, in ms. */
  readonly waitMs: number;
  /** See `SelectionCriteria`. */
  readonly avoidBacklogUntilMs: number;
}

/**
 * Returns the limits of a stream's wait for a slot.
 *
 * @param hasBegun whether part of the response was delivered; such a stream
 * waits until its deadline, since refusing it early gains nothing
 */
export function streamQueueLimits(
  request: ProxyRequest,
  { hasBegun, nowMs }: { readonly hasBegun: boolean; readonly nowMs: number },
): StreamQueueLimits {
  const deadlineMs = effectiveDeadlineMs(request);
  if (hasBegun) {
    return { waitMs: deadlineMs - nowMs, avoidBacklogUntilMs: nowMs };
  }
  const { receivedMs, rank } = request;
  const timeoutMs = receivedMs + rank.targetMs * QUEUE_TIMEOUT_RATIO;
  return {
    waitMs: Math.max(0, Math.min(timeoutMs, deadlineMs) - nowMs),
    avoidBacklogUntilMs: receivedMs + rank.targetMs * BACKLOG_AVOIDANCE_RATIO,
  };
}
