/**
 * Decides how long a stream waits for a place, and before how long a line.
 *
 * Answers the load of more prompts than engines can read at once, which comes
 * when a zone is lost: reading goes one prompt after the other, so a place behind
 * many of them is no gain over waiting for another engine.
 */

import { endMs, type Order } from "./order.ts";

/** Part of the time to the target that a stream waits for a place. */
export const WAIT_PART = 0.6;
/** Part of the target time in which it rather waits than lines up behind others. */
const PATIENCE_PART = 0.3;

/** The limits of a stream's wait for a place. */
export interface StreamWait {
  readonly waitMs: number;
  /** See `ServerNeed`. */
  readonly patientUntilMs: number;
}

/**
 * Returns how a stream waits for a place.
 *
 * @param hasBegun whether its caller got part of the answer; nothing is gained
 * then by giving it up early
 */
export function streamWait(
  order: Order,
  { hasBegun, nowMs }: { readonly hasBegun: boolean; readonly nowMs: number },
): StreamWait {
  if (hasBegun) return { waitMs: endMs(order) - nowMs, patientUntilMs: nowMs };
  const { receivedMs, rank } = order;
  return {
    waitMs: Math.max(0, receivedMs + rank.targetMs * WAIT_PART - nowMs),
    patientUntilMs: receivedMs + rank.targetMs * PATIENCE_PART,
  };
}
