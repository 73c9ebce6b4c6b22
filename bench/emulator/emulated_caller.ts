/** A caller of an emulated stream, which notes how well it was served. */

import type { OrderCaller } from "../../src/connection/order_caller.ts";

/** What a caller wants of a stream. */
export interface StreamAim {
  /** Time in which the first event is on time, in ms. */
  readonly targetMs: number;
  /** Longest pause between events that is on time, in ms. */
  readonly pauseMs: number;
}

/** How a stream ended for its caller. */
export type StreamEnding = "open" | "on time" | "late" | "refused" | "broken";

const MS_PER_S = 1_000;
const STATUS_OK = 200;

/** One caller. */
export class EmulatedCaller implements OrderCaller {
  readonly signal = new AbortController().signal;
  readonly customer: string;
  readonly #now: () => number;
  readonly #aim: StreamAim;
  /** When it first asked, in ms. */
  readonly startMs: number;
  #heardMs: number;
  #isLate = false;
  #hasEvents = false;
  /** How the stream ended. */
  ending: StreamEnding = "open";
  /** Time until it ended, in ms. */
  tookMs = 0;
  /** When it was told to come back after its last refusal, in ms from then. */
  retryAfterMs = 0;
  /** Called once the stream has ended. */
  onOver: () => void = () => undefined;

  private constructor(
    now: () => number,
    aim: StreamAim & { readonly customer: string },
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
    aim: StreamAim & { readonly customer: string },
  ): EmulatedCaller {
    return new EmulatedCaller(now, aim);
  }

  readonly answer: OrderCaller["answer"] = ({ status }) => {
    const isLate = this.#now() - this.startMs > this.#aim.targetMs;
    if (status !== STATUS_OK) this.#end("broken");
    else this.#end(isLate ? "late" : "on time");
  };
  readonly begin: OrderCaller["begin"] = () => undefined;
  readonly write: OrderCaller["write"] = () => {
    const pauseMs = this.#now() - this.#heardMs;
    const { targetMs, pauseMs: pauseMaxMs } = this.#aim;
    this.#isLate ||= pauseMs > (this.#hasEvents ? pauseMaxMs : targetMs);
    this.#hasEvents = true;
    this.#heardMs = this.#now();
    return Promise.resolve();
  };
  readonly end = () => this.#end(this.#isLate ? "late" : "on time");
  readonly breakOff = () => this.#end("broken");
  readonly refuse: OrderCaller["refuse"] = ({ retryAfterS }) => {
    this.retryAfterMs = (retryAfterS ?? 0) * MS_PER_S;
    this.#end("refused");
  };

  #end(ending: StreamEnding): void {
    this.ending = ending;
    this.tookMs = this.#now() - this.startMs;
    this.onOver();
  }
}
