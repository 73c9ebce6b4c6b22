/**
 * Judges a new version of a service by its responses, compared with those of
 * the old version in the same time.
 *
 * Answers the load of hundreds of entries that each see a few responses, of a
 * version of which only part of the responses on one route is bad, while
 * servers of both versions fail for other reasons.
 */

import { gammaln } from "simple-statistics";
import { binAtRatio, medianBin, sumOf } from "./latency_bins.ts";
import type { ResponseCounts, VersionCounts } from "./types.ts";
import { responseCount } from "./version_counts.ts";

/** What the responses show of a new version. */
export enum Verdict {
  /** Too few responses, or a difference that may be chance. */
  Undecided = "undecided",
  Good = "good",
  Bad = "bad",
}

/** A verdict with the comparison that it follows from. */
export interface Judgement {
  readonly verdict: Verdict;
  /** The route, or measure, that differs most; empty without responses. */
  readonly aspect: string;
  readonly candidate: Share;
  readonly baseline: Share;
}

/** Bad responses of all responses. */
interface Share {
  readonly bad: number;
  readonly total: number;
}

interface Comparison {
  readonly aspect: string;
  readonly candidate: Share;
  readonly baseline: Share;
  /** Least difference of the shares that counts. */
  readonly minDifference: number;
  /** Probability of so many bad responses if the versions are equal. */
  readonly probability: number;
  /** Whether it may be the fault of a single server. */
  readonly isOneServer: boolean;
}

/** Slow responses take at least so many times the old version's median. */
const SLOW_RATIO = 2.5;
/**
 * Probability below which a version is bad. Each entry judges five times a
 * second for some ten seconds, so it has to be far below 1 in 100.
 */
const BAD_PROBABILITY = 0.000_1;
/** Probability below which a difference is not yet taken for chance. */
const DOUBTFUL_PROBABILITY = 0.002;
/** Least number of bad responses of a bad version. */
const BAD_RESPONSES_MIN = 5;
/** Least difference of the shares of failures. */
const FAILURE_DIFFERENCE_MIN = 0.05;
/**
 * Least difference of the shares of slow responses. Servers are slow by chance
 * more often than they fail.
 */
const SLOW_DIFFERENCE_MIN = 0.2;
/** Responses of a version without which it can't be called good. */
const RESPONSES_MIN = 12;

/** Judges a version by the counts of all entries. */
export function judgeVersion(counts: readonly VersionCounts[]): Judgement {
  const comparisons = counts.flatMap((counted) => [...compare(counted)])
    .toSorted((a, b) => a.probability - b.probability);
  const worst = comparisons.find(isBad) ?? comparisons[0];
  const responses = Math.max(
    0,
    ...comparisons.map(({ candidate }) => candidate.total),
  );
  return {
    verdict: verdictOf(comparisons, responses),
    aspect: worst?.aspect ?? "",
    candidate: worst?.candidate ?? { bad: 0, total: 0 },
    baseline: worst?.baseline ?? { bad: 0, total: 0 },
  };
}

function verdictOf(
  comparisons: readonly Comparison[],
  responses: number,
): Verdict {
  if (comparisons.some(isBad)) return Verdict.Bad;
  const isDoubtful = comparisons.some((comparison) =>
    comparison.probability < DOUBTFUL_PROBABILITY &&
    differenceOf(comparison) >= comparison.minDifference
  );
  return isDoubtful || responses < RESPONSES_MIN
    ? Verdict.Undecided
    : Verdict.Good;
}

function isBad(comparison: Comparison): boolean {
  return comparison.probability < BAD_PROBABILITY &&
    comparison.candidate.bad >= BAD_RESPONSES_MIN &&
    differenceOf(comparison) >= comparison.minDifference &&
    !comparison.isOneServer;
}

function differenceOf({ candidate, baseline }: Comparison): number {
  return shareOf(candidate) - shareOf(baseline);
}

function shareOf({ bad, total }: Share): number {
  return total === 0 ? 0 : bad / total;
}

/** Yields the comparison of failures, and of slow responses if it is possible. */
function* compare(
  { aspect, baseline, candidate }: VersionCounts,
): Generator<Comparison> {
  const failures = {
    candidate: failureShareOf(candidate),
    baseline: failureShareOf(baseline),
  };
  yield {
    ...failures,
    aspect,
    minDifference: FAILURE_DIFFERENCE_MIN,
    probability: probabilityOf(failures),
    isOneServer: isOneOfSeveral(candidate.failedServers, candidate.servers),
  };
  const median = medianBin(baseline.bins);
  if (median === undefined || sumOf(baseline.bins) < RESPONSES_MIN) return;
  const slowBin = binAtRatio(median, SLOW_RATIO);
  const slow = {
    candidate: slowShareOf(candidate, slowBin),
    baseline: slowShareOf(baseline, slowBin),
  };
  yield {
    ...slow,
    aspect: `${aspect}, latency`,
    minDifference: SLOW_DIFFERENCE_MIN,
    probability: probabilityOf(slow),
    isOneServer: false,
  };
}

function isOneOfSeveral(
  failed: readonly string[],
  all: readonly string[],
): boolean {
  return failed.length < 2 && all.length > 1;
}

function failureShareOf(counts: ResponseCounts): Share {
  return { bad: counts.failures, total: responseCount(counts) };
}

function slowShareOf({ bins }: ResponseCounts, slowBin: number): Share {
  return { bad: sumOf(bins.slice(slowBin)), total: sumOf(bins) };
}

/**
 * Returns the probability of at least as many bad responses of the new version
 * if both versions have the same share: the one-sided exact test of Fisher.
 */
function probabilityOf(
  { candidate, baseline }: {
    readonly candidate: Share;
    readonly baseline: Share;
  },
): number {
  const bad = candidate.bad + baseline.bad;
  const total = candidate.total + baseline.total;
  const all = logCombinations(total, bad);
  let probability = 0;
  const most = Math.min(bad, candidate.total);
  for (let count = candidate.bad; count <= most; count++) {
    if (bad - count > baseline.total) continue;
    probability += Math.exp(
      logCombinations(candidate.total, count) +
        logCombinations(baseline.total, bad - count) - all,
    );
  }
  return Math.min(1, probability);
}

/** Returns the logarithm of the number of ways to choose `count` of `total`. */
function logCombinations(total: number, count: number): number {
  return logFactorial(total) - logFactorial(count) -
    logFactorial(total - count);
}

function logFactorial(value: number): number {
  return gammaln(value + 1);
}
