/**
 * Detects stalled streams. The report of a stalled server is fetched before the
 * attempt is given up: prefilling a long prompt again costs far more than a
 * report, and an engine that prefills another prompt is slow, not failed.
 */

import { StallTimer } from "../connection/stall_timer.ts";
import { FailureCause, messageOf } from "../errors.ts";
import type { ServerReports } from "../process/server_reports.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import { classifyStall, StallVerdict } from "./stall_policy.ts";

/** Options of a `StallDetector`. */
export interface StallDetectorOptions {
  readonly reports: ServerReports;
  readonly server: RegisteredServer;
  /** Request id of the run. */
  readonly id: string;
  /** Time without a first event after which the report is fetched, in ms. */
  readonly firstEventStallMs: number;
  /** Longest time to the first event, in ms. */
  readonly firstEventTimeoutMs: number;
  /** Returns the number of events received so far. */
  readonly eventCount: () => number;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called once when the run counts as lost. */
  readonly onLost: (cause: FailureCause, detail: string) => void;
}

/** Detects stalls of one attempt of a stream. */
export class StallDetector {
  readonly #options: StallDetectorOptions;
  readonly #timer: StallTimer;
  readonly #startMs: number;
  #activityCount = 0;
  #absentReports = 0;
  #isClosed = false;

  private constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#startMs = options.now();
    this.#timer = StallTimer.create(
      options.firstEventStallMs,
      () => this.#checkServer(),
    );
  }

  /** Starts the stall timeout. */
  static create(options: StallDetectorOptions): StallDetector {
    return new StallDetector(options);
  }

  /** Records bytes from the server; the next stall timeout is `timeoutMs`. */
  recordActivity(timeoutMs: number): void {
    this.#activityCount++;
    this.#absentReports = 0;
    this.#timer.setLimit(timeoutMs);
    this.#timer.reset();
  }

  /** Pauses the detection while nothing is read from the server. */
  pause(): void {
    this.#timer.suspend();
  }

  /** Resumes the detection with a new stall timeout. */
  resume(): void {
    this.#timer.resume();
  }

  /** Stops the detection. */
  close(): void {
    this.#isClosed = true;
    this.#timer.close();
  }

  async #checkServer(): Promise<void> {
    const activityCount = this.#activityCount;
    const { reports, server, id, eventCount, onLost } = this.#options;
    const { now, firstEventTimeoutMs } = this.#options;
    const isOutdated = () =>
      this.#isClosed || this.#activityCount !== activityCount;
    try {
      const report = await reports.fetch(server);
      if (isOutdated()) return;
      if (report === undefined) {
        return onLost(
          FailureCause.Stalled,
          "the server no longer returns reports",
        );
      }
      const verdict = classifyStall(report, {
        id,
        server,
        eventCount: eventCount(),
        isOverdue: now() - this.#startMs > firstEventTimeoutMs,
        absentReports: this.#absentReports,
      });
      if (verdict === StallVerdict.Lost) {
        return onLost(
          FailureCause.Stalled,
          "the server's report shows that the run is lost",
        );
      }
      if (verdict === StallVerdict.Absent) this.#absentReports++;
      this.#timer.reset();
    } catch (error) {
      if (isOutdated()) return;
      onLost(
        FailureCause.Unresponsive,
        `the server returned no report: ${messageOf(error)}`,
      );
    }
  }
}
