/** Decides how long a caller's kept connection may stay idle. */

/** An idle connection, and what its caller was told. */
export interface IdleConnection {
  /** Idle limit that the last response stated, in ms. */
  readonly promisedMs: number;
  /** When the last response ended, on the monotonic clock in ms. */
  readonly idleSinceMs: number;
}

/** Time beyond the limit for requests that are already on their way, in ms. */
export const IDLE_MARGIN_MS = 500;

/**
 * Returns how much longer a connection must stay open, in ms; 0 or less if it
 * may be closed. A caller may go by what it was told or by the limit in force.
 */
export function remainingIdleMs(
  { promisedMs, idleSinceMs }: IdleConnection,
  { limitMs, nowMs }: {
    /** Idle limit in force, in ms. */
    readonly limitMs: number;
    readonly nowMs: number;
  },
): number {
  const keptMs = Math.max(promisedMs, limitMs) + IDLE_MARGIN_MS;
  return idleSinceMs + keptMs - nowMs;
}
