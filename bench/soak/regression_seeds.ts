/** Seeds that failed once; `npm run soak -- --regression` plays them again. */

/** A seed with the size of its run and why it failed. */
export interface RegressionSeed {
  readonly seed: number;
  readonly seconds: number;
  readonly cause: string;
}

/** All of them; none is ever taken out. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 2_007,
    seconds: 12,
    cause: "the proxy let bytes overtake delayed ones when a delay ended",
  },
];
