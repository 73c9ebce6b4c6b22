/**
 * Detects that the process was suspended, so that no decision is based on state
 * from before the pause.
 */

/** Dependencies of a pause detector. */
export interface PauseDetectorOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called after a pause, before new requests; must have its own timeout. */
  readonly refresh: (pausedMs: number) => Promise<void>;
}

const CHECK_INTERVAL_MS = 100;
/** Gap between two checks from which on it counts as a pause, in ms. */
export const PAUSE_THRESHOLD_MS = 1_000;

/** Delays new requests after a pause until the refresh has ended. */
export class PauseDetector {
  readonly #options: PauseDetectorOptions;
  readonly #timer: NodeJS.Timeout;
  #lastCheckMs: number;
  #pendingRefresh: Promise<void> | undefined;

  private constructor(options: PauseDetectorOptions) {
    this.#options = options;
    this.#lastCheckMs = options.now();
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  /** Creates a detector and starts its checks. */
  static create(options: PauseDetectorOptions): PauseDetector {
    return new PauseDetector(options);
  }

  /** Stops the checks. */
  close(): void {
    clearInterval(this.#timer);
  }

  /** Resolves once no refresh after a pause is pending. */
  async ready(): Promise<void> {
    this.#check();
    await this.#pendingRefresh;
  }

  #check(): void {
    const now = this.#options.now();
    const pausedMs = now - this.#lastCheckMs;
    this.#lastCheckMs = now;
    if (pausedMs < PAUSE_THRESHOLD_MS) return;
    this.#pendingRefresh = this.#options.refresh(pausedMs).finally(() => {
      this.#pendingRefresh = undefined;
    });
  }
}
