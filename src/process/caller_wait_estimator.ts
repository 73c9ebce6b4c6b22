/**
 * Tells callers that have just come from those that come back, by the time that
 * they have left: answers to the latter are late whatever is done, so under more
 * calls than servers can answer they only take the place of answers on time.
 */

/** Time over which the longest time of a route's callers is remembered, in ms. */
const MEMORY_MS = 10_000;

interface RouteTimes {
  /** Longest time left at arrival, in this span and in the one before, in ms. */
  longestMs: number;
  longestBeforeMs: number;
  spanStartMs: number;
}

/** How long the callers of each route have lately been willing to wait. */
export class CallerWaitEstimator {
  readonly #now: () => number;
  readonly #routes = new Map<string, RouteTimes>();

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts without callers; `now` is a monotonic clock in ms. */
  static create(now: () => number): CallerWaitEstimator {
    return new CallerWaitEstimator(now);
  }

  /**
   * Notes a caller that has `leftMs` left; returns the time that it has most
   * likely waited before it came here, in ms.
   */
  record(route: string, leftMs: number): number {
    const times = this.#timesOf(route);
    times.longestMs = Math.max(times.longestMs, leftMs);
    return Math.max(times.longestMs, times.longestBeforeMs) - leftMs;
  }

  #timesOf(route: string): RouteTimes {
    const nowMs = this.#now();
    const times = this.#routes.get(route) ??
      { longestMs: 0, longestBeforeMs: 0, spanStartMs: nowMs };
    this.#routes.set(route, times);
    if (nowMs - times.spanStartMs >= MEMORY_MS) {
      times.longestBeforeMs = times.longestMs;
      times.longestMs = 0;
      times.spanStartMs = nowMs;
    }
    return times;
  }
}
