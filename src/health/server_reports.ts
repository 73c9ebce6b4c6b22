/**
 * Reports of backend servers; callers that need one at the same time share it.
 */

import type {
  ReportFetcher,
  ServerReport,
} from "../connection/backend_report.ts";
import type { RegisteredServer } from "../process/registered_server.ts";

/** How long a report is reused for further requests, in ms. */
const REUSE_MS = 60;

interface CachedReport {
  readonly requestedMs: number;
  readonly report: Promise<ServerReport | undefined>;
  /** When the server responded; absent while it hasn't. */
  respondedMs?: number;
}

/** The latest reports by server. */
export class ServerReports {
  readonly #now: () => number;
  readonly #fetchReport: ReportFetcher;
  readonly #cache = new Map<string, CachedReport>();

  private constructor(now: () => number, fetchReport: ReportFetcher) {
    this.#now = now;
    this.#fetchReport = fetchReport;
  }

  /** Creates an empty cache; `now` is a monotonic clock in ms. */
  static create(now: () => number, fetchReport: ReportFetcher): ServerReports {
    return new ServerReports(now, fetchReport);
  }

  /**
   * Returns a recent report; see `ReportFetcher`.
   *
   * @param failedMs when the server failed, on the monotonic clock in ms; a
   * response from before does not show that it lives
   */
  fetch(
    server: RegisteredServer,
    failedMs = -Infinity,
  ): Promise<ServerReport | undefined> {
    const nowMs = this.#now();
    for (const [name, { requestedMs }] of this.#cache) {
      if (nowMs - requestedMs > REUSE_MS) this.#cache.delete(name);
    }
    const cached = this.#cache.get(server.name);
    const { respondedMs = Infinity } = cached ?? {};
    if (cached !== undefined && respondedMs >= failedMs) return cached.report;
    const report = this.#fetchReport(server);
    const fetched: CachedReport = { requestedMs: nowMs, report };
    this.#cache.set(server.name, fetched);
    report.then(
      () => fetched.respondedMs = this.#now(),
      () => undefined,
    );
    return report;
  }
}
