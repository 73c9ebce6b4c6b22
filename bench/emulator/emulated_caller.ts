/** A caller of an emulated stream, which notes how well it was served. */

import type { ResponseWriter } from "../../src/connection/response_writer.ts";

/** What a caller wants of a stream. */
export interface LatencyTarget {
  /** Time in which the first event is on time, in ms. */
  readonly targetMs: number;
  /** Longest pause between events that is on time, in ms. */
  readonly maxPauseMs: number;
}

/** How a stream ended for its caller. */
export type StreamOutcome = "open" | "on time" | "late" | "refused" | "broken";

const MS_PER_S = 1_000;
const STATUS_OK = 200;

/** One caller. */
export class EmulatedCaller implements ResponseWriter {
  readonly signal = new AbortController().signal;
  readonly customer: string;
  readonly #now: () => number;
  readonly #aim: LatencyTarget;
  /** When it first asked, in ms. */
  readonly startMs: number;
  #heardMs: number;
  #isLate = false;
  #hasEvents = false;
  /** How the stream ended. */
  outcome: StreamOutcome = "open";
  /** Time until it ended, in ms. */
  durationMs = 0;
  /** When it was told to come back after its last refusal, in ms from then. */
  retryAfterMs = 0;
  /** Called once the stream has ended. */
  onEnd: () => void = () => undefined;

  private constructor(
    now: () => number,
    aim: LatencyTarget & { readonly customer: string },
  ) {
    this.#now = now;
    this.#aim = aim;
    this.customer = aim.customer;
    this.startMs = now();
    this.#heardMs = now();
  }

  /** Begins to wait now. */
  static create(
    now: () => number,
    aim: LatencyTarget & { readonly customer: string },
  ): EmulatedCaller {
    return new EmulatedCaller(now, aim);
  }

  readonly send: ResponseWriter["send"] = ({ status }) => {
    const isLate = this.#now() - this.startMs > this.#aim.targetMs;
    if (status !== STATUS_OK) this.#end("broken");
    else this.#end(isLate ? "late" : "on time");
  };
  readonly writeHead: ResponseWriter["writeHead"] = () => undefined;
  readonly write: ResponseWriter["write"] = () => {
    const pauseMs = this.#now() - this.#heardMs;
    const { targetMs, maxPauseMs: pauseMaxMs } = this.#aim;
    this.#isLate ||= pauseMs > (this.#hasEvents ? pauseMaxMs : targetMs);
    this.#hasEvents = true;
    this.#heardMs = this.#now();
    return Promise.resolve();
  };
  readonly end = () => this.#end(this.#isLate ? "late" : "on time");
  readonly abort = () => this.#end("broken");
  readonly sendError: ResponseWriter["sendError"] = ({ retryAfterS }) => {
    this.retryAfterMs = (retryAfterS ?? 0) * MS_PER_S;
    this.#end("refused");
  };

  #end(ending: StreamOutcome): void {
    this.outcome = ending;
    this.durationMs = this.#now() - this.startMs;
    this.onEnd();
  }
}
