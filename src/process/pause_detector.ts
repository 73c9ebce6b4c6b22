/**
 * Notices when the process itself stood still, so that nothing is decided on
 * views from before the pause.
 */

/** How a guard measures time and renews views. */
export interface PauseDetectorOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called after a pause, before new work; must end by itself. */
  readonly refresh: (pausedMs: number) => Promise<void>;
}

const BEAT_MS = 100;
/** A gap between beats beyond this counts as a pause, in ms. */
export const PAUSE_THRESHOLD_MS = 1_000;

/** Holds new work back after a pause until the views are refreshed. */
export class PauseDetector {
  readonly #options: PauseDetectorOptions;
  readonly #timer: NodeJS.Timeout;
  #lastBeatMs: number;
  #refreshing: Promise<void> | undefined;

  private constructor(options: PauseDetectorOptions) {
    this.#options = options;
    this.#lastBeatMs = options.now();
    this.#timer = setInterval(() => this.#beat(), BEAT_MS);
  }

  /** Starts watching for pauses. */
  static create(options: PauseDetectorOptions): PauseDetector {
    return new PauseDetector(options);
  }

  /** Stops watching. */
  close(): void {
    clearInterval(this.#timer);
  }

  /** Resolves once no refresh after a pause is outstanding. */
  async ready(): Promise<void> {
    this.#beat();
    await this.#refreshing;
  }

  #beat(): void {
    const now = this.#options.now();
    const pausedMs = now - this.#lastBeatMs;
    this.#lastBeatMs = now;
    if (pausedMs < PAUSE_THRESHOLD_MS) return;
    this.#refreshing = this.#options.refresh(pausedMs).finally(() => {
      this.#refreshing = undefined;
    });
  }
}
