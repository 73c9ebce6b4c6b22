/** How long a server is ejected after a failure. */

/** Kinds of server failure that differ in the time until a retry. */
export enum ServerFailure {
  /** The listed process no longer has the address. */
  Replaced = "replaced",
  /** Nothing listens. */
  Unreachable = "unreachable",
  /** Neither a connection nor a report in time; it may recover. */
  Silent = "silent",
  /** Silent for seconds; reported to peers. */
  Unresponsive = "dark",
  /** A connection broke or timed out without data. */
  Broken = "broken",
  /** A call got no response, without other signs of failure. */
  Unanswered = "unanswered",
}

/** Recent calls to a server that got no response, as this entry saw them. */
export interface UnansweredCalls {
  readonly count: number;
  /** When the last one failed, on the monotonic clock in ms. */
  readonly lastMs: number;
}

/** No unanswered calls. */
export const NO_UNANSWERED_CALLS: UnansweredCalls = {
  count: 0,
  lastMs: -Infinity,
};

/** Ejection after a failure, in ms. */
const EJECTION_MS: Readonly<Record<ServerFailure, number>> = {
  // Only a new record in the platform's list makes the server usable again.
  [ServerFailure.Replaced]: Number.POSITIVE_INFINITY,
  // Crashed servers return after 1 to 5 s, listed as a new incarnation.
  [ServerFailure.Unreachable]: 4_000,
  // Renewed while the server is silent.
  [ServerFailure.Silent]: 600,
  [ServerFailure.Unresponsive]: 4_000,
  [ServerFailure.Broken]: 600,
  [ServerFailure.Unanswered]: 600,
};
/** Growth of the ejection time per further unanswered call. */
const UNANSWERED_GROWTH_FACTOR = 2;
/**
 * Longest ejection for unanswered calls, in ms: that of an unreachable server.
 */
const UNANSWERED_EJECTION_MAX_MS = EJECTION_MS[ServerFailure.Unreachable];
/** A server active this recently is not ejected on a peer's report, in ms. */
const RECENT_ACTIVITY_MS = 400;
/** Time without unanswered calls that resets their count, in ms. */
const UNANSWERED_RESET_MS = 10_000;

/** Longest remaining ejection explained by a broken connection alone, in ms. */
export const BROKEN_EJECTION_MS = EJECTION_MS[ServerFailure.Broken];

/** Until when a server is ejected, and the calls that lengthen it. */
export interface Ejection {
  /** End of the ejection, on the monotonic clock in ms. */
  readonly ejectedUntilMs: number;
  readonly unansweredCalls: UnansweredCalls;
}

/** Adds an unanswered call at `nowMs`. */
export function addUnansweredCall(
  { count, lastMs }: UnansweredCalls,
  nowMs: number,
): UnansweredCalls {
  const isRecent = nowMs - lastMs < UNANSWERED_RESET_MS;
  return { count: isRecent ? count + 1 : 1, lastMs: nowMs };
}

/**
 * Returns the ejection time after a failure, in ms. A server that leaves some
 * calls unanswered still answers most, so its ejection grows with their number.
 */
export function ejectionDurationMs(
  failure: ServerFailure,
  { count }: UnansweredCalls,
): number {
  const baseMs = EJECTION_MS[failure];
  if (failure !== ServerFailure.Unanswered) return baseMs;
  return Math.min(
    baseMs * UNANSWERED_GROWTH_FACTOR ** (count - 1),
    UNANSWERED_EJECTION_MAX_MS,
  );
}

/**
 * Returns the ejection of a server after a failure, with the time that this
 * failure ejects it for, in ms. It never ends before an earlier one.
 */
export function extendEjection(
  { ejectedUntilMs, unansweredCalls }: Ejection,
  { failure, nowMs }: {
    readonly failure: ServerFailure;
    /** Monotonic clock, in ms. */
    readonly nowMs: number;
  },
): Ejection & { readonly durationMs: number } {
  // Calls in flight when the server was ejected are no new evidence.
  const isNewEvidence = failure === ServerFailure.Unanswered &&
    ejectedUntilMs <= nowMs;
  const countedCalls = isNewEvidence
    ? addUnansweredCall(unansweredCalls, nowMs)
    : unansweredCalls;
  const durationMs = ejectionDurationMs(failure, countedCalls);
  return {
    ejectedUntilMs: Math.max(ejectedUntilMs, nowMs + durationMs),
    unansweredCalls: countedCalls,
    durationMs,
  };
}

/**
 * Whether a server that a peer entry found unreachable is ejected: not if it is
 * already, or was active recently.
 */
export function shouldApplyPeerEjection(
  { ejectedUntilMs, lastActivityMs }: {
    /** End of its ejection, on the monotonic clock in ms. */
    readonly ejectedUntilMs: number;
    /** When data was last received from it, on the same clock. */
    readonly lastActivityMs: number;
  },
  nowMs: number,
): boolean {
  return ejectedUntilMs <= nowMs &&
    nowMs - lastActivityMs >= RECENT_ACTIVITY_MS;
}
