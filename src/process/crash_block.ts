/**
 * Refusals that follow from an explanation of crashes: how long they last, and
 * their immutable form for other entries and for storage.
 */

import { hashParts } from "../hashing.ts";
import type { CrashCause } from "../ids.ts";
import {
  type CrashedRun,
  RunStage,
  type ServerCrash,
  stageOf,
  suspectsOf,
} from "./crash_evidence.ts";
import type { Explanation } from "./crash_explanation.ts";

/** One crash that a block follows from. */
export interface BlockCrash {
  /** Identifies one start of a server. */
  readonly server: string;
  readonly zone: string;
  /** On the monotonic clock, in ms. */
  readonly atMs: number;
  /** How far the run had come that crashed the server. */
  readonly stage: RunStage;
  /** Stands for the id of the request that ran. */
  readonly request: string;
  /** How long it had run, in ms; absent if unknown. */
  readonly ranMs?: number;
}

/** Requests with all of the causes are refused. */
export interface CrashBlock {
  /** Identifies the set of causes. */
  readonly key: string;
  /** Names of the causes, sorted. */
  readonly causes: readonly CrashCause[];
  /** Weight of the crashes. */
  readonly score: number;
  /** Part of all crashes with the causes that no sound run has refuted. */
  readonly rate: number;
  /** The last crashes, oldest first; at most `BLOCK_CRASHES_MAX`. */
  readonly crashes: readonly BlockCrash[];
  /** Since when requests are refused, on the monotonic clock in ms. */
  readonly sinceMs: number;
  /** When a request that an entry has claimed may run, on the same clock. */
  readonly trialMs: number;
  /** When a request may run at any entry, on the same clock. */
  readonly untilMs: number;
}

/** Crashes kept for one block. */
export const BLOCK_CRASHES_MAX = 8;
/**
 * Time from the last crash until requests may run again, by the number of
 * trials that have crashed a server, in ms.
 */
const BLOCK_MS: readonly number[] = [60_000, 600_000, 6_000_000, 60_000_000];
/** Part of that time after which one entry may try a request. */
const TRIAL_RATIO = 1 / 6;
const KEY_CHARACTERS = 16;

/** Returns the block that follows from an explanation. */
export function createBlock(explanation: Explanation): CrashBlock {
  const { causes, crashes, score, rate, sinceMs } = explanation;
  const requests = countRequests(explanation);
  let failedTrials = 0;
  let lastMs = sinceMs;
  for (const { atMs } of crashes) {
    if (atMs >= lastMs + blockMs(failedTrials) * TRIAL_RATIO) failedTrials++;
    lastMs = Math.max(lastMs, atMs);
  }
  return {
    key: hashParts(causes).slice(0, KEY_CHARACTERS),
    causes,
    score,
    rate,
    crashes: crashes.slice(-BLOCK_CRASHES_MAX).map((crash) => {
      const run = mostFrequent(holdersOf(crash, causes), requests);
      return {
        server: crash.server,
        zone: crash.zone,
        atMs: crash.atMs,
        stage: stageOf(crash),
        request: run?.request ?? "",
        ...run?.ranMs !== undefined && { ranMs: run.ranMs },
      };
    }),
    sinceMs,
    trialMs: lastMs + blockMs(failedTrials) * TRIAL_RATIO,
    untilMs: lastMs + blockMs(failedTrials),
  };
}

/** Returns a block's crashes as evidence. */
export function crashesOf(
  { causes, crashes }: Pick<CrashBlock, "causes" | "crashes">,
): readonly ServerCrash[] {
  return crashes.map(({ server, zone, atMs, ...run }) => ({
    server,
    zone,
    atMs,
    runs: [{ ...run, causes }],
  }));
}

/** Number of requests whose runs are the evidence. */
export function requestCount(explanation: Explanation): number {
  return countRequests(explanation).size;
}

function blockMs(failedTrials: number): number {
  return BLOCK_MS[Math.min(failedTrials, BLOCK_MS.length - 1)] ?? 0;
}

function countRequests(
  { causes, crashes }: Explanation,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  const runs = crashes.flatMap((crash) => holdersOf(crash, causes));
  for (const { request } of runs) {
    counts.set(request, (counts.get(request) ?? 0) + 1);
  }
  return counts;
}

/** Returns the suspected runs with the causes, or else all of them. */
function holdersOf(
  crash: ServerCrash,
  causes: readonly CrashCause[],
): readonly CrashedRun[] {
  const suspects = suspectsOf(crash);
  const holders = suspects.filter((run) =>
    causes.every((cause) => run.causes.includes(cause))
  );
  return holders.length > 0 ? holders : suspects;
}

function mostFrequent(
  runs: readonly CrashedRun[],
  counts: ReadonlyMap<string, number>,
): CrashedRun | undefined {
  const count = ({ request }: CrashedRun) => counts.get(request) ?? 0;
  return runs.toSorted((a, b) => count(b) - count(a))[0];
}
