/**
 * Checks of requests that end while their entry shuts down, whenever their
 * bodies ended.
 */

import { FaultKind, PLANNED_KINDS } from "./fault_schedule.ts";
import {
  type CallerRecord,
  CONTACT_MS,
  type EntryStop,
  type FaultWindow,
  groupRuns,
  hasReachedDeadline,
  isUnplannedAt,
  overlaps,
  type Run,
  SERVER_FAULTS,
  type SoakFinding,
  type SoakObservations,
} from "./soak_checks.ts";

/** Time after SIGTERM in which a request was sent in time, in ms. */
const SENT_IN_TIME_MS = 3_000;
/** Part of the grace period after which a server may still be at work. */
const AT_WORK_FRACTION = 5 / 6;
const HTTP_INTERNAL_ERROR = 500;
const HTTP_OUTCOME_UNKNOWN = 504;

/** A request that ended while its entry shut down, and what acted on it. */
interface StoppedRequest {
  readonly record: CallerRecord;
  readonly stop: EntryStop;
  /** Its runs; none if it reached no server. */
  readonly runs: readonly Run[];
  readonly faultWindows: readonly FaultWindow[];
}

/** Checks the responses that entries sent during shutdowns. */
export function checkPlannedStops(
  { records, runs, faultWindows, entryStops }: SoakObservations,
): readonly SoakFinding[] {
  const runsById = groupRuns(runs);
  return records.flatMap((record) => {
    const stop = entryStops.find(({ entry, termMs, loggedMs }) =>
      entry === record.entry && record.endMs >= termMs &&
      record.startMs <= loggedMs
    );
    if (stop === undefined || hasReachedDeadline(record)) return [];
    const ownRuns = runsById.get(record.id) ?? [];
    const request = { record, stop, runs: ownRuns, faultWindows };
    if (isPassedOnUnanswered(request)) {
      return [{ rule: "lost", detail: describe(request) }];
    }
    if (isUnsentUnknown(request)) {
      return [{ rule: "unknown", detail: describe(request) }];
    }
    return [];
  });
}

/** Whether a server ran the request and the caller got an error (LOST). */
function isPassedOnUnanswered(request: StoppedRequest): boolean {
  const { record, stop, runs, faultWindows } = request;
  if (runs.length === 0 || record.status < HTTP_INTERNAL_ERROR) return false;
  const { entry, writtenMs = record.endMs, startMs, endMs } = record;
  const wasAtWork = writtenMs <= stop.termMs + SENT_IN_TIME_MS &&
    endMs >= stop.termMs + AT_WORK_FRACTION * stop.graceMs;
  return !wasAtWork &&
    !faultWindows.some((fault) =>
      overlaps(fault, startMs - CONTACT_MS, endMs) &&
      (fault.kind === FaultKind.StoreOutage ||
        isUnplannedAt(fault, { entry, runs }))
    );
}

/**
 * Whether the caller can't know that the request did not run, although no
 * server got it (REFUSED). A server that fails or is silent may have got it
 * without a line for its run.
 */
function isUnsentUnknown(request: StoppedRequest): boolean {
  const { record, runs, faultWindows } = request;
  if (runs.length > 0 || record.status !== HTTP_OUTCOME_UNKNOWN) return false;
  const { entry, startMs, endMs } = record;
  return !faultWindows.some((fault) => {
    if (!overlaps(fault, startMs - CONTACT_MS, endMs)) return false;
    const { kind } = fault;
    return kind === FaultKind.StoreOutage || kind === FaultKind.ServerSilence ||
      isUnplannedAt(fault, { entry, runs }) ||
      SERVER_FAULTS.has(kind) && !PLANNED_KINDS.has(kind);
  });
}

function describe({ record, stop, runs }: StoppedRequest): string {
  const { id, entry, status, startMs, writtenMs, endMs, isReused } = record;
  const afterTerm = (atMs: number) => `${atMs - stop.termMs} ms`;
  const written = writtenMs === undefined ? "never" : afterTerm(writtenMs);
  return `${id} at entry ${entry}, ${status}: begun ${afterTerm(startMs)}, ` +
    `written ${written}, ended ${afterTerm(endMs)} after SIGTERM, ` +
    `${runs.length} runs, on a ${isReused ? "kept" : "fresh"} connection`;
}
