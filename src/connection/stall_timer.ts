/** A timer for stalled peers that tolerates pauses of this process. */

/** Fires after a given time without activity. */
export class StallTimer {
  readonly #onStall: () => void;
  #timer: NodeJS.Timeout;
  #limitMs: number;
  #hasActivity = false;
  #isSuspended = false;

  private constructor(limitMs: number, onStall: () => void) {
    this.#onStall = onStall;
    this.#limitMs = limitMs;
    this.#timer = this.#start();
  }

  /** Starts a timer with a limit in ms. */
  static create(limitMs: number, onStall: () => void): StallTimer {
    return new StallTimer(limitMs, onStall);
  }

  /** Records activity and restarts the timer. */
  reset(): void {
    this.#hasActivity = true;
    this.#timer.refresh();
  }

  /** Changes the limit, in ms. */
  setLimit(limitMs: number): void {
    if (limitMs === this.#limitMs) return;
    this.#limitMs = limitMs;
    clearTimeout(this.#timer);
    this.#timer = this.#start();
  }

  /** Ignores inactivity while the reader itself does not read. */
  suspend(): void {
    this.#isSuspended = true;
  }

  /** Counts inactivity again, from now. */
  resume(): void {
    this.#isSuspended = false;
    this.#timer.refresh();
  }

  /** Stops the timer. */
  close(): void {
    clearTimeout(this.#timer);
  }

  #start(): NodeJS.Timeout {
    return setTimeout(() => this.#expire(), this.#limitMs);
  }

  /** Fires only after reading data that arrived while the loop was blocked. */
  #expire(): void {
    if (this.#isSuspended) return;
    this.#hasActivity = false;
    setImmediate(() => {
      if (!this.#hasActivity) this.#onStall();
    });
  }
}
