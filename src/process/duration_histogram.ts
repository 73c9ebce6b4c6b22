/** Distributions of durations, as HDR histograms. */

import { build, type Histogram } from "hdr-histogram-js";

/** Percentiles of a distribution, in ms, and the number of its values. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly max: number;
  readonly count: number;
}

const MICROS_PER_MS = 1_000;

/** Records durations and computes percentiles. */
export class DurationHistogram {
  readonly #histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });

  private constructor() {}

  /** Creates an empty histogram. */
  static create(): DurationHistogram {
    return new DurationHistogram();
  }

  /** Records a duration in ms. */
  record(durationMs: number): void {
    const micros = Math.max(0, Math.round(durationMs * MICROS_PER_MS));
    this.#histogram.recordValue(micros);
  }

  /** Returns the percentiles in ms. */
  percentiles(): Percentiles {
    const at = (percentile: number) =>
      this.#histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
    return {
      p50: at(50),
      p95: at(95),
      max: this.#histogram.maxValue / MICROS_PER_MS,
      count: this.#histogram.totalCount,
    };
  }
}
