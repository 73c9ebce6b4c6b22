/**
 * Watches a stream for silence. A silent server is asked for a report before it
 * is given up: reading a long prompt again costs far more than asking, and an
 * engine that reads another prompt is slow, not lost.
 */

import { StallTimer } from "../connection/stall_timer.ts";
import { LossCause, messageOf } from "../errors.ts";
import type { ServerReports } from "../process/server_reports.ts";
import type { LiveServer } from "../process/live_server.ts";
import { judgeSilence, SilenceVerdict } from "./silence.ts";

/** What a guard needs of its stream. */
export interface SilenceGuardOptions {
  readonly reports: ServerReports;
  readonly server: LiveServer;
  /** Request id of the run. */
  readonly id: string;
  /** Silence before the first event after which the server is asked, in ms. */
  readonly firstLimitMs: number;
  /** Longest time to the first event, in ms. */
  readonly firstMaxMs: number;
  /** Events received so far. */
  readonly events: () => number;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called once when the run counts as lost. */
  readonly onLost: (cause: LossCause, detail: string) => void;
}

/** Guards one sending of a stream. */
export class SilenceGuard {
  readonly #options: SilenceGuardOptions;
  readonly #timer: StallTimer;
  readonly #startMs: number;
  #heardCount = 0;
  #absences = 0;
  #closed = false;

  private constructor(options: SilenceGuardOptions) {
    this.#options = options;
    this.#startMs = options.now();
    this.#timer = StallTimer.create(
      options.firstLimitMs,
      () => this.#check(),
    );
  }

  /** Starts to watch. */
  static create(options: SilenceGuardOptions): SilenceGuard {
    return new SilenceGuard(options);
  }

  /** Notes bytes from the server; `limitMs` is the silence borne from now. */
  hear(limitMs: number): void {
    this.#heardCount++;
    this.#absences = 0;
    this.#timer.setLimit(limitMs);
    this.#timer.hear();
  }

  /** Lets silence pass while the reader itself does not read. */
  hold(): void {
    this.#timer.hold();
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
    const { reports, server, id, events, onLost } = this.#options;
    const { now, firstMaxMs } = this.#options;
    const isOver = () => this.#closed || this.#heardCount !== heardCount;
    try {
      const report = await reports.ask(server);
      if (isOver()) return;
      if (report === undefined) {
        return onLost(LossCause.Stalled, "its server no longer gives reports");
      }
      const verdict = judgeSilence(report, {
        id,
        server,
        events: events(),
        isOverdue: now() - this.#startMs > firstMaxMs,
        absences: this.#absences,
      });
      if (verdict === SilenceVerdict.Lost) {
        return onLost(LossCause.Stalled, "the report shows that it has ended");
      }
      if (verdict === SilenceVerdict.Absent) this.#absences++;
      this.#timer.hear();
    } catch (error) {
      if (isOver()) return;
      onLost(LossCause.Silent, `no report: ${messageOf(error)}`);
    }
  }
}
