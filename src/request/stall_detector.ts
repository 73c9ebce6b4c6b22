/**
 * Watches a stream for silence. A silent server is asked for a report before it
 * is given up: reading a long prompt again costs far more than asking, and an
 * engine that reads another prompt is slow, not lost.
 */

import { StallTimer } from "../connection/stall_timer.ts";
import { FailureCause, messageOf } from "../errors.ts";
import type { ServerReports } from "../process/server_reports.ts";
import type { LiveServer } from "../process/live_server.ts";
import { classifyStall, StallVerdict } from "./stall_policy.ts";

/** What a guard needs of its stream. */
export interface StallDetectorOptions {
  readonly reports: ServerReports;
  readonly server: LiveServer;
  /** Request id of the run. */
  readonly id: string;
  /** Silence before the first event after which the server is asked, in ms. */
  readonly firstEventStallMs: number;
  /** Longest time to the first event, in ms. */
  readonly firstEventTimeoutMs: number;
  /** Events received so far. */
  readonly eventCount: () => number;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called once when the run counts as lost. */
  readonly onLost: (cause: FailureCause, detail: string) => void;
}

/** Guards one sending of a stream. */
export class StallDetector {
  readonly #options: StallDetectorOptions;
  readonly #timer: StallTimer;
  readonly #startMs: number;
  #heardCount = 0;
  #absences = 0;
  #closed = false;

  private constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#startMs = options.now();
    this.#timer = StallTimer.create(
      options.firstEventStallMs,
      () => this.#check(),
    );
  }

  /** Starts to watch. */
  static create(options: StallDetectorOptions): StallDetector {
    return new StallDetector(options);
  }

  /** Notes bytes from the server; `limitMs` is the silence borne from now. */
  recordActivity(limitMs: number): void {
    this.#heardCount++;
    this.#absences = 0;
    this.#timer.setLimit(limitMs);
    this.#timer.reset();
  }

  /** Lets silence pass while the reader itself does not read. */
  pause(): void {
    this.#timer.suspend();
  }

  /** Counts silence again, from now. */
  resume(): void {
    this.#timer.resume();
  }

  /** Stops watching. */
  close(): void {
    this.#closed = true;
    this.#timer.close();
  }

  async #check(): Promise<void> {
    const heardCount = this.#heardCount;
    const { reports, server, id, eventCount: events, onLost } = this.#options;
    const { now, firstEventTimeoutMs: firstMaxMs } = this.#options;
    const isOver = () => this.#closed || this.#heardCount !== heardCount;
    try {
      const report = await reports.fetch(server);
      if (isOver()) return;
      if (report === undefined) {
        return onLost(
          FailureCause.Stalled,
          "its server no longer gives reports",
        );
      }
      const verdict = classifyStall(report, {
        id,
        server,
        eventCount: events(),
        isOverdue: now() - this.#startMs > firstMaxMs,
        absentReports: this.#absences,
      });
      if (verdict === StallVerdict.Lost) {
        return onLost(
          FailureCause.Stalled,
          "the report shows that it has ended",
        );
      }
      if (verdict === StallVerdict.Absent) this.#absences++;
      this.#timer.reset();
    } catch (error) {
      if (isOver()) return;
      onLost(FailureCause.Unresponsive, `no report: ${messageOf(error)}`);
    }
  }
}
