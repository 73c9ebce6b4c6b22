/** What an entry knows of its deployment, as it tells it in its log. */

import { LOG_EVENTS } from "./log_events.ts";
import type { LiveServerView } from "./live_server.ts";
import type { Log, LogDetails } from "./log.ts";

/** What an entry knows at one moment. */
export interface EntryView {
  /** Version of the configuration in force, -1 before the first. */
  readonly configuration: number;
  /** The same for entries that hold the same list of backend servers. */
  readonly listed: string;
  /** Whether the entry reads the store for others. */
  readonly isReading: boolean;
  /** Entries heard of or registered, this one included. */
  readonly entries: number;
  /** Count of servers that get new work. */
  readonly serving: number;
  /** Names of servers that finish their work and get no more. */
  readonly leaving: readonly string[];
  /** Names of servers that get no new work for a while after a loss. */
  readonly ejected: readonly string[];
}

/** What the writer of views needs of its process. */
export interface EntryViewWriterOptions {
  readonly log: Log;
  /** Returns what is known now. */
  readonly view: () => EntryView;
}

/** How often a changed view is looked for, in ms; a line a second would be half the log. */
const CHECK_MS = 2_000;
/** A view is written so often without a change too, so that silence shows, in ms. */
export const ENTRY_VIEW_REPEAT_MS = 60_000;
/** Names in one line; more of them are a lost zone, which has a line of its own. */
const NAMES_MAX = 24;

/** Sorts servers by whether they get new work. */
export function groupServersByState(
  servers: Iterable<LiveServerView>,
  nowMs: number,
): Pick<EntryView, "serving" | "leaving" | "ejected"> {
  const leaving: string[] = [];
  const ejected: string[] = [];
  let serving = 0;
  for (const { server, ejectedUntilMs: avoidUntilMs } of servers) {
    if (server.isLeaving) leaving.push(server.name);
    else if (avoidUntilMs > nowMs) ejected.push(server.name);
    else serving++;
  }
  return { serving, leaving: leaving.sort(), ejected: ejected.sort() };
}

/** Writes an entry's view to the log when it has changed, and at an interval. */
export class EntryViewWriter {
  readonly #options: EntryViewWriterOptions;
  #timer: NodeJS.Timeout | undefined;
  #written = "";
  #checksLeft = 0;

  private constructor(options: EntryViewWriterOptions) {
    this.#options = options;
  }

  /** Makes a writer; `start` begins the checks. */
  static create(options: EntryViewWriterOptions): EntryViewWriter {
    return new EntryViewWriter(options);
  }

  /** Begins to look for changes. */
  start(): void {
    this.#timer = setInterval(() => this.writeIfChanged(), CHECK_MS);
  }

  /** Ends the checks. */
  close(): void {
    clearInterval(this.#timer);
  }

  /** Writes the view if it differs from the written one, or that one is old. */
  writeIfChanged(): void {
    const details = describeView(this.#options.view());
    const text = JSON.stringify(details);
    if (text === this.#written && --this.#checksLeft > 0) return;
    this.#written = text;
    this.#checksLeft = ENTRY_VIEW_REPEAT_MS / CHECK_MS;
    this.#options.log(LOG_EVENTS.entryView, details);
  }
}

function describeView(view: EntryView): LogDetails {
  return {
    ...view,
    leaving: view.leaving.slice(0, NAMES_MAX),
    leavingCount: view.leaving.length,
    ejected: view.ejected.slice(0, NAMES_MAX),
    ejectedCount: view.ejected.length,
  };
}
