/**
 * Detects stalled streams. The report of a stalled server is fetched before the
 * attempt is given up: prefilling a long prompt again costs far more than a
 * report, and an engine that prefills another prompt is slow, not failed.
 */

import type { ServerReport } from "../connection/backend_report.ts";
import { StallTimer } from "../connection/stall_timer.ts";
import { FailureCause, isHeldOff, messageOf } from "../errors.ts";
import type { ServerReports } from "../health/server_reports.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import { classifyStall, StallVerdict } from "./stall_policy.ts";

/**
 * Silence from which another server may take over although no report may be
 * fetched, in ms; a healthy server may be silent for a second.
 */
const UNKNOWN_SILENCE_MAX_MS = 2_500;

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
  /** Called when the run counts as lost. */
  readonly onLost: (cause: FailureCause, detail: string) => void;
  /**
   * Called each time that the run may be in progress, but its server is silent
   * or its events are late.
   */
  readonly onSilent: (cause: FailureCause, detail: string) => void;
  /** Called when the report of a stalled run shows that it is in progress. */
  readonly onAlive: () => void;
}

/** Detects stalls of one attempt of a stream. */
export class StallDetector {
  readonly #options: StallDetectorOptions;
  readonly #timer: StallTimer;
  readonly #startMs: number;
  #activityCount = 0;
  #absentReports = 0;
  #lastActivityMs: number;
  #isClosed = false;

  private constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#startMs = options.now();
    this.#lastActivityMs = this.#startMs;
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
    this.#lastActivityMs = this.#options.now();
    this.#timer.setLimit(timeoutMs);
    this.#timer.reset();
  }

  /** Pauses the detection while nothing is read from the server. */
  pause(): void {
    this.#timer.suspend();
  }

  /** Resumes the detection with a new stall timeout. */
  resume(): void {
    this.#lastActivityMs = this.#options.now();
    this.#timer.resume();
  }

  /** Stops the detection. */
  close(): void {
    this.#isClosed = true;
    this.#timer.close();
  }

  async #checkServer(): Promise<void> {
    const activityCount = this.#activityCount;
    const { reports, server } = this.#options;
    const report = await reports.fetch(server).then(
      (report) => ({ report, error: undefined }),
      (error: unknown) => ({ report: undefined, error }),
    );
    if (this.#isClosed || this.#activityCount !== activityCount) return;
    this.#timer.reset();
    this.#judge(report);
  }

  /** Classifies the run by its server's report. */
  #judge({ report, error }: {
    readonly report: ServerReport | undefined;
    readonly error: unknown;
  }): void {
    const { onLost, onSilent, onAlive } = this.#options;
    if (isHeldOff(error)) return this.#judgeUnknown();
    if (error !== undefined) {
      const detail = `the server returned no report: ${messageOf(error)}`;
      return onSilent(FailureCause.Unresponsive, detail);
    }
    if (report === undefined) {
      const detail = "the server no longer returns reports";
      return onSilent(FailureCause.Stalled, detail);
    }
    switch (this.#classify(report)) {
      case StallVerdict.Lost:
        return onLost(
          FailureCause.Stalled,
          "the server's report shows that the run is lost",
        );
      case StallVerdict.Late:
        return onSilent(
          FailureCause.Stalled,
          "the server's report shows that events of the run are late",
        );
      case StallVerdict.Absent:
        this.#absentReports++;
        return;
      case StallVerdict.Alive:
        return onAlive();
    }
  }

  /** Classifies a run whose server's report must not be fetched. */
  #judgeUnknown(): void {
    const { eventCount, now, onSilent } = this.#options;
    const isPrefilling = eventCount() === 0 && !this.#isOverdue;
    const silenceMs = now() - this.#lastActivityMs;
    if (isPrefilling || silenceMs < UNKNOWN_SILENCE_MAX_MS) return;
    onSilent(
      FailureCause.Stalled,
      "no events, and the server has asked for a pause",
    );
  }

  /** Whether a healthy server would have sent the first event. */
  get #isOverdue(): boolean {
    const { now, firstEventTimeoutMs } = this.#options;
    return now() - this.#startMs > firstEventTimeoutMs;
  }

  #classify(report: ServerReport): StallVerdict {
    const { server, id, eventCount } = this.#options;
    return classifyStall(report, {
      id,
      server,
      eventCount: eventCount(),
      isOverdue: this.#isOverdue,
      absentReports: this.#absentReports,
    });
  }
}
