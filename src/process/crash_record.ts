/**
 * What is known of one possible cause of server crashes: a request, or a part
 * of a prompt. Decides from that whether requests with the cause are refused.
 */

import type { CrashCause } from "../ids.ts";

/** Servers that crashed at about the same time while running the cause. */
export interface Crash {
  /** Each identifies one start of a server. */
  readonly servers: readonly string[];
  /** On the monotonic clock, in ms. */
  readonly atMs: number;
  /** How likely the request is to have caused the crash, from 0 to 1. */
  readonly weight: number;
}

/** The crashes since a request with the cause last succeeded. */
export interface CrashRecord {
  /**
   * Oldest first, at most one for each `SAME_FAILURE_MS`: a cause that several
   * servers have in common, as a zone's failure, crashes them at once.
   */
  readonly crashes: readonly Crash[];
  /**
   * Parts of prompts that each request had which crashed a server with this
   * cause. Any of them may be the actual cause.
   */
  readonly companions: readonly CrashCause[];
  /** Crashes by requests that were let through after a block had ended. */
  readonly failedProbes: number;
  /** When a request was last let through so, in ms; `-Infinity` if never. */
  readonly probeMs: number;
}

/** Weight of all crashes together from which on requests are refused. */
export const CRASH_WEIGHT_LIMIT = 3;
/** The same for crashes that no other cause explains. */
const UNEXPLAINED_WEIGHT_LIMIT = 2;
/** Weight of a crash by a request that was likely its cause. */
const LIKELY_WEIGHT = 1;
/** Crashes this close to each other count once, in ms. */
export const SAME_FAILURE_MS = 250;
/** Crashes kept for one cause. */
export const CRASHES_MAX = 8;
/** Servers kept for one crash. */
export const CRASH_SERVERS_MAX = 4;
/** Companions kept for one cause. */
export const COMPANIONS_MAX = 8;
/**
 * Time from the last crash until a request is let through again, by the number
 * of such requests that have crashed a server, in ms.
 */
const BLOCK_MS: readonly number[] = [60_000, 600_000, 6_000_000, 60_000_000];
/** Time for a request that was let through to prove harmless, in ms. */
export const PROBE_MS = 30_000;
/** How long crashes are remembered after the last one, in ms. */
const RETENTION_MS = 600_000;
/** How long a cause that was blocked is remembered, as a multiple of its block. */
const BLOCK_RETENTION_FACTOR = 2;

/** Adds a crash of a server that ran a request with `companions`. */
export function addCrash(
  record: CrashRecord | undefined,
  crash: Crash,
  companions: readonly CrashCause[],
): CrashRecord {
  const added: CrashRecord = {
    crashes: [crash],
    companions: companions.slice(0, COMPANIONS_MAX),
    failedProbes: 0,
    probeMs: -Infinity,
  };
  if (record === undefined) return added;
  const isFailedProbe = isBlocking(record) &&
    crash.atMs >= probeStartMs(record);
  const merged = mergeRecords(record, added);
  return {
    ...merged,
    failedProbes: merged.failedProbes + (isFailedProbe ? 1 : 0),
  };
}

/** Merges two records of one cause. */
export function mergeRecords(
  record: CrashRecord,
  other: CrashRecord,
): CrashRecord {
  return {
    crashes: mergeCrashes([...record.crashes, ...other.crashes]),
    companions: mergeCompanions(record, other),
    failedProbes: Math.max(record.failedProbes, other.failedProbes),
    probeMs: Math.max(record.probeMs, other.probeMs),
  };
}

/** A request that was unlikely to cause a crash rules out no other parts. */
function mergeCompanions(
  record: CrashRecord,
  other: CrashRecord,
): readonly CrashCause[] {
  const isLikely = hasLikelyCause(record);
  if (isLikely !== hasLikelyCause(other)) {
    return isLikely ? record.companions : other.companions;
  }
  return intersect(record.companions, other.companions);
}

function hasLikelyCause({ crashes }: CrashRecord): boolean {
  return crashes.some(({ weight }) => weight >= LIKELY_WEIGHT);
}

/**
 * Removes the crashes that a successful run with the cause at `provenMs`
 * refutes; returns `undefined` if none is left.
 */
export function removeRefuted(
  record: CrashRecord,
  provenMs: number,
): CrashRecord | undefined {
  const crashes = record.crashes.filter(({ atMs }) => atMs > provenMs);
  if (crashes.length === 0) return undefined;
  return crashes.length === record.crashes.length
    ? record
    : { ...record, crashes, failedProbes: 0 };
}

/** Returns the weight of all crashes together. */
export function crashWeight({ crashes }: CrashRecord): number {
  return crashes.reduce((sum, { weight }) => sum + weight, 0);
}

/** Whether the crashes suffice to refuse requests with the cause. */
export function isBlocking(record: CrashRecord): boolean {
  return crashWeight(record) >= CRASH_WEIGHT_LIMIT;
}

/**
 * Returns when a request with the cause is let through again, on the monotonic
 * clock in ms, if no other one is let through before.
 */
export function blockEndMs(record: CrashRecord): number {
  const { probeMs } = record;
  const startMs = probeStartMs(record);
  return probeMs >= startMs ? probeMs + PROBE_MS : startMs;
}

/** Returns from when on a request is let through again. */
function probeStartMs(record: CrashRecord): number {
  return lastCrashMs(record) + blockMs(record.failedProbes);
}

/**
 * Whether another cause explains the crashes: it crashed as many servers or
 * more, at the same times.
 */
export function isExplainedBy(
  record: CrashRecord,
  other: CrashRecord,
): boolean {
  if (serverCount(other) < serverCount(record)) return false;
  const unexplained = record.crashes.filter(({ atMs }) =>
    !other.crashes.some((crash) =>
      Math.abs(crash.atMs - atMs) < SAME_FAILURE_MS
    )
  );
  const weight = unexplained.reduce((sum, crash) => sum + crash.weight, 0);
  return weight < UNEXPLAINED_WEIGHT_LIMIT;
}

function serverCount({ crashes }: CrashRecord): number {
  return crashes.reduce((sum, { servers }) => sum + servers.length, 0);
}

/** Whether a record is so old that it counts no longer. */
export function isExpired(record: CrashRecord, nowMs: number): boolean {
  const memoryMs = isBlocking(record)
    ? Math.max(
      RETENTION_MS,
      blockMs(record.failedProbes) * BLOCK_RETENTION_FACTOR,
    )
    : RETENTION_MS;
  return nowMs - lastCrashMs(record) > memoryMs;
}

function lastCrashMs({ crashes }: CrashRecord): number {
  return crashes.at(-1)?.atMs ?? -Infinity;
}

function blockMs(failedProbes: number): number {
  return BLOCK_MS[Math.min(failedProbes, BLOCK_MS.length - 1)] ?? 0;
}

function mergeCrashes(crashes: readonly Crash[]): readonly Crash[] {
  const merged: Crash[] = [];
  for (const crash of crashes.toSorted((a, b) => a.atMs - b.atMs)) {
    const at = merged.findLastIndex(({ servers, atMs }) =>
      crash.atMs - atMs < SAME_FAILURE_MS ||
      crash.servers.some((server) => servers.includes(server))
    );
    const same = merged[at];
    if (same === undefined) merged.push(crash);
    else merged[at] = joinCrashes(same, crash);
  }
  return merged.slice(-CRASHES_MAX);
}

function joinCrashes(first: Crash, second: Crash): Crash {
  const servers = new Set([...first.servers, ...second.servers]);
  return {
    servers: [...servers].slice(0, CRASH_SERVERS_MAX),
    atMs: first.atMs,
    weight: Math.max(first.weight, second.weight),
  };
}

function intersect(
  causes: readonly CrashCause[],
  others: readonly CrashCause[],
): readonly CrashCause[] {
  return causes.filter((cause) => others.includes(cause));
}
