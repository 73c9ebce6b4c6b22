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
];
