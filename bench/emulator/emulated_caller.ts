/** A caller in an emulation, which records how its request was served. */

import type { ResponseWriter } from "../../src/connection/response_writer.ts";

/** Latency that a caller expects of a request. */
export interface LatencyTarget {
  /** Longest time to the first event, or to a whole response, in ms. */
  readonly targetMs: number;
  /** Longest pause between two events, in ms. */
  readonly maxPauseMs: number;
}

/** How a request ended for its caller; `open` until then. */
export type StreamOutcome = "open" | "on time" | "late" | "refused" | "broken";

const MS_PER_S = 1_000;
const STATUS_OK = 200;

/** The caller of one request; it receives the response. */
export class EmulatedCaller implements ResponseWriter {
  readonly signal = new AbortController().signal;
  readonly customer: string;
  readonly #now: () => number;
  readonly #target: LatencyTarget;
  /** When its request was first sent, in virtual ms. */
  readonly startMs: number;
  #lastEventMs: number;
  #isLate = false;
  #hasEvents = false;
  /** How the request ended. */
  outcome: StreamOutcome = "open";
  /** Time from the request to its end, in ms. */
  durationMs = 0;
  /** Retry-After of the last refusal, in ms. */
  retryAfterMs = 0;
  /** Called once the request has ended. */
  onEnd: () => void = () => undefined;

  private constructor(
    now: () => number,
    target: LatencyTarget & { readonly customer: string },
  ) {
    this.#now = now;
    this.#target = target;
    this.customer = target.customer;
    this.startMs = now();
    this.#lastEventMs = now();
  }

  /** Creates a caller whose request is sent now. */
  static create(
    now: () => number,
    target: LatencyTarget & { readonly customer: string },
  ): EmulatedCaller {
    return new EmulatedCaller(now, target);
  }

  readonly send: ResponseWriter["send"] = ({ status }) => {
    const isLate = this.#now() - this.startMs > this.#target.targetMs;
    if (status !== STATUS_OK) this.#end("broken");
    else this.#end(isLate ? "late" : "on time");
  };
  readonly writeHead: ResponseWriter["writeHead"] = () => undefined;
  readonly write: ResponseWriter["write"] = () => {
    const pauseMs = this.#now() - this.#lastEventMs;
    const { targetMs, maxPauseMs } = this.#target;
    this.#isLate ||= pauseMs > (this.#hasEvents ? maxPauseMs : targetMs);
    this.#hasEvents = true;
    this.#lastEventMs = this.#now();
    return Promise.resolve();
  };
  readonly end = () => this.#end(this.#isLate ? "late" : "on time");
  readonly abort = () => this.#end("broken");
  readonly sendError: ResponseWriter["sendError"] = ({ retryAfterS }) => {
    this.retryAfterMs = (retryAfterS ?? 0) * MS_PER_S;
    this.#end("refused");
  };

  #end(outcome: StreamOutcome): void {
    this.outcome = outcome;
    this.durationMs = this.#now() - this.startMs;
    this.onEnd();
  }
}
