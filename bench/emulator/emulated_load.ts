/** The load of an emulation: when requests arrive, and at which entry. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RequestKind } from "../../src/request/proxy_request.ts";
import type { LatencyTarget } from "./emulated_caller.ts";

/** A class of requests with the same sizes and targets. */
export interface RequestClass extends LatencyTarget {
  readonly name: string;
  /** `Stream` if absent. */
  readonly kind?: RequestKind;
  /**
   * Delay beyond Retry-After before a refused request is retried, once, in ms;
   * no retry if absent.
   */
  readonly retryDelayMs?: number;
  /** Mean arrivals per second, over all entries. */
  readonly arrivalsPerS: number;
  /** Periods with a higher arrival rate. */
  readonly bursts?: readonly Burst[];
  readonly promptTokens: number;
  readonly eventCount: number;
  /** Longest time until the request's deadline, in ms. */
  readonly deadlineMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Customers that send it, in equal shares. */
  readonly customers: readonly string[];
}

/** A period in which the arrival rate of a class is multiplied. */
export interface Burst {
  /** Factor on the arrival rate. */
  readonly factor: number;
  /** Start and end, in ms since the start of the load. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** What determines the arrivals. */
export interface LoadOptions {
  readonly entries: number;
  /** Relative share of the arrivals at each entry; all 1 if absent. */
  readonly entryWeights?: readonly number[];
  readonly classes: readonly RequestClass[];
  readonly seed: number;
  /** Duration of the load, in ms. */
  readonly durationMs: number;
}

/** One arriving request. */
export interface Arrival {
  /** Time since the start of the load, in ms. */
  readonly atMs: number;
  readonly requestClass: RequestClass;
  /** Index of the entry that receives it. */
  readonly entry: number;
  /** Index of the request within its class. */
  readonly index: number;
}

const MS_PER_S = 1_000;

/** Returns a seed's arrivals, which do not depend on how they are served. */
export function scheduleArrivals(options: LoadOptions): readonly Arrival[] {
  const {
    classes,
    entries,
    seed,
    durationMs,
    entryWeights,
  } = options;
  const random = xoroshiro128plus(seed);
  const shares = entryWeights ?? Array.from({ length: entries }, () => 1);
  const total = shares.reduce((sum, share) => sum + share, 0);
  const drawEntry = () => {
    let remaining = uniformFloat64(random) * total;
    return shares.findIndex((share) => (remaining -= share) < 0);
  };
  const arrivals: Arrival[] = [];
  for (const requestClass of classes) {
    let atMs = 0;
    for (let index = 0;; index++) {
      const ratePerS = arrivalRateAt(requestClass, atMs);
      const gapS = -Math.log(1 - uniformFloat64(random)) / ratePerS;
      atMs += gapS * MS_PER_S;
      if (atMs >= durationMs) break;
      arrivals.push({
        atMs,
        requestClass,
        entry: Math.max(0, drawEntry()),
        index,
      });
    }
  }
  return arrivals;
}

function arrivalRateAt(
  { arrivalsPerS, bursts = [] }: RequestClass,
  atMs: number,
) {
  const burst = bursts.find(({ fromMs, toMs }) =>
    atMs >= fromMs && atMs < toMs
  );
  return arrivalsPerS * (burst?.factor ?? 1);
}
