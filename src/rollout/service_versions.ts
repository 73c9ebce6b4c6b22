/** Which versions of a service's servers may get requests. */

/** Why a version gets no requests. */
enum Block {
  /** It was found bad; it gets none, whatever else there is. */
  RolledBack,
  /** It is left as long as there is another version. */
  Retired,
}

/** How long a version without an order is held back, in ms: orders follow. */
const UNORDERED_HOLD_MS = 1_500;

/** The versions of one service that an entry has seen. */
export class ServiceVersions {
  /** When a version's first server was listed, on the monotonic clock. */
  readonly #seenMs = new Map<string, number>();
  /** Start of a version's first server, in ms on the server's clock. */
  readonly #startedMs = new Map<string, number>();
  readonly #blocks = new Map<string, Block>();

  private constructor() {}

  /** Starts without versions. */
  static create(): ServiceVersions {
    return new ServiceVersions();
  }

  /**
   * Records a listed server; `seenMs` is when, on the monotonic clock, or the
   * lowest number if the version is not to be held back.
   */
  record(
    { version, startedMs }: {
      readonly version: string;
      readonly startedMs: number;
    },
    seenMs: number,
  ): void {
    this.#seenMs.set(
      version,
      Math.min(seenMs, this.#seenMs.get(version) ?? seenMs),
    );
    const knownMs = this.#startedMs.get(version) ?? startedMs;
    this.#startedMs.set(version, Math.min(startedMs, knownMs));
  }

  /** Stops holding back the versions that were seen so far. */
  releaseHeld(): void {
    for (const version of this.#seenMs.keys()) {
      this.#seenMs.set(version, Number.NEGATIVE_INFINITY);
    }
  }

  /** Whether a version other than `target` was seen. */
  hasOther(target: string): boolean {
    return [...this.#seenMs.keys()].some((version) => version !== target);
  }

  /** Records that a version was found bad. */
  markRolledBack(version: string): void {
    this.#blocks.set(version, Block.RolledBack);
  }

  /** Leaves a version while servers of another one are listed. */
  retire(version: string): void {
    if (!this.#blocks.has(version)) this.#blocks.set(version, Block.Retired);
  }

  /** Leaves all versions but one. */
  retireAllBut(target: string): void {
    this.#blocks.delete(target);
    for (const version of this.#seenMs.keys()) {
      if (version !== target) this.retire(version);
    }
  }

  /** Whether an earlier order has ended with leaving a version. */
  isBlocked(version: string): boolean {
    return this.#blocks.has(version);
  }

  /** Allows a version that a new order names. */
  unblock(version: string): void {
    this.#blocks.delete(version);
  }

  /** Returns the version whose servers started first. */
  get oldest(): string | undefined {
    return [...this.#startedMs]
      .toSorted(([, a], [, b]) => a - b)[0]?.[0];
  }

  /**
   * Whether a version may get requests.
   *
   * @param isListed whether any server of a version is listed
   */
  isAllowed(
    version: string,
    { nowMs, isListed }: {
      readonly nowMs: number;
      readonly isListed: (version: string) => boolean;
    },
  ): boolean {
    const block = this.#blocks.get(version);
    if (block === Block.RolledBack) return false;
    const seenMs = this.#seenMs.get(version) ?? nowMs;
    const isHeld = nowMs - seenMs < UNORDERED_HOLD_MS;
    if (block === undefined && !isHeld) return true;
    return ![...this.#seenMs.keys()].some((other) =>
      other !== version && !this.#blocks.has(other) && isListed(other)
    );
  }
}
