/** A histogram of latencies that entries can add up. */

/** Upper limit of the first bin, in ms. */
const FIRST_LIMIT_MS = 4;
/** Ratio of the limits of two neighbouring bins. */
const BIN_RATIO = 1.25;
/** Number of bins; the last one has no upper limit and begins at 9.9 s. */
export const BIN_COUNT = 37;

/** Returns the index of a latency's bin. */
export function latencyBinOf(latencyMs: number): number {
  const steps = Math.log(latencyMs / FIRST_LIMIT_MS) / Math.log(BIN_RATIO);
  return Math.max(0, Math.min(BIN_COUNT - 1, Math.ceil(steps)));
}

/** Returns the first bin in which latencies are `ratio` times those in `bin`. */
export function binAtRatio(bin: number, ratio: number): number {
  return bin + Math.ceil(Math.log(ratio) / Math.log(BIN_RATIO));
}

/** Returns the bin of the median; `undefined` for an empty histogram. */
export function medianBin(bins: readonly number[]): number | undefined {
  const half = sumOf(bins) / 2;
  if (half === 0) return undefined;
  let count = 0;
  return bins.findIndex((inBin) => (count += inBin) >= half);
}

/** Returns the sum of numbers. */
export function sumOf(numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0);
}
