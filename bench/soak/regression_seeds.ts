/** Seeds that have failed; `npm run soak -- --regression` runs them again. */

import { SchedulePattern } from "./fault_schedule.ts";

/** A seed to run, with the duration of its faults. */
export interface SoakCase {
  readonly seed: number;
  readonly seconds: number;
  /** Pattern of the faults; the seed chooses one by default. */
  readonly pattern?: SchedulePattern;
}

/** A seed with the cause of its failure. */
export interface RegressionSeed extends SoakCase {
  readonly cause: string;
}

/** All seeds that have failed; none is ever removed. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 2_007,
    seconds: 12,
    cause: "the proxy let bytes overtake delayed ones when a delay ended",
  },
  {
    seed: 52_300,
    seconds: 8,
    cause: "a second SIGTERM ended an entry at once",
  },
  {
    seed: 53_300,
    seconds: 8,
    cause:
      "an entry closed kept connections early after a change of the limits",
  },
  {
    seed: 70_002,
    seconds: 8,
    pattern: SchedulePattern.SlowBodies,
    cause:
      "requests were admitted by their heads, and cut when their bodies ended late",
  },
];
