/** A timer for silence, which does not blame the peer for a pause of our own. */

/** Fires when nothing was heard for the limit. */
export class StallTimer {
  readonly #onStall: () => void;
  #timer: NodeJS.Timeout;
  #limitMs: number;
  #heard = false;
  #isHeld = false;

  private constructor(limitMs: number, onStall: () => void) {
    this.#onStall = onStall;
    this.#limitMs = limitMs;
    this.#timer = this.#start();
  }

  /** Starts a timer with a limit in ms. */
  static create(limitMs: number, onStall: () => void): StallTimer {
    return new StallTimer(limitMs, onStall);
  }

  /** Starts the silence anew. */
  reset(): void {
    this.#heard = true;
    this.#timer.refresh();
  }

  /** Changes the limit, in ms. */
  setLimit(limitMs: number): void {
    if (limitMs === this.#limitMs) return;
    this.#limitMs = limitMs;
    clearTimeout(this.#timer);
    this.#timer = this.#start();
  }

  /** Lets silence pass while the reader itself does not read. */
  suspend(): void {
    this.#isHeld = true;
  }

  /** Counts silence again, from now. */
  resume(): void {
    this.#isHeld = false;
    this.#timer.refresh();
  }

  /** Stops the timer. */
  close(): void {
    clearTimeout(this.#timer);
  }

  #start(): NodeJS.Timeout {
    return setTimeout(() => this.#expire(), this.#limitMs);
  }

  /** What arrived while this process stood still is read before judging. */
  #expire(): void {
    if (this.#isHeld) return;
    this.#heard = false;
    setImmediate(() => {
      if (!this.#heard) this.#onStall();
    });
  }
}
