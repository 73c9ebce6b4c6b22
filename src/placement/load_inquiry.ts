/**
 * Asks servers for their load before a stream is placed.
 *
 * Answers the load of hundreds of entries, each of which sees its own requests
 * and those of a few peers: most servers look idle to it, and some get several
 * streams of other entries at once, whose prompts wait for each other for
 * seconds while other servers have nothing to do. A report is a few ms away, and
 * 100 to 200 ms old, in which few streams are placed.
 */

import type { ReportFetcher } from "../connection/backend_report.ts";
import { isHeldOff } from "../errors.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import type { ServerCriteria } from "./server_selector.ts";

/** What a server's report shows of its load. */
export interface ReportedLoad {
  /** Requests that run or wait; `undefined` if the server gave no report. */
  readonly requests: number | undefined;
  /** Those whose prompts are still to be prefilled. */
  readonly unread: number;
  /** When it was received, on the monotonic clock in ms. */
  readonly atMs: number;
}

/** Dependencies of the inquiries. */
export interface LoadInquiryOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Whether most of the servers' load is unknown here. */
  readonly isNeeded: () => boolean;
  /** Returns the server that a request would get now. */
  readonly choose: (criteria: ServerCriteria) => RegisteredServer | undefined;
  readonly reportedLoad: (server: string) => ReportedLoad | undefined;
  readonly recordReportedLoad: (server: string, load: ReportedLoad) => void;
  readonly fetchReport: ReportFetcher;
}

/** Time for which a reported load counts, in ms. */
const REPORTED_LOAD_VALID_MS = 400;
/** Servers asked for one stream, one after the other. */
const SERVERS_MAX = 2;

/** Returns a reported load that still counts at `nowMs`, if there is one. */
export function recentLoad(
  load: ReportedLoad | undefined,
  nowMs: number,
): ReportedLoad | undefined {
  const ageMs = nowMs - (load?.atMs ?? Number.NEGATIVE_INFINITY);
  return ageMs <= REPORTED_LOAD_VALID_MS ? load : undefined;
}

/** Inquiries of one entry; what they find is shared by its streams. */
export class LoadInquiry {
  readonly #options: LoadInquiryOptions;

  private constructor(options: LoadInquiryOptions) {
    this.#options = options;
  }

  /** Creates the inquiries. */
  static create(options: LoadInquiryOptions): LoadInquiry {
    return new LoadInquiry(options);
  }

  /**
   * Asks the server that a stream would get for its load, which may lead to
   * another choice, until the choice rests on a report or two were asked: the
   * less loaded of these is better than one more at random. Never rejects.
   */
  async ask(criteria: ServerCriteria): Promise<void> {
    const { now, isNeeded, choose, reportedLoad } = this.#options;
    if (!isNeeded()) return;
    for (let asked = 0; asked < SERVERS_MAX; asked++) {
      const server = choose(criteria);
      if (server === undefined) return;
      if (recentLoad(reportedLoad(server.name), now()) !== undefined) return;
      await this.#askServer(server);
    }
  }

  async #askServer(server: RegisteredServer): Promise<void> {
    const { now, fetchReport, recordReportedLoad } = this.#options;
    const record = (requests: number | undefined, unread: number) =>
      recordReportedLoad(server.name, { requests, unread, atMs: now() });
    try {
      const report = await fetchReport(server);
      const { waiting = 0, prefilling = 0, runs } = report ?? {};
      const unread = waiting + prefilling;
      record(unread + (runs?.size ?? 0), unread);
    } catch (error) {
      // Not chosen anyway while it has a pause.
      if (!isHeldOff(error)) record(undefined, 0);
    }
  }
}
