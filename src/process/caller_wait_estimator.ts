/**
 * Estimates how long callers have waited before a request, from the time that
 * they have left. A caller that has waited before is repeating a request: its
 * response is late in any case, and under overload it only displaces responses
 * that would be on time.
 */

/** Window for the longest remaining time of a route's callers, in ms. */
const WINDOW_MS = 10_000;

interface RouteWindow {
  /**
   * Longest remaining time on arrival, in this and the previous window, in ms.
   */
  longestMs: number;
  previousLongestMs: number;
  windowStartMs: number;
}

/** Remaining times of recent callers, by route. */
export class CallerWaitEstimator {
  readonly #now: () => number;
  readonly #routes = new Map<string, RouteWindow>();

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Creates an estimator; `now` is a monotonic clock in ms. */
  static create(now: () => number): CallerWaitEstimator {
    return new CallerWaitEstimator(now);
  }

  /**
   * Records a caller that can wait `remainingMs` more; returns the estimated
   * time that it has waited before this request, in ms.
   */
  record(route: string, remainingMs: number): number {
    const window = this.#windowOf(route);
    window.longestMs = Math.max(window.longestMs, remainingMs);
    return Math.max(window.longestMs, window.previousLongestMs) - remainingMs;
  }

  #windowOf(route: string): RouteWindow {
    const nowMs = this.#now();
    const window = this.#routes.get(route) ??
      { longestMs: 0, previousLongestMs: 0, windowStartMs: nowMs };
    this.#routes.set(route, window);
    if (nowMs - window.windowStartMs >= WINDOW_MS) {
      window.previousLongestMs = window.longestMs;
      window.longestMs = 0;
      window.windowStartMs = nowMs;
    }
    return window;
  }
}
