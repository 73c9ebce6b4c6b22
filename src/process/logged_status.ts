/** Status of entries, reconstructed from their logs and formatted. */

import { ENTRY_VIEW_REPEAT_MS, type EntryView } from "./entry_view.ts";
import { LOG_EVENTS } from "./log_events.ts";

/** Status of one entry according to its log. */
export interface LoggedEntry {
  readonly entry: string;
  readonly life: EntryState;
  /** Timestamp of its last log line, in ms since the Unix epoch. */
  readonly lastLineMs: number;
  /** Its last logged view; `undefined` if none was logged since it started. */
  readonly view: LoggedView | undefined;
}

/** Lifecycle state of an entry. */
export enum EntryState {
  Running = "running",
  Stopping = "stopping",
  Stopped = "stopped",
}

/** A view as logged; the lists of names are truncated, the counts are not. */
export interface LoggedView extends EntryView {
  readonly leavingCount: number;
  readonly ejectedCount: number;
  readonly blockedCount: number;
}

/** Status of all entries whose logs were parsed, sorted by name. */
export interface LoggedStatus {
  readonly entries: readonly LoggedEntry[];
  /** Number of lines that are truncated or not log lines. */
  readonly unreadable: number;
}

interface LogLine {
  readonly event: number;
  readonly program: string;
  readonly timeMs: number;
  readonly details: Readonly<Record<string, unknown>>;
}

/** Time without a log line after which an entry counts as silent, in ms. */
const SILENT_MS = 2 * ENTRY_VIEW_REPEAT_MS;
const MS_PER_S = 1_000;

/** Parses log lines of several entries; those of one entry must be in order. */
export function parseLoggedStatus(lines: Iterable<string>): LoggedStatus {
  const entries = new Map<string, LoggedEntry>();
  let unreadable = 0;
  for (const text of lines) {
    if (text.trim() === "") continue;
    const line = parseLine(text);
    if (line === undefined) {
      unreadable++;
      continue;
    }
    const previous = entries.get(line.program);
    if (previous !== undefined && line.timeMs < previous.lastLineMs) continue;
    entries.set(line.program, applyLine(previous, line));
  }
  const sorted = [...entries.values()]
    .sort((a, b) => (a.entry < b.entry ? -1 : 1));
  return { entries: sorted, unreadable };
}

/** Returns the status of an entry after one more line of its log. */
function applyLine(
  previous: LoggedEntry | undefined,
  line: LogLine,
): LoggedEntry {
  const entry: LoggedEntry = {
    entry: line.program,
    life: previous?.life ?? EntryState.Running,
    view: previous?.view,
    lastLineMs: line.timeMs,
  };
  switch (line.event) {
    case LOG_EVENTS.started.number:
      return { ...entry, life: EntryState.Running, view: undefined };
    case LOG_EVENTS.shutdownRequested.number:
      return { ...entry, life: EntryState.Stopping };
    case LOG_EVENTS.stopped.number:
    case LOG_EVENTS.shutdownForced.number:
      return { ...entry, life: EntryState.Stopped };
    case LOG_EVENTS.entryView.number:
      return { ...entry, view: parseView(line.details) ?? entry.view };
    default:
      return entry;
  }
}

/** Whether every entry that is not stopped has the newest configuration. */
export function areEntriesUpToDate({ entries }: LoggedStatus): boolean {
  const newest = newestConfiguration(entries);
  return entries.every((entry) => !isBehind(entry, newest));
}

/** Formats a status; ages are relative to the newest line of all logs. */
export function formatLoggedStatus(status: LoggedStatus): readonly string[] {
  const { entries, unreadable } = status;
  const newest = newestConfiguration(entries);
  const endMs = Math.max(...entries.map(({ lastLineMs }) => lastLineMs));
  const lines = [`newest configuration in force: ${formatVersion(newest)}`];
  for (const entry of entries) {
    lines.push(formatEntry(entry, { newest, endMs }));
    lines.push(...formatServers(entry.view));
  }
  if (unreadable > 0) lines.push(`${unreadable} lines could not be parsed`);
  return lines;
}

function formatEntry(
  logged: LoggedEntry,
  { newest, endMs }: { readonly newest: number; readonly endMs: number },
): string {
  const { entry, life, view, lastLineMs } = logged;
  const ageMs = endMs - lastLineMs;
  const isSilent = life !== EntryState.Stopped && ageMs > SILENT_MS;
  const parts = [
    life,
    ...(isSilent ? [`no log line for ${Math.round(ageMs / MS_PER_S)} s`] : []),
    ...(view === undefined ? ["no view logged since its start"] : []),
  ];
  if (view !== undefined && life !== EntryState.Stopped) {
    const behind = isBehind(logged, newest) ? " (behind)" : "";
    parts.push(
      `configuration ${formatVersion(view.configuration)}${behind}`,
      `server list ${view.listed}`,
      `${view.serving} servers serving`,
      `${view.entries} entries known`,
      ...(view.isReading ? ["reads the store for other entries"] : []),
    );
  }
  return `entry ${entry}: ${parts.join(", ")}`;
}

function formatServers(view: LoggedView | undefined): readonly string[] {
  if (view === undefined) return [];
  const formatGroup = (
    label: string,
    names: readonly string[],
    count: number,
  ) => {
    if (count === 0) return [];
    const more = count > names.length
      ? ` and ${count - names.length} more`
      : "";
    return [`  ${label}: ${names.join(", ")}${more}`];
  };
  return [
    ...formatGroup("ejected", view.ejected, view.ejectedCount),
    ...formatGroup("leaving", view.leaving, view.leavingCount),
    ...formatGroup("refused, crash servers", view.blocked, view.blockedCount),
  ];
}

function formatVersion(version: number): string {
  return version < 0 ? "none" : String(version);
}

function newestConfiguration(entries: readonly LoggedEntry[]): number {
  return Math.max(-1, ...entries.map(({ view }) => view?.configuration ?? -1));
}

function isBehind({ life, view }: LoggedEntry, newest: number): boolean {
  if (life === EntryState.Stopped) return false;
  return view === undefined || view.configuration < newest;
}

function parseLine(text: string): LogLine | undefined {
  const details = parseObject(text);
  const { event, program, timestamp } = details ?? {};
  const timeMs = Date.parse(String(timestamp));
  const isLine = typeof event === "number" && typeof program === "string" &&
    Number.isFinite(timeMs);
  return isLine && details !== undefined
    ? { event, program, timeMs, details }
    : undefined;
}

function parseObject(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    const value = JSON.parse(text) as unknown;
    return typeof value === "object" && value !== null
      ? value as Readonly<Record<string, unknown>>
      : undefined;
  } catch {
    // Other programs may write to the same log; the caller counts such lines.
    return undefined;
  }
}

function parseView(
  details: Readonly<Record<string, unknown>>,
): LoggedView | undefined {
  const count = (key: string) => {
    const value = details[key];
    return typeof value === "number" ? value : undefined;
  };
  const names = (key: string) => {
    const value = details[key];
    return Array.isArray(value) ? value.map(String) : [];
  };
  const configuration = count("configuration");
  if (configuration === undefined) return undefined;
  return {
    configuration,
    listed: String(details.listed ?? ""),
    isReading: details.isReading === true,
    entries: count("entries") ?? 0,
    serving: count("serving") ?? 0,
    leaving: names("leaving"),
    leavingCount: count("leavingCount") ?? 0,
    ejected: names("ejected"),
    ejectedCount: count("ejectedCount") ?? 0,
    blocked: names("blocked"),
    blockedCount: count("blockedCount") ?? 0,
  };
}
