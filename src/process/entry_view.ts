/** An entry's view of its deployment, written to its log. */

import { LOG_EVENTS } from "./log_events.ts";
import type { RegisteredServerView } from "./registered_server.ts";
import type { Log, LogDetails } from "./log.ts";

/** Snapshot of an entry's view of its deployment. */
export interface EntryView {
  /** Version of the adopted configuration; -1 before the first. */
  readonly configuration: number;
  /** Checksum of the server list; equal for entries with equal lists. */
  readonly listed: string;
  /** Whether the entry reads the store for all entries. */
  readonly isReading: boolean;
  /** Number of entries, this one included; see `Relay.entryCount`. */
  readonly entries: number;
  /** Number of servers that get new requests. */
  readonly serving: number;
  /** Names of servers that finish their requests and get no new ones. */
  readonly leaving: readonly string[];
  /** Names of servers that get no new requests for a while after a failure. */
  readonly ejected: readonly string[];
  /** Requests and parts of prompts that are refused: they crash servers. */
  readonly blocked: readonly string[];
}

/** Dependencies of an `EntryViewWriter`. */
export interface EntryViewWriterOptions {
  readonly log: Log;
  /** Returns the current view. */
  readonly view: () => EntryView;
}

/** Interval of checks, in ms; a line a second would be half of the log. */
const CHECK_INTERVAL_MS = 2_000;
/** Interval for logging an unchanged view, in ms; shows that the entry runs. */
export const ENTRY_VIEW_REPEAT_MS = 60_000;
/** Names per list; only a failed zone has more, and has its own log event. */
const LOGGED_NAMES_MAX = 24;

/** Groups servers by whether they get new requests. */
export function groupServersByState(
  servers: Iterable<RegisteredServerView>,
  nowMs: number,
): Pick<EntryView, "serving" | "leaving" | "ejected"> {
  const leaving: string[] = [];
  const ejected: string[] = [];
  let serving = 0;
  for (const { server, ejectedUntilMs } of servers) {
    if (server.isLeaving) leaving.push(server.name);
    else if (ejectedUntilMs > nowMs) ejected.push(server.name);
    else serving++;
  }
  return { serving, leaving: leaving.sort(), ejected: ejected.sort() };
}

/** Logs an entry's view when it has changed, and periodically. */
export class EntryViewWriter {
  readonly #options: EntryViewWriterOptions;
  #interval: NodeJS.Timeout | undefined;
  #lastLogged = "";
  #checksUntilRepeat = 0;

  private constructor(options: EntryViewWriterOptions) {
    this.#options = options;
  }

  /** Creates a writer; `start` begins the checks. */
  static create(options: EntryViewWriterOptions): EntryViewWriter {
    return new EntryViewWriter(options);
  }

  /** Starts the periodic checks. */
  start(): void {
    this.#interval = setInterval(
      () => this.writeIfChanged(),
      CHECK_INTERVAL_MS,
    );
  }

  /** Stops the checks. */
  close(): void {
    clearInterval(this.#interval);
  }

  /** Logs the view if it has changed or `ENTRY_VIEW_REPEAT_MS` have passed. */
  writeIfChanged(): void {
    const details = createLogDetails(this.#options.view());
    const text = JSON.stringify(details);
    if (text === this.#lastLogged && --this.#checksUntilRepeat > 0) return;
    this.#lastLogged = text;
    this.#checksUntilRepeat = ENTRY_VIEW_REPEAT_MS / CHECK_INTERVAL_MS;
    this.#options.log(LOG_EVENTS.entryView, details);
  }
}

function createLogDetails(view: EntryView): LogDetails {
  return {
    ...view,
    leaving: view.leaving.slice(0, LOGGED_NAMES_MAX),
    leavingCount: view.leaving.length,
    ejected: view.ejected.slice(0, LOGGED_NAMES_MAX),
    ejectedCount: view.ejected.length,
    blocked: view.blocked.slice(0, LOGGED_NAMES_MAX),
    blockedCount: view.blocked.length,
  };
}
