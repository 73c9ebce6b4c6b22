/** State that an entry keeps for a backend server of its configuration. */

import type { LoadReport } from "../connection/engine_protocol.ts";
import { REPORT_MAX_AGE_MS } from "../constants.ts";
import type { BackendServer } from "../version/types.ts";

/** Immutable snapshot of what an entry knows of one backend server. */
export interface ServerView {
  readonly server: BackendServer;
  readonly report: LoadReport | undefined;
  /** When the latest report was requested, on the monotonic clock in ms. */
  readonly reportRequestedMs: number;
  /** Whether the platform's list marks the server as leaving. */
  readonly isListedLeaving: boolean;
  /** Gets no new requests before this time, on the monotonic clock in ms. */
  readonly ejectedUntilMs: number;
  /** Requests of this entry in flight on the server. */
  readonly inFlight: number;
  /** Suspected requests of this entry that may still crash the server. */
  readonly unprovenSuspects: number;
  /** Requests sent since the latest report was requested. */
  readonly sentSinceReport: number;
  /** Requests that ended since the latest report was requested. */
  readonly endedSinceReport: number;
}

/** Condition of a backend server, as the status shows it. */
export enum ServerCondition {
  Serving = "serving",
  Leaving = "leaving",
  Ejected = "ejected",
  Unreported = "unreported",
}

/** Returns the view of a server without reports or requests. */
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
 * Whether this entry may send one more request: always within its share of the
 * slots, and beyond it while the report shows free ones.
 */
export function hasCapacity(view: ServerView, entryCount: number): boolean {
  const share = Math.max(1, Math.floor(view.server.slots / entryCount));
  if (view.inFlight < share) return true;
  const { report } = view;
  return report !== undefined && usedSlots(view) < report.slots;
}

/**
 * Slots in use according to the report, corrected by the requests of this entry
 * that were sent or ended since.
 */
function usedSlots(view: ServerView): number {
  const { report, sentSinceReport, endedSinceReport } = view;
  const reported = (report?.running ?? 0) + (report?.queued ?? 0);
  return reported + sentSinceReport - endedSinceReport;
}

/** Returns the used slots as a fraction of all; above 1 when requests queue. */
export function utilizationOf(view: ServerView): number {
  return Math.max(view.inFlight, usedSlots(view)) / view.server.slots;
}
