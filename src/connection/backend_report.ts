/** What a backend server reports of itself when it is asked. */

import type { LiveServer } from "../process/live_server.ts";

/** A run that a server reports. */
export interface ReportedRun {
  /** Events produced so far. */
  readonly events: number;
}

/** A server's report, which is some hundred ms old. */
export interface ServerReport {
  /** When this incarnation started, on the server's clock in ms; 0 if unknown. */
  readonly startedMs: number;
  /** Runs by request id; `undefined` where the server does not list them. */
  readonly runs: ReadonlyMap<string, ReportedRun> | undefined;
  /** Requests that wait for a place in its batch. */
  readonly waiting: number;
  /** Requests in its batch without an event yet; `undefined` if it does not say. */
  readonly prefilling: number | undefined;
}

/**
 * Asks a server for its report; `undefined` when it answers without one, as
 * plain servers do. Errors: rejects when it gives no answer in time.
 */
export type ReportFetcher = (
  server: LiveServer,
) => Promise<ServerReport | undefined>;

/** Whether a report comes from a later incarnation than the one listed. */
export function isRestarted(
  report: ServerReport | undefined,
  listed: { readonly startedMs: number },
): boolean {
  if (report === undefined) return false;
  const isKnown = report.startedMs > 0 && listed.startedMs > 0;
  return isKnown && report.startedMs !== listed.startedMs;
}
