/**
 * Decides how long a caller's kept connection may stay idle, and when it may be
 * closed without discarding a request that waits to be read.
 */

/** An idle connection, and the idle limit announced to its caller. */
export interface IdleConnection {
  /** Idle limit announced in the last response, in ms. */
  readonly announcedMs: number;
  /** When the last response ended, on the monotonic clock in ms. */
  readonly idleSinceMs: number;
}

/** One iteration of the event loop, as an idle connection saw it. */
export interface LoopIteration {
  /** Bytes read from the connection before and after it. */
  readonly bytesBefore: number;
  readonly bytesAfter: number;
  readonly tookMs: number;
}

/** What to do with an idle connection after an iteration of the event loop. */
export enum IdleVerdict {
  /** Something was read, so the connection is not idle. */
  Keep = "keep",
  /** Something may have arrived after the read. */
  LookAgain = "look_again",
  Close = "close",
}

/** Duration from which an iteration of the event loop counts as busy, in ms. */
export const BUSY_ITERATION_MS = 5;
/** Time beyond the limit for requests that are already in transit, in ms. */
export const IDLE_MARGIN_MS = 500;

/**
 * Returns how much longer a connection must stay open, in ms; 0 or less if it
 * may be closed. A caller may use the announced limit or the one in force.
 */
export function remainingIdleMs(
  { announcedMs, idleSinceMs }: IdleConnection,
  { limitMs, nowMs }: {
    /** Idle limit in force, in ms. */
    readonly limitMs: number;
    readonly nowMs: number;
  },
): number {
  const keptMs = Math.max(announcedMs, limitMs) + IDLE_MARGIN_MS;
  return idleSinceMs + keptMs - nowMs;
}

/** Decides on a connection whose idle time has passed. */
export function judgeIdleConnection(iteration: LoopIteration): IdleVerdict {
  const { bytesBefore, bytesAfter, tookMs } = iteration;
  if (bytesAfter !== bytesBefore) return IdleVerdict.Keep;
  return tookMs >= BUSY_ITERATION_MS
    ? IdleVerdict.LookAgain
    : IdleVerdict.Close;
}
