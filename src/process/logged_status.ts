/** What entries said of themselves in their logs, read back and printed. */

import { ENTRY_VIEW_REPEAT_MS, type EntryView } from "./entry_view.ts";
import { LOG_EVENTS } from "./log_events.ts";

/** What is known of one entry from its log. */
export interface LoggedEntry {
  readonly entry: string;
  readonly life: EntryState;
  /** When its last line was written, in ms since 1970. */
  readonly heardMs: number;
  /** What it knew last; `undefined` if it has not said since it started. */
  readonly view: LoggedView | undefined;
}

/** How far an entry is in its life. */
export enum EntryState {
  Running = "running",
  Stopping = "stopping",
  Stopped = "stopped",
}

/** A view as a log line holds it; names beyond the line's bound are only counted. */
export interface LoggedView extends EntryView {
  readonly leavingCount: number;
  readonly ejectedCount: number;
}

/** Entries by name, and what could not be read. */
export interface LoggedStatus {
  readonly entries: readonly LoggedEntry[];
  /** Lines that are no log lines, and lines cut short. */
  readonly unreadable: number;
}

interface LogLine {
  readonly event: number;
  readonly program: string;
  readonly timeMs: number;
  readonly details: Readonly<Record<string, unknown>>;
}

/** An entry that has written nothing for so long is shown as silent, in ms. */
const SILENT_MS = 2 * ENTRY_VIEW_REPEAT_MS;
const MS_PER_S = 1_000;

/** Reads log lines of any number of entries, in any order between entries. */
export function parseLoggedStatus(lines: Iterable<string>): LoggedStatus {
  const entries = new Map<string, LoggedEntry>();
  let unreadable = 0;
  for (const text of lines) {
    if (text.trim() === "") continue;
    const line = restoreLine(text);
    if (line === undefined) {
      unreadable++;
      continue;
    }
    const held = entries.get(line.program);
    if (held !== undefined && line.timeMs < held.heardMs) continue;
    entries.set(line.program, follow(held, line));
  }
  const sorted = [...entries.values()]
    .sort((a, b) => (a.entry < b.entry ? -1 : 1));
  return { entries: sorted, unreadable };
}

/** Returns what an entry is after one more line of its log. */
function follow(held: LoggedEntry | undefined, line: LogLine): LoggedEntry {
  const entry: LoggedEntry = {
    entry: line.program,
    life: held?.life ?? EntryState.Running,
    view: held?.view,
    heardMs: line.timeMs,
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
      return { ...entry, view: restoreView(line.details) ?? entry.view };
    default:
      return entry;
  }
}

/** Whether every entry that runs has the newest configuration of them all. */
export function areEntriesUpToDate({ entries }: LoggedStatus): boolean {
  const newest = newestConfiguration(entries);
  return entries.every((entry) => !isBehind(entry, newest));
}

/** Returns the lines to print; ages count from the newest line of all logs. */
export function formatLoggedStatus(status: LoggedStatus): readonly string[] {
  const { entries, unreadable } = status;
  const newest = newestConfiguration(entries);
  const endMs = Math.max(...entries.map(({ heardMs }) => heardMs));
  const lines = [`newest configuration in force: ${formatVersion(newest)}`];
  for (const entry of entries) {
    lines.push(formatEntry(entry, { newest, endMs }));
    lines.push(...formatServers(entry.view));
  }
  if (unreadable > 0) lines.push(`${unreadable} lines could not be read`);
  return lines;
}

function formatEntry(
  logged: LoggedEntry,
  { newest, endMs }: { readonly newest: number; readonly endMs: number },
): string {
  const { entry, life, view, heardMs } = logged;
  const ageMs = endMs - heardMs;
  const isSilent = life !== EntryState.Stopped && ageMs > SILENT_MS;
  const parts = [
    life,
    ...(isSilent ? [`silent for ${Math.round(ageMs / MS_PER_S)} s`] : []),
    ...(view === undefined ? ["has not said what it knows"] : []),
  ];
  if (view !== undefined && life !== EntryState.Stopped) {
    const behind = isBehind(logged, newest) ? " (behind)" : "";
    parts.push(
      `configuration ${formatVersion(view.configuration)}${behind}`,
      `server list ${view.listed}`,
      `${view.serving} servers serving`,
      `knows of ${view.entries} entries`,
      ...(view.isReading ? ["reads the store for others"] : []),
    );
  }
  return `entry ${entry}: ${parts.join(", ")}`;
}

function formatServers(view: LoggedView | undefined): readonly string[] {
  if (view === undefined) return [];
  const format = (what: string, names: readonly string[], count: number) => {
    if (count === 0) return [];
    const more = count > names.length
      ? ` and ${count - names.length} more`
      : "";
    return [`  ${what}: ${names.join(", ")}${more}`];
  };
  return [
    ...format("ejected", view.ejected, view.ejectedCount),
    ...format("leaving", view.leaving, view.leavingCount),
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

function restoreLine(text: string): LogLine | undefined {
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
    // Other programs write to the same place; the caller counts such lines.
    return undefined;
  }
}

function restoreView(
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
  };
}
