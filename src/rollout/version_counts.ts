/** Counts the responses of two versions of a service. */

import { BIN_COUNT, latencyBinOf, sumOf } from "./latency_bins.ts";
import type { ResponseCounts, VersionCounts } from "./types.ts";

/** A response, or the part of it that was awaited, as it is counted. */
export interface ObservedResponse {
  readonly aspect: string;
  /** Whether the new version sent it. */
  readonly isCandidate: boolean;
  readonly server: string;
  /** In ms; `undefined` if the response reports a failure. */
  readonly latencyMs: number | undefined;
}

/** Servers named in the counts; two show that it is not one server's fault. */
export const COUNTED_SERVERS_MAX = 2;
/** Most aspects that are counted: two for each of a service's routes. */
export const ASPECTS_MAX = 64;

const NO_RESPONSES: ResponseCounts = {
  bins: Array.from({ length: BIN_COUNT }, () => 0),
  failures: 0,
  failedServers: [],
  servers: [],
};

/** Returns the counts with a further response. */
export function addResponse(
  counts: readonly VersionCounts[],
  response: ObservedResponse,
): readonly VersionCounts[] {
  const { aspect, isCandidate } = response;
  const at = counts.findIndex((known) => known.aspect === aspect);
  if (at === -1 && counts.length === ASPECTS_MAX) return counts;
  const known = counts[at] ??
    { aspect, baseline: NO_RESPONSES, candidate: NO_RESPONSES };
  const added = isCandidate
    ? { ...known, candidate: countResponse(known.candidate, response) }
    : { ...known, baseline: countResponse(known.baseline, response) };
  return at === -1 ? [...counts, added] : counts.with(at, added);
}

function countResponse(
  counts: ResponseCounts,
  { server, latencyMs }: ObservedResponse,
): ResponseCounts {
  const servers = addServers(counts.servers, [server]);
  if (latencyMs === undefined) {
    return {
      ...counts,
      servers,
      failures: counts.failures + 1,
      failedServers: addServers(counts.failedServers, [server]),
    };
  }
  const bin = latencyBinOf(latencyMs);
  const bins = counts.bins.with(bin, (counts.bins[bin] ?? 0) + 1);
  return { ...counts, servers, bins };
}

/** Returns the sum of several counts by aspect. */
export function sumCounts(
  summands: Iterable<readonly VersionCounts[]>,
): readonly VersionCounts[] {
  const sums = new Map<string, { baseline: Sum; candidate: Sum }>();
  for (const counts of summands) {
    for (const { aspect, baseline, candidate } of counts) {
      const sum = sums.get(aspect) ??
        { baseline: createSum(), candidate: createSum() };
      sums.set(aspect, sum);
      addToSum(sum.baseline, baseline);
      addToSum(sum.candidate, candidate);
    }
  }
  return [...sums].map(([aspect, sum]) => ({ aspect, ...sum }));
}

/** Counts that are added up in place. */
interface Sum extends ResponseCounts {
  readonly bins: number[];
  failures: number;
  failedServers: readonly string[];
  servers: readonly string[];
}

function createSum(): Sum {
  return { ...NO_RESPONSES, bins: [...NO_RESPONSES.bins] };
}

function addToSum(sum: Sum, counts: ResponseCounts): void {
  for (let bin = 0; bin < BIN_COUNT; bin++) {
    sum.bins[bin] = (sum.bins[bin] ?? 0) + (counts.bins[bin] ?? 0);
  }
  sum.failures += counts.failures;
  sum.failedServers = addServers(sum.failedServers, counts.failedServers);
  sum.servers = addServers(sum.servers, counts.servers);
}

function addServers(
  known: readonly string[],
  added: readonly string[],
): readonly string[] {
  if (known.length === COUNTED_SERVERS_MAX) return known;
  return [...new Set([...known, ...added])].slice(0, COUNTED_SERVERS_MAX);
}

/** Returns the number of responses, failures included. */
export function responseCount({ bins, failures }: ResponseCounts): number {
  return sumOf(bins) + failures;
}
