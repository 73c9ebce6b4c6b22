/** Decides how a generation goes on after the loss of an attempt. */

import { match, P } from "ts-pattern";
import { FailureCause } from "../errors.ts";

/** What is done after a loss. */
export enum RecoveryStep {
  /** Read on in the same stream, which may still run. */
  Reattach = "reattach",
  /** Blame the request for the server's death, then start elsewhere. */
  SuspectRequest = "blame_server_loss",
  /** Wait a moment, then start elsewhere; the server is well. */
  RetryElsewhere = "try_elsewhere",
  /** Take a stream back that gave nothing, then start elsewhere. */
  CancelStream = "withdraw",
  /** Keep the server out of new work, then start elsewhere. */
  EjectServer = "abandon",
}

/** What is known of a lost attempt. */
export interface FailedAttempt {
  readonly lossCause: FailureCause;
  /** It was itself a reattachment. */
  readonly wasReattached: boolean;
  /** It read on in the stream of a caller's cursor, from another entry. */
  readonly isFromCursor: boolean;
  /** Its stream gave no token. */
  readonly isSilent: boolean;
}

/** Returns the step after a loss. */
export function chooseRecovery(lost: FailedAttempt): RecoveryStep {
  return match(lost)
    .with({
      lossCause: P.union(FailureCause.Closed, FailureCause.PositionGap),
      wasReattached: false,
    }, () => RecoveryStep.Reattach)
    // The engine has given the stream up because nobody read it.
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
        lossCause: P.union(FailureCause.Rejected, FailureCause.VersionMismatch),
      },
      () => RecoveryStep.RetryElsewhere,
    )
    .with(
      { lossCause: FailureCause.Stalled, isSilent: true },
      () => RecoveryStep.CancelStream,
    )
    .otherwise(() => RecoveryStep.EjectServer);
}
