/** Decides how a generation continues after an attempt failed. */

import { match, P } from "ts-pattern";
import { FailureCause } from "../errors.ts";

/** The recovery from a failed attempt. */
export enum RecoveryStep {
  /** Continue to read the same stream, which may still run. */
  Reattach = "reattach",
  /** Suspect the request of crashing the server, then retry on another. */
  SuspectRequest = "blame_server_loss",
  /** Retry on another server after a short delay; the server is healthy. */
  RetryElsewhere = "try_elsewhere",
  /** Cancel a stream without output, then retry on another server. */
  CancelStream = "withdraw",
  /** Stop new requests to the server, then retry on another server. */
  EjectServer = "abandon",
}

/** What is known about a failed attempt. */
export interface FailedAttempt {
  readonly lossCause: FailureCause;
  /** Reattachments in a row, the attempt included; 0 if it was started. */
  readonly reattachments: number;
  /** Whether it reattached to a cursor's stream, perhaps of another entry. */
  readonly isFromCursor: boolean;
  /** Whether its stream produced no token. */
  readonly isSilent: boolean;
}

/**
 * Reattachments in a row. A dying server resets the first if its kernel had
 * accepted the connection; only the next is refused and shows the loss.
 */
const REATTACHMENTS_MAX = 2;

/** Returns how to recover from a failed attempt. */
export function chooseRecovery(attempt: FailedAttempt): RecoveryStep {
  const wasReattached = attempt.reattachments > 0;
  return match({ ...attempt, wasReattached })
    .with({
      lossCause: FailureCause.Closed,
      reattachments: P.number.lt(REATTACHMENTS_MAX),
    }, () => RecoveryStep.Reattach)
    .with(
      { lossCause: FailureCause.PositionGap, wasReattached: false },
      () => RecoveryStep.Reattach,
    )
    // The engine ended the stream because it had no reader; it did not crash.
    .with(
      { lossCause: FailureCause.Rejected, isFromCursor: true },
      () => RecoveryStep.RetryElsewhere,
    )
    .with({
      lossCause: P.union(FailureCause.Unreachable, FailureCause.Rejected),
      wasReattached: true,
    }, () => RecoveryStep.SuspectRequest)
    .with(
      {
        lossCause: P.union(
          FailureCause.NoResources,
          FailureCause.Rejected,
          FailureCause.VersionMismatch,
        ),
      },
      () => RecoveryStep.RetryElsewhere,
    )
    .with(
      { lossCause: FailureCause.Stalled, isSilent: true },
      () => RecoveryStep.CancelStream,
    )
    .otherwise(() => RecoveryStep.EjectServer);
}
