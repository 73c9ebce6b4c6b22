/** What must hold, judged from what callers and backend servers saw. */

import { FaultKind } from "./fault_schedule.ts";
import type { ServerDrain } from "./soak_cluster.ts";

/** What a request asks for. */
export enum SoakRequestKind {
  /** A stream that may be resumed. */
  Stream = "stream",
  /** A call that may be repeated. */
  Read = "read",
  /** A call that may run once at most. */
  Write = "order",
}

/** A request as its caller saw it. Times are of the day, in ms. */
export interface CallerRecord {
  readonly id: string;
  readonly kind: SoakRequestKind;
  readonly path: string;
  readonly entry: number;
  readonly startMs: number;
  readonly endMs: number;
  /** 0 when the connection ended before a whole answer. */
  readonly status: number;
  /** What was received of the body. */
  readonly body: string;
}

/** A run as its server announced it. */
export interface Run {
  readonly atMs: number;
  readonly server: string;
  readonly id: string;
}

/** A fault with the time in which it was in force. */
export interface FaultWindow {
  readonly kind: FaultKind;
  readonly target: number;
  readonly startMs: number;
  endMs: number;
}

/** All that was seen. */
export interface SoakObservations {
  readonly records: readonly CallerRecord[];
  readonly runs: readonly Run[];
  readonly faultWindows: readonly FaultWindow[];
  readonly drains: readonly ServerDrain[];
}

/** A broken promise. */
export interface SoakFinding {
  readonly rule: string;
  readonly detail: string;
}

/** How long callers wait, in ms. */
export const REQUEST_DEADLINE_MS = 4_000;
/** Events of each stream. */
export const STREAM_EVENTS = 60;
/** Time after a disturbance in which an entry is not bound yet, in ms (`contactMs`). */
export const CONTACT_MS = 3_000;
/** Time in which a leaving server may still get requests, in ms (`drainMs`). */
const DRAIN_MS = 2_000;
/** Time past the deadline that an answer may take, in ms. */
const LATE_MS = 500;
/** Statuses that promise that the request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);
/** Characters shown on each side of a difference. */
const SHOWN = 40;
const ENTRY_ENDS = new Set([FaultKind.EntryKill, FaultKind.EntryPause]);
const ENTRY_FAULTS = new Set([
  ...ENTRY_ENDS,
  FaultKind.EntryRestart,
  FaultKind.StoreLink,
]);
const SERVER_FAULTS = new Set([
  FaultKind.ServerLink,
  FaultKind.ServerPause,
  FaultKind.ServerKill,
  FaultKind.ServerDrain,
]);

/** Returns the body that a whole answer has. */
export function expectedBody(sort: SoakRequestKind, path: string): string {
  if (sort !== SoakRequestKind.Stream) return `answer to ${path}`;
  const events = Array.from({ length: STREAM_EVENTS }, (_, at) => at + 1);
  return events.map((at) => `id: ${at}\ndata: ${path} ${at}\n\n`).join("");
}

/** Whether an entry was free of faults of its own and of the store since `fromMs`. */
export function isEntryUnaffected(
  spans: readonly FaultWindow[],
  { entry, fromMs, toMs }: {
    readonly entry: number;
    readonly fromMs: number;
    readonly toMs: number;
  },
): boolean {
  return !spans.some((span) =>
    overlaps(span, fromMs - CONTACT_MS, toMs) &&
    (span.kind === FaultKind.StoreOutage ||
      ENTRY_FAULTS.has(span.kind) && span.target === entry)
  );
}

/** Returns all broken promises. */
export function checkObservations(
  evidence: SoakObservations,
): readonly SoakFinding[] {
  return [
    ...checkRuns(evidence),
    ...evidence.records.flatMap((record) => checkRecord(evidence, record)),
    ...checkLeavings(evidence),
  ];
}

function checkRuns({ records, runs }: SoakObservations): SoakFinding[] {
  const byId = new Map(records.map((record) => [record.id, record]));
  const counts = countRuns(runs);
  const findings: SoakFinding[] = [];
  for (const [id, count] of counts) {
    const record = byId.get(id);
    if (record === undefined) {
      findings.push({ rule: "unasked", detail: `nobody sent ${id}` });
    } else if (record.kind === SoakRequestKind.Write && count > 1) {
      findings.push({ rule: "twice", detail: `${id} ran ${count} times` });
    }
  }
  return findings;
}

function checkRecord(
  { runs, faultWindows: spans }: SoakObservations,
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
  const { kind: sort, path, status, body, startMs, endMs, entry } = record;
  const hasRun = runs.some(({ id }) => id === record.id);
  const whole = expectedBody(sort, path);
  if (status === 200 && body !== whole) {
    report("mixed", `body is not the whole answer: ${difference(body, whole)}`);
  }
  if (status === 0 && !whole.startsWith(body)) {
    report("order", `cut body is no part of it: ${difference(body, whole)}`);
  }
  if (NOT_RUN.has(status) && sort === SoakRequestKind.Write && hasRun) {
    report("refused", "said not to have run, but ran");
  }
  const wasHeld = spans.some((span) =>
    ENTRY_ENDS.has(span.kind) && span.target === entry &&
    overlaps(span, startMs, endMs)
  );
  if (wasHeld) return findings;
  if (endMs - startMs > REQUEST_DEADLINE_MS + LATE_MS) {
    report("late", `no final answer after ${endMs - startMs} ms`);
  }
  const serversFailed = spans.some((span) =>
    SERVER_FAULTS.has(span.kind) && overlaps(span, startMs, endMs)
  );
  const mayBreak = sort === SoakRequestKind.Stream && serversFailed;
  if (status === 0 && hasRun && !mayBreak) {
    report("lost", "passed on and closed without an answer");
  }
  return findings;
}

function checkLeavings(
  { records, runs, faultWindows: spans, drains: leavings }: SoakObservations,
): SoakFinding[] {
  const byId = new Map(records.map((record) => [record.id, record]));
  return leavings.flatMap(({ id: server, target, acceptedMs }) =>
    runs.flatMap((run): SoakFinding[] => {
      const entry = byId.get(run.id)?.entry ?? -1;
      if (run.server !== server || run.atMs <= acceptedMs + DRAIN_MS) return [];
      const touch = { entry, fromMs: acceptedMs, toMs: run.atMs };
      const wasHeldUp = spans.some((span) =>
        SERVER_FAULTS.has(span.kind) && span.kind !== FaultKind.ServerDrain &&
        span.target === target &&
        overlaps(span, acceptedMs - CONTACT_MS, run.atMs)
      );
      if (wasHeldUp || !isEntryUnaffected(spans, touch)) return [];
      const afterMs = run.atMs - acceptedMs;
      const detail = `${run.id} from entry ${entry}, ${afterMs} ms after`;
      return [{ rule: "drain", detail }];
    })
  );
}

/** Shows where a body first differs from the whole one. */
function difference(body: string, whole: string): string {
  let at = 0;
  while (at < body.length && body[at] === whole[at]) at++;
  const around = (text: string) =>
    JSON.stringify(text.slice(Math.max(0, at - SHOWN), at + SHOWN));
  return `at ${at} of ${whole.length}: ${around(body)}, not ${around(whole)}`;
}

function countRuns(runs: readonly Run[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { id } of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
  return counts;
}

function overlaps(span: FaultWindow, fromMs: number, toMs: number): boolean {
  return span.startMs <= toMs && span.endMs >= fromMs;
}
