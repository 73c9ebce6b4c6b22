/** The load of an emulation: which requests come when, at which entry. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RequestKind } from "../../src/request/proxy_request.ts";
import type { LatencyTarget } from "./emulated_caller.ts";

/** One kind of request of a load. */
export interface RequestClass extends LatencyTarget {
  readonly name: string;
  /** A stream if absent. */
  readonly kind?: RequestKind;
  /**
   * Time beyond Retry-After until a refused caller comes back, which it does
   * once, in ms; never if absent.
   */
  readonly retryDelayMs?: number;
  /** Mean arrivals in a second, over all entries. */
  readonly arrivalsPerS: number;
  /** Times in which more arrive. */
  readonly bursts?: readonly Burst[];
  readonly promptTokens: number;
  readonly eventCount: number;
  /** Longest time to the end, in ms. */
  readonly deadlineMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Customers that send it alike. */
  readonly customers: readonly string[];
}

/** A time in which a class arrives more often. */
export interface Burst {
  /** How many times as often. */
  readonly factor: number;
  /** From the start, in ms. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** What decides when requests come. */
export interface LoadOptions {
  readonly entries: number;
  /** Relative shares of the entries in the arrivals; all 1 if absent. */
  readonly entryWeights?: readonly number[];
  readonly classes: readonly RequestClass[];
  readonly seed: number;
  /** Time in which requests arrive, in ms. */
  readonly durationMs: number;
}

/** One request that comes. */
export interface Arrival {
  /** From the start, in ms. */
  readonly atMs: number;
  readonly requestClass: RequestClass;
  /** Index of the entry that gets it. */
  readonly entry: number;
  /** Counts the requests of its class. */
  readonly index: number;
}

const MS_PER_S = 1_000;

/** Returns seeded arrivals, which do not depend on how requests are served. */
export function scheduleArrivals(options: LoadOptions): readonly Arrival[] {
  const {
    classes,
    entries,
    seed,
    durationMs: lengthMs,
    entryWeights: weights,
  } = options;
  const random = xoroshiro128plus(seed);
  const shares = weights ?? Array.from({ length: entries }, () => 1);
  const total = shares.reduce((sum, share) => sum + share, 0);
  const drawEntry = () => {
    let left = uniformFloat64(random) * total;
    return shares.findIndex((share) => (left -= share) < 0);
  };
  const arrivals: Arrival[] = [];
  for (const kind of classes) {
    let atMs = 0;
    for (let index = 0;; index++) {
      const rate = rateAt(kind, atMs);
      const gap = -Math.log(1 - uniformFloat64(random)) / rate;
      atMs += gap * MS_PER_S;
      if (atMs >= lengthMs) break;
      arrivals.push({
        atMs,
        requestClass: kind,
        entry: Math.max(0, drawEntry()),
        index,
      });
    }
  }
  return arrivals;
}

function rateAt(
  { arrivalsPerS: perSecond, bursts = [] }: RequestClass,
  atMs: number,
) {
  const burst = bursts.find(({ fromMs, toMs }) =>
    atMs >= fromMs && atMs < toMs
  );
  return perSecond * (burst?.factor ?? 1);
}
