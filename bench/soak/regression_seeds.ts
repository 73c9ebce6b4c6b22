/** Seeds that have failed; `npm run soak -- --regression` runs them again. */

/** A seed with the duration of its faults and the cause of its failure. */
export interface RegressionSeed {
  readonly seed: number;
  readonly seconds: number;
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
];
