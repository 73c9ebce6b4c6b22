/** Reports of backend servers, asked for once for all that need one at a time. */

import type {
  ReportFetcher,
  ServerReport,
} from "../connection/backend_report.ts";
import type { LiveServer } from "./live_server.ts";

/** How long a report serves others that ask for it, in ms. */
const SHARED_MS = 60;

interface HeldReport {
  readonly askedMs: number;
  readonly report: Promise<ServerReport | undefined>;
}

/** The latest reports by server. */
export class ServerReports {
  readonly #now: () => number;
  readonly #ask: ReportFetcher;
  readonly #held = new Map<string, HeldReport>();

  private constructor(now: () => number, ask: ReportFetcher) {
    this.#now = now;
    this.#ask = ask;
  }

  /** Starts without reports; `now` is a monotonic clock in ms. */
  static create(now: () => number, ask: ReportFetcher): ServerReports {
    return new ServerReports(now, ask);
  }

  /** Returns a fresh report; see `ReportFetcher`. */
  fetch(server: LiveServer): Promise<ServerReport | undefined> {
    const nowMs = this.#now();
    for (const [name, { askedMs }] of this.#held) {
      if (nowMs - askedMs > SHARED_MS) this.#held.delete(name);
    }
    const held = this.#held.get(server.name);
    if (held !== undefined) return held.report;
    const report = this.#ask(server);
    this.#held.set(server.name, { askedMs: nowMs, report });
    return report;
  }
}
