/**
 * How far the sendings of an order got. Refusals are derived from this record,
 * never from an error, so that "not run" is said only when it is true.
 */

/** The furthest point that one sending reached. */
export enum AttemptProgress {
  /** No byte of the request left this process for a connected server. */
  NotSent = "not_sent",
  /** The request may have reached the server; nothing is known of it. */
  Sent = "sent",
  /** The server said that it did not run the request and never will. */
  KnownNotRun = "known_not_run",
  /** The server answered or sent a part of the answer. */
  KnownRun = "known_run",
}

/** Whether an order can have run, given all its sendings. */
export function mayHaveRun(attempts: readonly AttemptProgress[]): boolean {
  return attempts.some((progress) =>
    progress === AttemptProgress.Sent || progress === AttemptProgress.KnownRun
  );
}

/**
 * Whether an order may be sent once more.
 *
 * @param mayRepeat whether running the order again does no harm
 */
export function canRetry(
  attempts: readonly AttemptProgress[],
  mayRepeat: boolean,
): boolean {
  return mayRepeat || !mayHaveRun(attempts);
}
