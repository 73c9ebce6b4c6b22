/** Decides how a roll-out goes on. */

import { Verdict } from "./judge_version.ts";
import { RolloutStage } from "./types.ts";

/** What the decision follows from. */
export interface RolloutProgress {
  readonly stage: RolloutStage;
  readonly verdict: Verdict;
  readonly durationMs: number;
  /** Time since the order, in ms. */
  readonly elapsedMs: number;
  /** Time since the stage began, in ms. */
  readonly stageElapsedMs: number;
  /** Whether this entry decides for all. */
  readonly isDecider: boolean;
}

/** Part of the duration for which a version is observed. */
const OBSERVED_FRACTION = 0.7;
/** Part of the duration, at most in ms, in which streams move. */
const PROMOTED_FRACTION = 0.15;
const PROMOTED_MAX_MS = 4_000;
/** Part of the duration by which the order has to end. */
const END_FRACTION = 0.95;

/**
 * Returns the next stage, or the present one. Any entry may roll back; one
 * decides for all when to go on.
 */
export function planRollout(progress: RolloutProgress): RolloutStage {
  const { stage, verdict, elapsedMs, durationMs, isDecider } = progress;
  const isOpen = stage < RolloutStage.RolledBack;
  if (isOpen && verdict === Verdict.Bad) return RolloutStage.RolledBack;
  if (!isDecider) return stage;
  const isOverdue = elapsedMs >= END_FRACTION * durationMs;
  if (stage === RolloutStage.Observing) {
    if (elapsedMs < OBSERVED_FRACTION * durationMs) return stage;
    if (verdict === Verdict.Good) return RolloutStage.Promoting;
    return isOverdue ? RolloutStage.RolledBack : stage;
  }
  if (stage !== RolloutStage.Promoting) return stage;
  const promotedMs = Math.min(PROMOTED_MAX_MS, PROMOTED_FRACTION * durationMs);
  const isPromoted = isOverdue || progress.stageElapsedMs >= promotedMs;
  return isPromoted ? RolloutStage.Completed : stage;
}
