/** The load of an emulation: which requests come when, at which entry. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { OrderKind } from "../../src/request/order.ts";
import type { StreamAim } from "./emulated_caller.ts";

/** One kind of request of a load. */
export interface EmulatedClass extends StreamAim {
  readonly name: string;
  /** A stream if absent. */
  readonly kind?: OrderKind;
  /**
   * Time beyond Retry-After until a refused caller comes back, which it does
   * once, in ms; never if absent.
   */
  readonly returnMs?: number;
  /** Mean arrivals in a second, over all entries. */
  readonly perSecond: number;
  /** Times in which more arrive. */
  readonly bursts?: readonly Burst[];
  readonly promptTokens: number;
  readonly events: number;
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
  readonly weights?: readonly number[];
  readonly classes: readonly EmulatedClass[];
  readonly seed: number;
  /** Time in which requests arrive, in ms. */
  readonly lengthMs: number;
}

/** One request that comes. */
export interface Arrival {
  /** From the start, in ms. */
  readonly atMs: number;
  readonly kind: EmulatedClass;
  /** Index of the entry that gets it. */
  readonly entry: number;
  /** Counts the requests of its class. */
  readonly index: number;
}

const MS_PER_S = 1_000;

/** Returns seeded arrivals, which do not depend on how requests are served. */
export function schedule(options: LoadOptions): readonly Arrival[] {
  const { classes, entries, seed, lengthMs, weights } = options;
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
      arrivals.push({ atMs, kind, entry: Math.max(0, drawEntry()), index });
    }
  }
  return arrivals;
}

function rateAt({ perSecond, bursts = [] }: EmulatedClass, atMs: number) {
  const burst = bursts.find(({ fromMs, toMs }) =>
    atMs >= fromMs && atMs < toMs
  );
  return perSecond * (burst?.factor ?? 1);
}
