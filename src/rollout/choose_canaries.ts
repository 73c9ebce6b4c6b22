/**
 * Chooses the servers of a new version that get its share of the requests.
 *
 * Answers the load of a small share over many idle servers: a fault that shows
 * only under load would show when all requests have moved. Each server that is
 * chosen gets as many requests as a server of the old version, if need be in
 * pulses of the same share on average.
 */

import { hashParts } from "../hashing.ts";

/** Input of `chooseCanaries`. */
export interface CanaryOptions {
  /** The new version's servers that can be used, as by `orderCandidates`. */
  readonly candidates: readonly string[];
  /** Number of the old version's servers that can be used. */
  readonly baselineCount: number;
  /** Share of the requests for the new version, on average. */
  readonly share: number;
  /** Time since the order, in ms. */
  readonly elapsedMs: number;
}

/** The servers that get requests now. */
export interface Canaries {
  readonly servers: ReadonlySet<string>;
  /** Probability that a request goes to them; 0 between two pulses. */
  readonly probability: number;
}

/** Time from the start of a pulse to that of the next one, in ms. */
const PULSE_INTERVAL_MS = 2_000;
/**
 * Time after which other servers get the requests, in ms: longer than most
 * streams wait for their first event, so that each server gets its full load.
 */
const ROTATION_INTERVAL_MS = 4_000;

/** Returns servers in an order that depends on `key`, the same at all entries. */
export function orderCandidates(
  candidates: readonly string[],
  key: string,
): readonly string[] {
  return candidates
    .map((name) => ({ name, hash: hashParts([key, name]) }))
    .sort((a, b) => (a.hash < b.hash ? -1 : 1))
    .map(({ name }) => name);
}

/** Returns the servers of the new version that get requests now. */
export function chooseCanaries(
  { candidates, baselineCount, share, elapsedMs }: CanaryOptions,
): Canaries {
  if (candidates.length === 0) return { servers: new Set(), probability: 0 };
  const count = Math.max(
    1,
    Math.min(candidates.length, Math.ceil(share * baselineCount)),
  );
  const first = Math.floor(elapsedMs / ROTATION_INTERVAL_MS) * count;
  const servers = Array.from(
    { length: count },
    (_, at) => candidates[(first + at) % candidates.length] ?? "",
  );
  const probability = count / (count + baselineCount);
  const openMs = PULSE_INTERVAL_MS * Math.min(1, share / probability);
  const isOpen = elapsedMs % PULSE_INTERVAL_MS < openMs;
  return {
    servers: new Set(servers),
    probability: isOpen ? probability : 0,
  };
}
