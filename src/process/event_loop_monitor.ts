/**
 * Measures how long callbacks wait for the event loop, which all requests of a
 * process share.
 */

import { type IntervalHistogram, monitorEventLoopDelay } from "node:perf_hooks";
import { Histogram, type Registry } from "prom-client";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";

/** Where a monitor reports the delays. */
export interface EventLoopMonitorOptions {
  readonly log: Log;
  readonly registry: Registry;
}

/** Interval of the timer whose delay is measured, in ms. */
const RESOLUTION_MS = 50;
/** Interval at which the longest delay is reported, in ms. */
const REPORT_INTERVAL_MS = 1_000;
/** Delay from which on an interval is logged, in ms. */
const LOGGED_DELAY_MIN_MS = 200;
const MEDIAN_PERCENT = 50;
const NS_PER_MS = 1e6;
const MS_PER_S = 1_000;
const BUCKETS_S = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Reports the longest delay of each interval. */
export class EventLoopMonitor {
  readonly #log: Log;
  readonly #delays: IntervalHistogram;
  readonly #maxSeconds: Histogram;
  readonly #timer: NodeJS.Timeout;

  private constructor({ log, registry }: EventLoopMonitorOptions) {
    this.#log = log;
    this.#maxSeconds = new Histogram({
      name: "gypsumridge_event_loop_delay_seconds",
      help: "Longest delay of the event loop in each second",
      buckets: BUCKETS_S,
      registers: [registry],
    });
    this.#delays = monitorEventLoopDelay({ resolution: RESOLUTION_MS });
    this.#delays.enable();
    this.#timer = setInterval(() => this.#report(), REPORT_INTERVAL_MS);
  }

  /** Creates a monitor and starts it. */
  static create(options: EventLoopMonitorOptions): EventLoopMonitor {
    return new EventLoopMonitor(options);
  }

  /** Stops measuring. */
  close(): void {
    clearInterval(this.#timer);
    this.#delays.disable();
  }

  #report(): void {
    const maxMs = delayMs(this.#delays.max);
    const medianMs = delayMs(this.#delays.percentile(MEDIAN_PERCENT));
    this.#delays.reset();
    this.#maxSeconds.observe(maxMs / MS_PER_S);
    if (maxMs < LOGGED_DELAY_MIN_MS) return;
    this.#log(LOG_EVENTS.eventLoopDelayed, {
      max_ms: Math.round(maxMs),
      median_ms: Math.round(medianMs),
    });
  }
}

/** Converts a measured interval of the timer. */
function delayMs(intervalNs: number): number {
  return Math.max(0, intervalNs / NS_PER_MS - RESOLUTION_MS);
}
