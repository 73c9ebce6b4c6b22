/**
 * Reports callers that were refused or closed to stay within a limit. A crowd of
 * them is one log line a second, with their number.
 */

import { LOG_EVENTS } from "../process/log_events.ts";
import type { Log } from "../process/log.ts";

/** Dependencies of `ShedReports`. */
export interface ShedReportsOptions {
  readonly log: Log;
  /** Counts each of them. */
  readonly onShed: (what: string) => void;
}

const REPORT_INTERVAL_MS = 1_000;

/** The reports of one process. */
export class ShedReports {
  readonly #options: ShedReportsOptions;
  /** Numbers since the last report, by what was shed. */
  readonly #counts = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  private constructor(options: ShedReportsOptions) {
    this.#options = options;
  }

  /** Starts without reports. */
  static create(options: ShedReportsOptions): ShedReports {
    return new ShedReports(options);
  }

  /** Records one caller; the first after a pause is reported at once. */
  record(what: string): void {
    this.#options.onShed(what);
    this.#counts.set(what, (this.#counts.get(what) ?? 0) + 1);
    if (this.#timer !== undefined) return;
    this.#report();
    this.#schedule();
  }

  /** Stops reporting. */
  close(): void {
    clearTimeout(this.#timer);
  }

  #schedule(): void {
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (this.#counts.size === 0) return;
      this.#report();
      this.#schedule();
    }, REPORT_INTERVAL_MS).unref();
  }

  #report(): void {
    for (const [what, count] of this.#counts) {
      this.#options.log(LOG_EVENTS.callersShed, { what, count });
    }
    this.#counts.clear();
  }
}
