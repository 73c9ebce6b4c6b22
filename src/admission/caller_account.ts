/**
 * One account of what the callers of a process hold, and the decision whom to
 * refuse or close.
 *
 * Answers the load of callers that don't behave: many connections that each hold
 * what a legal request may hold, and keep it. The one that has held most for
 * longest yields first. Callers that hold less than most others never yield, so
 * an ordinary request is served beside a crowd.
 */

/** Limits and clock of an account. */
export interface CallerAccountOptions {
  /** Most bytes that all callers together may hold. */
  readonly maxBytes: number;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

/** A caller holds more than this part of the mean before it has to yield. */
const YIELDING_SHARE = 0.5;
/** Part of the limit that requests at backend servers may hold. */
const KEPT_SHARE = 0.75;
/** Bytes up to which a request may be sent to a server in any case. */
const SMALL_BYTES = 65_536;

/** What all callers of a process hold. */
export class CallerAccount {
  readonly #options: CallerAccountOptions;
  readonly #holdings = new Set<CallerHolding>();
  #totalBytes = 0;
  #keptBytes = 0;

  private constructor(options: CallerAccountOptions) {
    this.#options = options;
  }

  /** Starts without callers. */
  static create(options: CallerAccountOptions): CallerAccount {
    return new CallerAccount(options);
  }

  /** Bytes that callers hold now. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * Opens the account of one caller; `close` it with its connection.
   *
   * @param onYield refuses the caller or closes its connection
   */
  open(onYield: () => void): CallerHolding {
    const holding = CallerHolding.create({
      now: this.#options.now,
      onYield,
      onChange: (changed, change) => this.#change(changed, change),
      mayKeep: (bytes) => this.#mayKeep(bytes),
      onClose: (closed) => this.#holdings.delete(closed),
    });
    this.#holdings.add(holding);
    return holding;
  }

  #mayKeep(bytes: number): boolean {
    const limitBytes = this.#options.maxBytes * KEPT_SHARE;
    return bytes <= SMALL_BYTES || this.#keptBytes + bytes <= limitBytes;
  }

  #change(
    holding: CallerHolding,
    { bytes, keptBytes }: HoldingChange,
  ): void {
    this.#totalBytes += bytes;
    this.#keptBytes += keptBytes;
    if (bytes <= 0) return;
    while (this.#totalBytes > this.#options.maxBytes) {
      const yielding = this.#chooseYielding() ?? holding;
      yielding.yield();
      if (yielding === holding) return;
    }
  }

  /** Returns the caller with the most bytes times age, if any must yield. */
  #chooseYielding(): CallerHolding | undefined {
    const nowMs = this.#options.now();
    const minBytes = this.#totalBytes / this.#holdings.size * YIELDING_SHARE;
    let chosen: CallerHolding | undefined;
    let most = 0;
    for (const holding of this.#holdings) {
      if (holding.isKept || holding.bytes < minBytes) continue;
      const weight = holding.bytes * (1 + nowMs - holding.sinceMs);
      if (weight <= most) continue;
      most = weight;
      chosen = holding;
    }
    return chosen;
  }
}

/** Changes of the sums of an account, in bytes. */
interface HoldingChange {
  readonly bytes: number;
  readonly keptBytes: number;
}

/** What a holding needs of its account. */
interface CallerHoldingOptions {
  readonly now: () => number;
  readonly onYield: () => void;
  readonly onChange: (holding: CallerHolding, change: HoldingChange) => void;
  readonly mayKeep: (bytes: number) => boolean;
  readonly onClose: (holding: CallerHolding) => void;
}

/** What one caller holds. */
export class CallerHolding {
  readonly #options: CallerHoldingOptions;
  #bytes = 0;
  #sinceMs = 0;
  #isKept = false;
  #isClosed = false;

  private constructor(options: CallerHoldingOptions) {
    this.#options = options;
  }

  /** Starts with nothing. */
  static create(options: CallerHoldingOptions): CallerHolding {
    return new CallerHolding(options);
  }

  /** Bytes that the caller holds. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Since when it holds any, on the monotonic clock in ms. */
  get sinceMs(): number {
    return this.#sinceMs;
  }

  /** Whether it must not yield, since a server works on its request. */
  get isKept(): boolean {
    return this.#isKept;
  }

  /** Records what the caller holds; may make it or another one yield. */
  setBytes(bytes: number): void {
    if (this.#isClosed || bytes === this.#bytes) return;
    if (this.#bytes === 0) this.#sinceMs = this.#options.now();
    const change = bytes - this.#bytes;
    this.#bytes = bytes;
    this.#options.onChange(this, {
      bytes: change,
      keptBytes: this.#isKept ? change : 0,
    });
  }

  /**
   * Protects the caller from yielding. Returns whether it is protected; not if
   * requests at servers would hold too much.
   */
  keep(): boolean {
    if (this.#isKept) return true;
    if (this.#isClosed || !this.#options.mayKeep(this.#bytes)) return false;
    this.#isKept = true;
    this.#options.onChange(this, { bytes: 0, keptBytes: this.#bytes });
    return true;
  }

  /** Ends the protection of `keep`. */
  unkeep(): void {
    if (!this.#isKept) return;
    this.#isKept = false;
    this.#options.onChange(this, { bytes: 0, keptBytes: -this.#bytes });
  }

  /** Makes the caller yield; it counts for nothing from then on. */
  yield(): void {
    this.close();
    this.#options.onYield();
  }

  /** Ends the account of a caller. */
  close(): void {
    if (this.#isClosed) return;
    this.unkeep();
    this.setBytes(0);
    this.#isClosed = true;
    this.#options.onClose(this);
  }
}
