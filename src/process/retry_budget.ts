/**
 * Bounds what retries add to the load of a service: all entries together may
 * send a ratio of the callers' requests, and a fixed allowance, once more.
 */

/** What all entries together may repeat, and this entry's part of it. */
export interface RetryBudgetOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Retries for each request of callers. */
  readonly ratio: number;
  /** Retries beyond the ratio in a window, for all entries together. */
  readonly allowance: number;
  readonly windowMs: number;
  /** Count of live entries, this one included. */
  readonly entryCount: () => number;
}

interface ServiceWindow {
  readonly requestsMs: number[];
  readonly retriesMs: number[];
}

/** Part of the budget that is used; the rest covers requests seen elsewhere. */
const SAFE_PART = 0.8;

/** Requests and retries of this entry in the last window, by service. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #services = new Map<string, ServiceWindow>();

  private constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Starts with an unused budget. */
  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Counts a caller's request for a service. */
  countRequest(service: string): void {
    this.#window(service).requestsMs.push(this.#options.now());
  }

  /** Takes one retry from the budget; `false` when it is used up. */
  takeRetry(service: string): boolean {
    const window = this.#window(service);
    const { ratio, allowance, entryCount, now } = this.#options;
    const ownAllowance = allowance / Math.max(1, entryCount());
    const limit = ratio * window.requestsMs.length + ownAllowance;
    if (window.retriesMs.length + 1 > limit * SAFE_PART) return false;
    window.retriesMs.push(now());
    return true;
  }

  #window(service: string): ServiceWindow {
    const window = this.#services.get(service) ??
      { requestsMs: [], retriesMs: [] };
    this.#services.set(service, window);
    const sinceMs = this.#options.now() - this.#options.windowMs;
    dropBefore(window.requestsMs, sinceMs);
    dropBefore(window.retriesMs, sinceMs);
    return window;
  }
}

function dropBefore(timesMs: number[], sinceMs: number): void {
  const first = timesMs.findIndex((timeMs) => timeMs >= sinceMs);
  timesMs.splice(0, first < 0 ? timesMs.length : first);
}
