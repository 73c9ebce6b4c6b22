/** How long a server that was lost gets no new work. */

/** How a server was lost, as far as it decides when it is tried again. */
export enum ServerFailure {
  /** The process that was listed no longer has the address. */
  Replaced = "replaced",
  /** Nothing listens, or nothing answered a connection. */
  Unreachable = "unreachable",
  /** A connection broke or fell silent. */
  Broken = "broken",
  /** A call got no answer, and nothing else speaks against the server. */
  Unanswered = "unanswered",
}

/** Answers that a server lost of late, as this entry saw it. */
export interface UnansweredCalls {
  readonly count: number;
  /** When the last one was lost, on the monotonic clock in ms. */
  readonly lastMs: number;
}

/** No answer was lost. */
export const NO_UNANSWERED_CALLS: UnansweredCalls = {
  count: 0,
  lastMs: -Infinity,
};

/** How long a server gets no new work after a loss, in ms. */
const AVOID_MS: Readonly<Record<ServerFailure, number>> = {
  // Only a new entry in the list makes it usable again.
  [ServerFailure.Replaced]: Number.POSITIVE_INFINITY,
  // Crashed servers are back after 1 to 5 s, as a new incarnation in the list.
  [ServerFailure.Unreachable]: 4_000,
  [ServerFailure.Broken]: 600,
  [ServerFailure.Unanswered]: 600,
};
/** How much longer a server is avoided after each further lost answer. */
const UNANSWERED_GROWTH = 2;
/** Longest avoidance of a server that lives, in ms; as for one that is dead. */
const UNANSWERED_MAX_MS = AVOID_MS[ServerFailure.Unreachable];
/** Time without a lost answer after which the earlier ones no longer count, in ms. */
const LOST_ANSWERS_MEMORY_MS = 10_000;

/** Avoidances up to this may come from a broken connection alone, in ms. */
export const BROKEN_EJECTION_MS = AVOID_MS[ServerFailure.Broken];

/** Counts one more lost answer at `nowMs`. */
export function addUnansweredCall(
  { count, lastMs }: UnansweredCalls,
  nowMs: number,
): UnansweredCalls {
  const isRecent = nowMs - lastMs < LOST_ANSWERS_MEMORY_MS;
  return { count: isRecent ? count + 1 : 1, lastMs: nowMs };
}

/**
 * Returns how long a server gets no new work after a loss, in ms. A server that
 * loses some answers still gives most, so it is avoided by how often that was.
 */
export function ejectionDurationMs(
  loss: ServerFailure,
  { count }: UnansweredCalls,
): number {
  const ms = AVOID_MS[loss];
  if (loss !== ServerFailure.Unanswered) return ms;
  return Math.min(ms * UNANSWERED_GROWTH ** (count - 1), UNANSWERED_MAX_MS);
}
