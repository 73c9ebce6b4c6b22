/** Checks of a soak's guarantees on records of callers and backend servers. */

import { checkDeadlyParts } from "./deadly_part_checks.ts";
import { checkHoldOffs, type ServerArrivals } from "./hold_off_checks.ts";
import { FaultKind, PLANNED_KINDS } from "./fault_schedule.ts";
import { checkPlannedStops } from "./planned_stop_checks.ts";
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

/** How a request ended for its caller. */
export enum RequestEnd {
  Complete = "complete",
  /** The connection closed before a response. */
  Unanswered = "unanswered",
  /** The connection closed within a response. */
  Cut = "cut",
  /** The caller closed the connection long after its deadline. */
  GivenUp = "given_up",
}

/** A request as its caller saw it. Times are in ms since the Unix epoch. */
export interface CallerRecord {
  readonly id: string;
  readonly kind: SoakRequestKind;
  readonly path: string;
  readonly entry: number;
  /** Whether its key is in every version, so that it may not be denied. */
  readonly hasSteadyKey: boolean;
  readonly startMs: number;
  /** Deadline that its caller sent, in ms from its start. */
  readonly deadlineMs: number;
  /** When its last byte was handed to the kernel, if it was. */
  readonly writtenMs: number | undefined;
  readonly endMs: number;
  readonly end: RequestEnd;
  /** Whether its connection had carried a request before. */
  readonly isReused: boolean;
  /** 0 if the connection closed before a complete response. */
  readonly status: number;
  /** The received part of the body. */
  readonly body: string;
  /** Whether the response said that its server leaves. */
  readonly announcesLeaving: boolean;
  /** Part of its prompt that crashes servers, if any. */
  readonly deadlyPart?: string;
}

/** A kept connection that closed while it was idle. */
export interface IdleClose {
  /** Id of the last request on the connection. */
  readonly id: string;
  readonly entry: number;
  readonly idleMs: number;
  /** Idle time that the last response allowed, in ms. */
  readonly announcedIdleMs: number;
  /** In ms since the Unix epoch. */
  readonly closedMs: number;
}

/** The end of an entry's shutdown. Times are in ms since the Unix epoch. */
export interface EntryStop {
  readonly entry: number;
  /** When SIGTERM was sent. */
  readonly termMs: number;
  /** When the entry logged that it had shut down. */
  readonly loggedMs: number;
  /** When its process was gone. */
  readonly exitedMs: number;
  /** Time from SIGTERM to SIGKILL, in ms. */
  readonly graceMs: number;
}

/** A run as its backend server printed it, in ms since the Unix epoch. */
export interface Run {
  readonly atMs: number;
  readonly server: string;
  /** Index of the server, as in `Fault.target`. */
  readonly target: number;
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
  readonly idleCloses: readonly IdleClose[];
  readonly entryStops: readonly EntryStop[];
  readonly runs: readonly Run[];
  readonly faultWindows: readonly FaultWindow[];
  readonly drains: readonly ServerDrain[];
  readonly heldOffArrivals: readonly ServerArrivals[];
}

/** A violated guarantee. */
export interface SoakFinding {
  readonly rule: string;
  readonly detail: string;
}

/** What the check of one record needs besides the record. */
interface RecordContext {
  /** Its runs. */
  readonly runs: readonly Run[];
  readonly faultWindows: readonly FaultWindow[];
  readonly entryStops: readonly EntryStop[];
}

/** Time from the end of a body to the deadline that callers send, in ms. */
export const REQUEST_DEADLINE_MS = 4_000;
/** Number of events in each stream. */
export const STREAM_EVENTS = 60;
/** Time after a fault during which bounds don't apply, in ms (`contactMs`). */
export const CONTACT_MS = 3_000;
/** Time for which a draining server may get requests, in ms (`drainMs`). */
const DRAIN_MAX_MS = 2_000;
/** Fraction of the allowed idle time after which callers reuse connections. */
export const IDLE_USE_FRACTION = 0.8;
/**
 * Time from the last byte of a request until its connection may close without
 * a response because both crossed, in ms (`lossSlackMs`).
 */
const CROSSING_MAX_MS = 200;
/** Fraction of the deadline after which a request may end in any way. */
const LOSS_DEADLINE_FRACTION = 0.9;
/** Requests of kept connections that may be lost at any time (LOST). */
const KEPT_LOSSES_MAX = 3;
/** Allowed delay of a response past its deadline, in ms. */
const LATENESS_MAX_MS = 500;
/** Statuses that guarantee that the request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);
/** Statuses that deny a proper request. */
const DENIED = new Set([400, 401, 403, 404, 413, 431]);
/** Characters shown on each side of the first difference. */
const CONTEXT_CHARACTERS = 40;
const ENTRY_OUTAGES = new Set([FaultKind.EntryKill, FaultKind.EntryPause]);
const ENTRY_STOPS = new Set([
  ...ENTRY_OUTAGES,
  FaultKind.EntryRestart,
  FaultKind.EntrySecondTerm,
  FaultKind.EntryEarlyTerm,
]);
const ENTRY_FAULTS = new Set([...ENTRY_STOPS, FaultKind.StoreLink]);
/** Faults of links between entries, each of which concerns several entries. */
const LINK_FAULTS = new Set([FaultKind.EntryLink, FaultKind.AllEntryLinks]);
const DRAINS = new Set([FaultKind.ServerDrain, FaultKind.ServerLeave]);
/** Faults of backend servers, planned or not. */
export const SERVER_FAULTS: ReadonlySet<FaultKind> = new Set(
  Object.values(FaultKind).filter((kind) => kind.startsWith("server_")),
);

/** Returns the body of a complete response. */
export function expectedBody(kind: SoakRequestKind, path: string): string {
  if (kind !== SoakRequestKind.Stream) return `answer to ${path}`;
  const events = Array.from({ length: STREAM_EVENTS }, (_, at) => at + 1);
  return events.map((at) => `id: ${at}\ndata: ${path} ${at}\n\n`).join("");
}

/** A period at an entry, in ms since the Unix epoch. */
export interface EntryPeriod {
  readonly entry: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * Whether neither the entry nor a link between entries had a fault, and the
 * entry was not without the store, in a period or in `CONTACT_MS` before it.
 */
export function isEntryUnaffected(
  faultWindows: readonly FaultWindow[],
  period: EntryPeriod,
): boolean {
  const { entry, fromMs, toMs } = period;
  return isEntryInTouch(faultWindows, period) &&
    !faultWindows.some((fault) =>
      overlaps(fault, fromMs - CONTACT_MS, toMs) &&
      (fault.kind === FaultKind.StoreOutage ||
        fault.kind === FaultKind.StoreLink && fault.target === entry)
    );
}

/** The same, whether or not the entry was without the store. */
export function isEntryInTouch(
  faultWindows: readonly FaultWindow[],
  { entry, fromMs, toMs }: EntryPeriod,
): boolean {
  return !faultWindows.some((fault) =>
    overlaps(fault, fromMs - CONTACT_MS, toMs) &&
    (LINK_FAULTS.has(fault.kind) ||
      ENTRY_STOPS.has(fault.kind) && fault.target === entry)
  );
}

/** Returns all violated guarantees. */
export function checkObservations(
  observations: SoakObservations,
): readonly SoakFinding[] {
  const runsById = groupRuns(observations.runs);
  return [
    ...checkRuns(observations),
    ...observations.records.flatMap((record) =>
      checkRecord(record, {
        runs: runsById.get(record.id) ?? [],
        faultWindows: observations.faultWindows,
        entryStops: observations.entryStops,
      })
    ),
    ...checkDrains(observations),
    ...checkLeavingAnswers(observations),
    ...checkKeptConnections(observations),
    ...checkDeadlyParts(observations),
    ...checkHoldOffs(observations),
    ...checkPlannedStops(observations),
  ];
}

function checkRuns({ records, runs }: SoakObservations): SoakFinding[] {
  const byId = new Map(records.map((record) => [record.id, record]));
  const findings: SoakFinding[] = [];
  for (const [id, { length: count }] of groupRuns(runs)) {
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
  record: CallerRecord,
  context: RecordContext,
): SoakFinding[] {
  const { runs, faultWindows } = context;
  const findings: SoakFinding[] = [];
  const report = (rule: string, detail: string) => {
    const { id, entry, status } = record;
    findings.push({
      rule,
      detail: `${id} at entry ${entry}, ${status}: ${detail}`,
    });
  };
  const { kind, path, status, body, startMs, endMs, entry } = record;
  const hasRun = runs.length > 0;
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
  if (DENIED.has(status) && record.hasSteadyKey) {
    report("denied", "every version allows it");
  }
  const wasEntryDown = faultWindows.some((fault) =>
    ENTRY_OUTAGES.has(fault.kind) && fault.target === entry &&
    overlaps(fault, startMs, endMs)
  );
  if (wasEntryDown) return findings;
  if (endMs - startMs > record.deadlineMs + LATENESS_MAX_MS) {
    const { writtenMs = Number.NaN } = record;
    report(
      "late",
      `no response in time: written after ${writtenMs - startMs} ms, ` +
        `ended after ${endMs - startMs} ms`,
    );
  }
  const hadServerFault = faultWindows.some((fault) =>
    SERVER_FAULTS.has(fault.kind) && overlaps(fault, startMs, endMs)
  );
  const mayBeCut = kind === SoakRequestKind.Stream && hadServerFault;
  const isLost = isLostWithoutFault(record, context);
  if (status === 0 && hasRun && !mayBeCut || isLost) {
    report("lost", describeLoss(record, context));
  }
  return findings;
}

/**
 * Whether a connection closed before the response to a whole request was
 * complete although nothing unplanned acted on the entry, the store or a server
 * that ran it, and the request had not merely crossed the close.
 */
function isLostWithoutFault(
  record: CallerRecord,
  { runs, faultWindows, entryStops }: RecordContext,
): boolean {
  const { end, entry, startMs, writtenMs, endMs } = record;
  if (end === RequestEnd.Complete || end === RequestEnd.GivenUp) return false;
  if (writtenMs === undefined) return false;
  // An entry that has stopped reads nothing, even if its exit takes a while.
  const closedMs = entryStops
    .filter((stop) => stop.entry === entry && stop.exitedMs >= startMs)
    .reduce((earliest, stop) => Math.min(earliest, stop.loggedMs), endMs);
  if (runs.length === 0 && closedMs - writtenMs <= CROSSING_MAX_MS) {
    return false;
  }
  if (hasReachedDeadline(record)) return false;
  return !faultWindows.some((fault) =>
    overlaps(fault, startMs - CONTACT_MS, endMs) &&
    (fault.kind === FaultKind.StoreOutage ||
      isUnplannedAt(fault, { entry, runs }))
  );
}

/** Whether a request ended so late that it may end in any way. */
export function hasReachedDeadline(
  { startMs, endMs, deadlineMs }: CallerRecord,
): boolean {
  return endMs - startMs >= LOSS_DEADLINE_FRACTION * deadlineMs;
}

/** Whether a fault is unplanned and acts on an entry or a server of runs. */
export function isUnplannedAt(
  { kind, target }: FaultWindow,
  { entry, runs }: { readonly entry: number; readonly runs: readonly Run[] },
): boolean {
  if (PLANNED_KINDS.has(kind)) return false;
  if (ENTRY_FAULTS.has(kind)) return target === entry;
  return SERVER_FAULTS.has(kind) && runs.some((run) => run.target === target);
}

function describeLoss(
  { end, entry, isReused, startMs, writtenMs, endMs }: CallerRecord,
  { runs, faultWindows, entryStops }: RecordContext,
): string {
  const connection = isReused ? "kept" : "fresh";
  const beside = faultWindows
    .filter((fault) =>
      PLANNED_KINDS.has(fault.kind) &&
      overlaps(fault, startMs - CONTACT_MS, endMs)
    )
    .map(({ kind, target }) => `${kind} ${target}`);
  const stops = entryStops
    .filter((stop) =>
      stop.entry === entry && stop.termMs <= endMs && stop.exitedMs >= startMs
    )
    .map(({ termMs }) => `, ${endMs - termMs} ms after SIGTERM`);
  const writtenAfterMs = (writtenMs ?? Number.NaN) - startMs;
  return `${end} on a ${connection} connection: written after ` +
    `${writtenAfterMs} ms, closed after ${endMs - startMs} ms${
      stops.join("")
    }, ` +
    `${runs.length} runs; beside ${beside.join(", ") || "nothing planned"}`;
}

/** Checks what callers may expect of a connection that they keep. */
function checkKeptConnections(
  { records, idleCloses, runs, faultWindows }: SoakObservations,
): SoakFinding[] {
  const runsById = groupRuns(runs);
  const losses = records.filter((record) => {
    const { end, isReused, entry, startMs, endMs } = record;
    const recordRuns = runsById.get(record.id) ?? [];
    const wasClosed = end === RequestEnd.Unanswered || end === RequestEnd.Cut;
    return wasClosed && isReused && recordRuns.length > 0 &&
      !faultWindows.some((fault) =>
        overlaps(fault, startMs - CONTACT_MS, endMs) &&
        isUnplannedAt(fault, { entry, runs: recordRuns })
      );
  });
  const findings = idleCloses
    .filter(({ entry, idleMs, announcedIdleMs, closedMs }) =>
      idleMs < announcedIdleMs * IDLE_USE_FRACTION &&
      !faultWindows.some((fault) =>
        ENTRY_STOPS.has(fault.kind) && fault.target === entry &&
        overlaps(fault, closedMs - idleMs, closedMs)
      )
    )
    .map(({ id, entry, idleMs, announcedIdleMs, closedMs }) => ({
      rule: "kept",
      detail: `entry ${entry} closed a connection after ${idleMs} ms idle, ` +
        `having allowed ${announcedIdleMs} ms with the response to ${id}, at ` +
        new Date(closedMs).toISOString(),
    }));
  if (losses.length <= KEPT_LOSSES_MAX) return findings;
  const ids = losses.map(({ id }) => id).join(", ");
  const detail = `kept connections closed without the responses to ${ids}`;
  return [...findings, { rule: "lost", detail }];
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
        SERVER_FAULTS.has(fault.kind) && !DRAINS.has(fault.kind) &&
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

/**
 * Checks that an entry sends nothing more to a server after it has passed on a
 * response that says that the server leaves, whatever the store says.
 */
function checkLeavingAnswers(
  { records, runs, faultWindows }: SoakObservations,
): SoakFinding[] {
  const byId = new Map(records.map((record) => [record.id, record]));
  const runsById = groupRuns(runs);
  const runsByServer = groupRuns(runs, ({ server }) => server);
  return records.filter(({ announcesLeaving }) => announcesLeaving).flatMap(
    (announced) => {
      const [run, ...others] = runsById.get(announced.id) ?? [];
      // Of several runs, it is not known whose response says so.
      if (run === undefined || others.length > 0) return [];
      const late = runsByServer.get(run.server)?.find(({ id, atMs }) => {
        const record = byId.get(id);
        return record !== undefined && record.entry === announced.entry &&
          record.startMs > announced.endMs + DRAIN_MAX_MS &&
          !faultWindows.some((fault) =>
            ENTRY_STOPS.has(fault.kind) && fault.target === announced.entry &&
            overlaps(fault, announced.endMs, atMs)
          );
      });
      if (late === undefined) return [];
      const afterMs = late.atMs - announced.endMs;
      const detail =
        `${late.id} from entry ${announced.entry} ran ${afterMs} ms ` +
        `after the entry passed on with ${announced.id} that the server leaves`;
      return [{ rule: "drain", detail }];
    },
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

/** Groups runs, by their requests' ids by default. */
export function groupRuns(
  runs: readonly Run[],
  keyOf: (run: Run) => string = ({ id }) => id,
): ReadonlyMap<string, readonly Run[]> {
  const groups = new Map<string, Run[]>();
  for (const run of runs) {
    const group = groups.get(keyOf(run)) ?? [];
    group.push(run);
    groups.set(keyOf(run), group);
  }
  return groups;
}

/** Whether a fault acted in a period; times in ms since the Unix epoch. */
export function overlaps(
  fault: FaultWindow,
  fromMs: number,
  toMs: number,
): boolean {
  return fault.startMs <= toMs && fault.endMs >= fromMs;
}
