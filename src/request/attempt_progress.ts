/**
 * How far the attempts of a request got. The error type that a caller sees is
 * derived from this, not from an exception, so that "not run" is reported only
 * when it is true.
 */

/** The furthest point that one attempt reached. */
export enum AttemptProgress {
  /** No byte of the request was sent to a connected server. */
  NotSent = "not_sent",
  /** The request may have reached the server; its outcome is unknown. */
  Sent = "sent",
  /** The server reported that it did not run the request and never will. */
  KnownNotRun = "known_not_run",
  /** The server sent a response or part of one. */
  KnownRun = "known_run",
}

/** Whether any attempt of a request may have run it. */
export function mayHaveRun(attempts: readonly AttemptProgress[]): boolean {
  return attempts.some((progress) =>
    progress === AttemptProgress.Sent || progress === AttemptProgress.KnownRun
  );
}

/**
 * Whether a request may be sent again.
 *
 * @param mayRepeat whether it is safe to run the request more than once
 */
export function canRetry(
  attempts: readonly AttemptProgress[],
  mayRepeat: boolean,
): boolean {
  return mayRepeat || !mayHaveRun(attempts);
}
