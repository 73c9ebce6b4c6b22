/** Load reports of backend servers. */

import type { RegisteredServer } from "../process/registered_server.ts";

/** A run listed in a report. */
export interface ReportedRun {
  /** Events produced so far. */
  readonly events: number;
}

/** A server's report, which is a few hundred ms old. */
export interface ServerReport {
  /** Start of this incarnation on the server's clock, in ms; 0 if unknown. */
  readonly startedMs: number;
  /** Runs by request id; `undefined` where the server does not list them. */
  readonly runs: ReadonlyMap<string, ReportedRun> | undefined;
  /** Requests that wait for a place in the batch. */
  readonly waiting: number;
  /** Requests in the batch without an event yet; `undefined` if unknown. */
  readonly prefilling: number | undefined;
  /** Whether the server announces that it is leaving. */
  readonly isLeaving?: boolean;
}

/**
 * Fetches a server's report; `undefined` when the response has none, as with
 * plain servers. Errors: rejects when there is no response in time.
 */
export type ReportFetcher = (
  server: RegisteredServer,
) => Promise<ServerReport | undefined>;

/** Whether a report shows that exactly the listed incarnation is leaving. */
export function isListedLeaving(
  report: ServerReport | undefined,
  listed: { readonly startedMs: number },
): boolean {
  if (report?.isLeaving !== true) return false;
  return report.startedMs > 0 && report.startedMs === listed.startedMs;
}

/** Whether a report comes from another incarnation than the listed one. */
export function isRestarted(
  report: ServerReport | undefined,
  listed: { readonly startedMs: number },
): boolean {
  if (report === undefined) return false;
  const isKnown = report.startedMs > 0 && listed.startedMs > 0;
  return isKnown && report.startedMs !== listed.startedMs;
}
