/** Distributions of durations, by HDR histograms. */

import { build, type Histogram } from "hdr-histogram-js";

/** Percentiles of a distribution, in ms. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly max: number;
  readonly count: number;
}

const MICROSECONDS = 1_000;

/** Collects durations and gives percentiles. */
export class DurationHistogram {
  readonly #histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });

  private constructor() {}

  /** Makes an empty collection. */
  static create(): DurationHistogram {
    return new DurationHistogram();
  }

  /** Adds a duration in ms. */
  record(durationMs: number): void {
    const micros = Math.max(0, Math.round(durationMs * MICROSECONDS));
    this.#histogram.recordValue(micros);
  }

  /** Returns percentiles in ms. */
  percentiles(): Percentiles {
    const at = (percentile: number) =>
      this.#histogram.getValueAtPercentile(percentile) / MICROSECONDS;
    return {
      p50: at(50),
      p95: at(95),
      max: this.#histogram.maxValue / MICROSECONDS,
      count: this.#histogram.totalCount,
    };
  }
}
