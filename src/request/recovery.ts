/** Decides how a generation goes on after the loss of an attempt. */

import { match, P } from "ts-pattern";
import { LossCause } from "../errors.ts";

/** What is done after a loss. */
export enum RecoveryStep {
  /** Read on in the same stream, which may still run. */
  Reattach = "reattach",
  /** Blame the request for the server's death, then start elsewhere. */
  BlameServerLoss = "blame_server_loss",
  /** Wait a moment, then start elsewhere; the server is well. */
  TryElsewhere = "try_elsewhere",
  /** Take a stream back that gave nothing, then start elsewhere. */
  Withdraw = "withdraw",
  /** Keep the server out of new work, then start elsewhere. */
  Abandon = "abandon",
}

/** What is known of a lost attempt. */
export interface LostAttempt {
  readonly lossCause: LossCause;
  /** It was itself a reattachment. */
  readonly wasReattached: boolean;
  /** It read on in the stream of a caller's cursor, from another entry. */
  readonly isFromCursor: boolean;
  /** Its stream gave no token. */
  readonly isSilent: boolean;
}

/** Returns the step after a loss. */
export function chooseRecovery(lost: LostAttempt): RecoveryStep {
  return match(lost)
    .with({
      lossCause: P.union(LossCause.Closed, LossCause.Gap),
      wasReattached: false,
    }, () => RecoveryStep.Reattach)
    // The engine has given the stream up because nobody read it.
    .with(
      { lossCause: LossCause.Refused, isFromCursor: true },
      () => RecoveryStep.TryElsewhere,
    )
    .with({
      lossCause: P.union(LossCause.Unreachable, LossCause.Refused),
      wasReattached: true,
    }, () => RecoveryStep.BlameServerLoss)
    .with(
      { lossCause: P.union(LossCause.Refused, LossCause.WrongVersion) },
      () => RecoveryStep.TryElsewhere,
    )
    .with(
      { lossCause: LossCause.Stalled, isSilent: true },
      () => RecoveryStep.Withdraw,
    )
    .otherwise(() => RecoveryStep.Abandon);
}
