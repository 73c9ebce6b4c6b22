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
  /** Whether the attempt itself was a reattachment. */
  readonly wasReattached: boolean;
  /** Whether it reattached to a cursor's stream, perhaps of another entry. */
  readonly isFromCursor: boolean;
  /** Whether its stream produced no token. */
  readonly isSilent: boolean;
}

/** Returns how to recover from a failed attempt. */
export function chooseRecovery(attempt: FailedAttempt): RecoveryStep {
  return match(attempt)
    .with({
      lossCause: P.union(FailureCause.Closed, FailureCause.PositionGap),
      wasReattached: false,
    }, () => RecoveryStep.Reattach)
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
