/**
 * Limits the load that retries add to a service: all entries together may retry
 * a fixed fraction of the callers' requests, plus a fixed allowance.
 *
 * Each entry has the retries of its own requests and an equal share of the
 * allowance. With hundreds of entries that is about one retry in a window, so an
 * entry borrows what it lacks from others. What is lent counts as spent by the
 * lender, so the sum over all entries stays within the budget whatever messages
 * are lost or entries fail.
 */

/** Budget of all entries together. */
export interface RetryLimits {
  /** Retries per caller request. */
  readonly ratio: number;
  /** Retries per window beyond the ratio, for all entries together. */
  readonly allowance: number;
  readonly windowMs: number;
}

/**
 * Asks another entry for part of its budget; resolves with the number of
 * retries that it lends, which may be a fraction, or 0. Never rejects.
 */
export type RetryLender = (service: string, wanted: number) => Promise<number>;

/** The first limits, and the entries that share them. */
export interface RetryBudgetOptions extends RetryLimits {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Returns the number of live entries, including this one. */
  readonly entryCount: () => number;
  /** Returns the entries to borrow from, in this order; none if absent. */
  readonly lenders?: () => Iterable<RetryLender>;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Called when retries were borrowed from another entry. */
  readonly onBorrowed?: (count: number) => void;
}

/** What the budget of a service consists of in the current window. */
export type RetryBudgetView = {
  /** Requests that this entry counted. */
  readonly requests: number;
  /** Retries made or lent. */
  readonly spent: number;
  /** Retries left of this entry's share. */
  readonly left: number;
  /** Retries borrowed and not made yet. */
  readonly borrowed: number;
  /** Entries that share the budget. */
  readonly entries: number;
};

/** Retries, or a fraction of one. */
interface RetryShare {
  readonly count: number;
  /**
   * When a retry was made, when the borrower makes a lent one at the latest, or
   * when a borrowed one was asked for; on the monotonic clock, in ms.
   */
  readonly atMs: number;
}

interface ServiceWindow {
  readonly requestTimesMs: number[];
  /** Retries that were made or lent. */
  spent: readonly RetryShare[];
  /** Borrowed retries that were not made yet. */
  loans: readonly RetryShare[];
}

/**
 * Fraction of the budget that is used; the rest is a margin for requests seen
 * at other entries.
 */
const USABLE_FRACTION = 0.8;
/** Largest fraction of its remaining retries that an entry with one lends. */
const LENT_FRACTION = 0.5;
/** Probability that an entry which lacks a retry itself lends nothing. */
const REFUSAL_PROBABILITY = 0.5;
/** Time in which borrowed retries have to be made, in ms. */
const LOAN_VALID_MS = 1_000;
/** Time for an entry to respond before the next one is asked, in ms. */
const LENDER_TIMEOUT_MS = 60;
/** Time that a request waits for loans before it goes without, in ms. */
const BORROW_TIMEOUT_MS = 150;
/** Time after entries were asked in vain until they are asked again, in ms. */
const BORROW_INTERVAL_MS = 200;
/** Tolerance for sums of fractions that make up one retry. */
const ROUNDING = 1e-9;

/** Requests and retries of this entry in the current window, by service. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #limits: RetryLimits;
  readonly #services = new Map<string, ServiceWindow>();
  /** Searches for lenders in progress, by service. */
  readonly #searches = new Map<string, Promise<void>>();
  /** When entries may be asked again after they were in vain, by service. */
  readonly #nextSearchMs = new Map<string, number>();

  private constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#limits = options;
  }

  /** Creates an unused budget. */
  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Changes the limits; what was counted in the window stays. */
  setLimits(limits: RetryLimits): void {
    this.#limits = limits;
  }

  /** Counts a caller's request to a service. */
  countRequest(service: string): void {
    this.#window(service).requestTimesMs.push(this.#options.now());
  }

  /** Whether a retry is left; if not, starts to borrow one for a later call. */
  hasRetry(service: string): boolean {
    const { own, borrowed } = this.#remaining(service);
    const isLeft = own + borrowed + ROUNDING >= 1;
    if (!isLeft) this.#borrow(service);
    return isLeft;
  }

  /** Takes one retry; returns `false` like `hasRetry`. */
  takeRetry(service: string): boolean {
    if (!this.hasRetry(service)) return false;
    const own = Math.min(1, this.#remaining(service).own);
    this.#spend(service, own, this.#options.now());
    const window = this.#window(service);
    window.loans = takeFrom(window.loans, 1 - own);
    return true;
  }

  /**
   * Takes one retry, and borrows what is missing; resolves with `false` if other
   * entries lend none in time.
   */
  async acquireRetry(service: string): Promise<boolean> {
    if (this.takeRetry(service)) return true;
    const search = this.#searches.get(service);
    if (search === undefined) return false;
    await settledWithin(search, BORROW_TIMEOUT_MS);
    return this.takeRetry(service);
  }

  /**
   * Lends retries, or a fraction of one, to another entry; returns how many. The
   * other entry has to make them within `LOAN_VALID_MS`; here they count as spent
   * from the end of that time on, so no window holds them twice.
   *
   * An entry that lacks a retry itself lends all it has or nothing, at random:
   * entries that all lack one would otherwise hold fractions that help nobody.
   */
  lend(service: string, wanted: number): number {
    const { own } = this.#remaining(service);
    const isLacking = this.#searches.has(service);
    // Less than one retry is of no use here.
    const available = own < 1 ? own : own * LENT_FRACTION;
    const isRefused = isLacking &&
      this.#options.random() < REFUSAL_PROBABILITY;
    const count = isRefused ? 0 : Math.min(wanted, available);
    if (count > 0) {
      this.#spend(service, count, this.#options.now() + LOAN_VALID_MS);
    }
    return count;
  }

  /**
   * Adds retries that another entry has lent.
   *
   * @param askedMs when it was asked, which is before it counted them as spent
   */
  addLoan(service: string, count: number, askedMs: number): void {
    const window = this.#window(service);
    window.loans = [...window.loans, { count, atMs: askedMs }];
  }

  /** Returns what the budget of a service consists of, for logs. */
  view(service: string): RetryBudgetView {
    const { requestTimesMs, spent } = this.#window(service);
    const { own, borrowed } = this.#remaining(service);
    return {
      requests: requestTimesMs.length,
      spent: round(sum(spent)),
      left: round(own),
      borrowed: round(borrowed),
      entries: this.#options.entryCount(),
    };
  }

  #spend(service: string, count: number, atMs: number): void {
    const window = this.#window(service);
    window.spent = [...window.spent, { count, atMs }];
  }

  /** Returns the retries left of the own share, and of loans. */
  #remaining(service: string): { own: number; borrowed: number } {
    const { requestTimesMs, spent, loans } = this.#window(service);
    const { ratio, allowance } = this.#limits;
    const entryCount = Math.max(1, this.#options.entryCount());
    const limit = ratio * requestTimesMs.length + allowance / entryCount;
    return {
      own: Math.max(0, limit * USABLE_FRACTION - sum(spent)),
      borrowed: sum(loans),
    };
  }

  /** Borrows what a retry lacks, unless a search runs or just failed. */
  #borrow(service: string): void {
    const nowMs = this.#options.now();
    const isPaused = (this.#nextSearchMs.get(service) ?? 0) > nowMs;
    if (isPaused || this.#searches.has(service)) return;
    const search = this.#searchLenders(service).finally(() =>
      this.#searches.delete(service)
    );
    this.#searches.set(service, search);
  }

  async #searchLenders(service: string): Promise<void> {
    const { lenders, onBorrowed, now } = this.#options;
    for (const askLender of lenders?.() ?? []) {
      const { own, borrowed } = this.#remaining(service);
      const missing = 1 - own - borrowed;
      if (missing <= ROUNDING) return;
      const askedMs = now();
      const loan = askLender(service, missing).then((count) => {
        if (count <= 0) return;
        this.addLoan(service, count, askedMs);
        onBorrowed?.(count);
      });
      await settledWithin(loan, LENDER_TIMEOUT_MS);
    }
    this.#nextSearchMs.set(service, now() + BORROW_INTERVAL_MS);
  }

  #window(service: string): ServiceWindow {
    const window = this.#services.get(service) ??
      { requestTimesMs: [], spent: [], loans: [] };
    this.#services.set(service, window);
    const nowMs = this.#options.now();
    const sinceMs = nowMs - this.#limits.windowMs;
    const firstKept = window.requestTimesMs.findIndex((timeMs) =>
      timeMs >= sinceMs
    );
    const dropCount = firstKept < 0 ? window.requestTimesMs.length : firstKept;
    window.requestTimesMs.splice(0, dropCount);
    window.spent = window.spent.filter(({ atMs }) => atMs >= sinceMs);
    window.loans = window.loans.filter(({ atMs }) =>
      atMs >= nowMs - LOAN_VALID_MS
    );
    return window;
  }
}

/** Resolves when a promise that never rejects has resolved, or after a time. */
function settledWithin(promise: Promise<void>, timeoutMs: number) {
  return new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, timeoutMs);
    promise.then(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}

function round(count: number): number {
  return Number(count.toFixed(2));
}

function sum(shares: readonly RetryShare[]): number {
  return shares.reduce((total, { count }) => total + count, 0);
}

/** Returns `shares` without `count` retries; the oldest are taken first. */
function takeFrom(
  shares: readonly RetryShare[],
  count: number,
): readonly RetryShare[] {
  let missing = count;
  return shares.flatMap((share) => {
    const taken = Math.min(missing, share.count);
    missing -= taken;
    return taken < share.count
      ? [{ ...share, count: share.count - taken }]
      : [];
  });
}
