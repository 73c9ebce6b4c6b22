/**
 * Crash records as digests carry them. Times are sent as ages, since the clocks
 * of entries differ.
 */

import type { CrashReport } from "../connection/peer_protocol.ts";
import type { CrashCause } from "../ids.ts";
import { type CrashRecord, crashWeight } from "./crash_record.ts";

/** What an entry knows of a cause; times on its monotonic clock, in ms. */
export interface CauseKnowledge {
  /** `undefined` if a successful run has refuted all crashes. */
  readonly record: CrashRecord | undefined;
  /** Time of the last successful run with the cause, if known. */
  readonly provenMs: number | undefined;
  readonly nowMs: number;
}

/** Difference of a probe's times that transmission explains, in ms. */
const PROBE_TOLERANCE_MS = 5_000;

/** Returns the report of a cause for a digest. */
export function createCrashReport(
  cause: CrashCause,
  { record, provenMs, nowMs }: CauseKnowledge,
): CrashReport {
  const { probeMs = -Infinity } = record ?? {};
  const crashes = (record?.crashes ?? []).map(({ servers, atMs, weight }) =>
    [servers, Math.round(nowMs - atMs), weight] as const
  );
  return {
    cause,
    crashes,
    companions: record?.companions ?? [],
    failedProbes: record?.failedProbes ?? 0,
    probeAgeMs: probeMs === -Infinity ? null : Math.round(nowMs - probeMs),
    provenAgeMs: provenMs === undefined ? null : Math.round(nowMs - provenMs),
  };
}

/** Returns the record of a peer's report; `undefined` if it has no crash. */
export function recordOf(
  { crashes, companions, failedProbes, probeAgeMs }: CrashReport,
  nowMs: number,
): CrashRecord | undefined {
  if (crashes.length === 0) return undefined;
  return {
    crashes: crashes.map(([servers, ageMs, weight]) => ({
      servers,
      atMs: nowMs - ageMs,
      weight,
    })),
    companions,
    failedProbes,
    probeMs: probeAgeMs === null ? -Infinity : nowMs - probeAgeMs,
  };
}

/** Whether a merge changed the record; ages differ with each message. */
export function hasChanged(
  known: CrashRecord | undefined,
  merged: CrashRecord,
): boolean {
  if (known === undefined) return true;
  return crashWeight(merged) !== crashWeight(known) ||
    merged.companions.length !== known.companions.length ||
    merged.failedProbes !== known.failedProbes ||
    serverNames(merged) !== serverNames(known) ||
    merged.probeMs - known.probeMs > PROBE_TOLERANCE_MS;
}

function serverNames({ crashes }: CrashRecord): string {
  return crashes.flatMap(({ servers }) => servers).join(" ");
}
