/** Checks of a soak's guarantees on records of callers and backend servers. */

import { FaultKind } from "./fault_schedule.ts";
import type { ServerDrain } from "./soak_cluster.ts";

/** Kind of a request of a soak. */
export enum SoakRequestKind {
  /** A resumable stream. */
  Stream = "stream",
  /** An idempotent call. */
  Read = "read",
  /** A call that runs at most once. */
  Write = "order",
}

/** A request as its caller saw it. Times are in ms since the Unix epoch. */
export interface CallerRecord {
  readonly id: string;
  readonly kind: SoakRequestKind;
  readonly path: string;
  readonly entry: number;
  readonly startMs: number;
  readonly endMs: number;
  /** 0 if the connection closed before a complete response. */
  readonly status: number;
  /** The received part of the body. */
  readonly body: string;
}

/** A run as its backend server printed it, in ms since the Unix epoch. */
export interface Run {
  readonly atMs: number;
  readonly server: string;
  readonly id: string;
}

/** A fault with the period in which it was active. */
export interface FaultWindow {
  readonly kind: FaultKind;
  readonly target: number;
  readonly startMs: number;
  endMs: number;
}

/** All records of a soak. */
export interface SoakObservations {
  readonly records: readonly CallerRecord[];
  readonly runs: readonly Run[];
  readonly faultWindows: readonly FaultWindow[];
  readonly drains: readonly ServerDrain[];
}

/** A violated guarantee. */
export interface SoakFinding {
  readonly rule: string;
  readonly detail: string;
}

/** Deadline that callers send, in ms. */
export const REQUEST_DEADLINE_MS = 4_000;
/** Number of events in each stream. */
export const STREAM_EVENTS = 60;
/** Time after a fault during which bounds don't apply, in ms (`contactMs`). */
export const CONTACT_MS = 3_000;
/** Time for which a draining server may get requests, in ms (`drainMs`). */
const DRAIN_MAX_MS = 2_000;
/** Allowed delay of a response past its deadline, in ms. */
const LATENESS_MAX_MS = 500;
/** Statuses that guarantee that the request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);
/** Characters shown on each side of the first difference. */
const CONTEXT_CHARACTERS = 40;
const ENTRY_OUTAGES = new Set([FaultKind.EntryKill, FaultKind.EntryPause]);
const ENTRY_FAULTS = new Set([
  ...ENTRY_OUTAGES,
  FaultKind.EntryRestart,
  FaultKind.StoreLink,
]);
const SERVER_FAULTS = new Set([
  FaultKind.ServerLink,
  FaultKind.ServerPause,
  FaultKind.ServerKill,
  FaultKind.ServerDrain,
]);

/** Returns the body of a complete response. */
export function expectedBody(kind: SoakRequestKind, path: string): string {
  if (kind !== SoakRequestKind.Stream) return `answer to ${path}`;
  const events = Array.from({ length: STREAM_EVENTS }, (_, at) => at + 1);
  return events.map((at) => `id: ${at}\ndata: ${path} ${at}\n\n`).join("");
}

/**
 * Whether an entry had neither a fault of its own nor a store outage in a
 * period or in `CONTACT_MS` before it. Times are in ms since the Unix epoch.
 */
export function isEntryUnaffected(
  faultWindows: readonly FaultWindow[],
  { entry, fromMs, toMs }: {
    readonly entry: number;
    readonly fromMs: number;
    readonly toMs: number;
  },
): boolean {
  return !faultWindows.some((fault) =>
    overlaps(fault, fromMs - CONTACT_MS, toMs) &&
    (fault.kind === FaultKind.StoreOutage ||
      ENTRY_FAULTS.has(fault.kind) && fault.target === entry)
  );
}

/** Returns all violated guarantees. */
export function checkObservations(
  observations: SoakObservations,
): readonly SoakFinding[] {
  return [
    ...checkRuns(observations),
    ...observations.records.flatMap((record) =>
      checkRecord(observations, record)
    ),
    ...checkDrains(observations),
  ];
}

function checkRuns({ records, runs }: SoakObservations): SoakFinding[] {
  const byId = new Map(records.map((record) => [record.id, record]));
  const counts = countRuns(runs);
  const findings: SoakFinding[] = [];
  for (const [id, count] of counts) {
    const record = byId.get(id);
    if (record === undefined) {
      findings.push({
        rule: "unasked",
        detail: `no caller sent ${id}, but it ran`,
      });
    } else if (record.kind === SoakRequestKind.Write && count > 1) {
      findings.push({
        rule: "twice",
        detail: `${id} ran ${count} times, not at most once`,
      });
    }
  }
  return findings;
}

function checkRecord(
  { runs, faultWindows }: SoakObservations,
  record: CallerRecord,
): SoakFinding[] {
  const findings: SoakFinding[] = [];
  const report = (rule: string, detail: string) => {
    const { id, entry, status } = record;
    findings.push({
      rule,
      detail: `${id} at entry ${entry}, ${status}: ${detail}`,
    });
  };
  const { kind, path, status, body, startMs, endMs, entry } = record;
  const hasRun = runs.some(({ id }) => id === record.id);
  const completeBody = expectedBody(kind, path);
  if (status === 200 && body !== completeBody) {
    report("mixed", `wrong body: ${describeDifference(body, completeBody)}`);
  }
  if (status === 0 && !completeBody.startsWith(body)) {
    report(
      "order",
      `wrong partial body: ${describeDifference(body, completeBody)}`,
    );
  }
  if (NOT_RUN.has(status) && kind === SoakRequestKind.Write && hasRun) {
    report("refused", "status says that it has not run, but it ran");
  }
  const wasEntryDown = faultWindows.some((fault) =>
    ENTRY_OUTAGES.has(fault.kind) && fault.target === entry &&
    overlaps(fault, startMs, endMs)
  );
  if (wasEntryDown) return findings;
  if (endMs - startMs > REQUEST_DEADLINE_MS + LATENESS_MAX_MS) {
    report("late", `no response in time: ended after ${endMs - startMs} ms`);
  }
  const hadServerFault = faultWindows.some((fault) =>
    SERVER_FAULTS.has(fault.kind) && overlaps(fault, startMs, endMs)
  );
  const mayBeCut = kind === SoakRequestKind.Stream && hadServerFault;
  if (status === 0 && hasRun && !mayBeCut) {
    report("lost", "it ran, but the caller got no complete response");
  }
  return findings;
}

function checkDrains(
  { records, runs, faultWindows, drains }: SoakObservations,
): SoakFinding[] {
  const byId = new Map(records.map((record) => [record.id, record]));
  return drains.flatMap(({ id: server, target, acceptedMs }) =>
    runs.flatMap((run): SoakFinding[] => {
      const entry = byId.get(run.id)?.entry ?? -1;
      if (run.server !== server || run.atMs <= acceptedMs + DRAIN_MAX_MS) {
        return [];
      }
      const period = { entry, fromMs: acceptedMs, toMs: run.atMs };
      const hadOtherFault = faultWindows.some((fault) =>
        SERVER_FAULTS.has(fault.kind) && fault.kind !== FaultKind.ServerDrain &&
        fault.target === target &&
        overlaps(fault, acceptedMs - CONTACT_MS, run.atMs)
      );
      if (hadOtherFault || !isEntryUnaffected(faultWindows, period)) return [];
      const afterMs = run.atMs - acceptedMs;
      const detail =
        `${run.id} from entry ${entry} ran ${afterMs} ms after the drain`;
      return [{ rule: "drain", detail }];
    })
  );
}

/** Describes where a body first differs from the complete one. */
function describeDifference(body: string, completeBody: string): string {
  let at = 0;
  while (at < body.length && body[at] === completeBody[at]) at++;
  const excerpt = (text: string) =>
    JSON.stringify(
      text.slice(Math.max(0, at - CONTEXT_CHARACTERS), at + CONTEXT_CHARACTERS),
    );
  return `at character ${at} of ${completeBody.length} is ${
    excerpt(body)
  }, not ${excerpt(completeBody)}`;
}

function countRuns(runs: readonly Run[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { id } of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
  return counts;
}

function overlaps(fault: FaultWindow, fromMs: number, toMs: number): boolean {
  return fault.startMs <= toMs && fault.endMs >= fromMs;
}
