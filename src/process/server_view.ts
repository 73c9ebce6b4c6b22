/** What an entry knows of one backend server. */

import type { LoadReport } from "../connection/engine_protocol.ts";
import { REPORT_MAX_AGE_MS } from "../constants.ts";
import type { BackendServer } from "../version/types.ts";

/** An entry's knowledge of one backend server; replaced, never changed. */
export interface ServerView {
  readonly server: BackendServer;
  readonly report: LoadReport | undefined;
  /** When the latest report was asked for, on the monotonic clock in ms. */
  readonly reportRequestedMs: number;
  /** The platform's list says that it is leaving. */
  readonly isListedLeaving: boolean;
  /** No new work before this time, on the monotonic clock in ms. */
  readonly ejectedUntilMs: number;
  /** Requests of this entry that it runs now. */
  readonly inFlight: number;
  /** Suspected requests of this entry that have not proved harmless on it. */
  readonly unprovenSuspects: number;
  /** Requests sent since the latest report was asked for. */
  readonly sentSinceReport: number;
  /** Requests that ended since the latest report was asked for. */
  readonly endedSinceReport: number;
}

/** What status says of a backend server. */
export enum ServerCondition {
  Serving = "serving",
  Leaving = "leaving",
  Ejected = "ejected",
  Unreported = "unreported",
}

/** Returns the view of a server of which nothing is known yet. */
export function createServerView(server: BackendServer): ServerView {
  return {
    server,
    report: undefined,
    reportRequestedMs: Number.NEGATIVE_INFINITY,
    isListedLeaving: false,
    ejectedUntilMs: Number.NEGATIVE_INFINITY,
    inFlight: 0,
    unprovenSuspects: 0,
    sentSinceReport: 0,
    endedSinceReport: 0,
  };
}

/** Returns the condition of a server at `nowMs`. */
export function conditionOf(view: ServerView, nowMs: number): ServerCondition {
  const isLeaving = view.isListedLeaving || view.report?.leaving === true;
  if (isLeaving) return ServerCondition.Leaving;
  if (view.ejectedUntilMs > nowMs) return ServerCondition.Ejected;
  if (nowMs - view.reportRequestedMs > REPORT_MAX_AGE_MS) {
    return ServerCondition.Unreported;
  }
  return ServerCondition.Serving;
}

/**
 * Whether this entry may send one more request: within its share of the slots,
 * or beyond it while the report shows free ones.
 */
export function hasCapacity(view: ServerView, entryCount: number): boolean {
  const share = Math.max(1, Math.floor(view.server.slots / entryCount));
  if (view.inFlight < share) return true;
  const { report } = view;
  return report !== undefined && usedSlots(view) < report.slots;
}

/** Requests at a server by its report and what this entry did since. */
function usedSlots(view: ServerView): number {
  const { report, sentSinceReport, endedSinceReport } = view;
  const reported = (report?.running ?? 0) + (report?.queued ?? 0);
  return reported + sentSinceReport - endedSinceReport;
}

/** Returns how full a server is, from 0; lower is better. */
export function utilizationOf(view: ServerView): number {
  return Math.max(view.inFlight, usedSlots(view)) / view.server.slots;
}
