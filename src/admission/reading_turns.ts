/**
 * Bounds the processor time that bodies of callers' requests take together.
 *
 * Answers the load of bodies in very many tiny chunks, each of which costs as
 * much as a large one. A body that has used up its own time is read in turns
 * with all others like it, and they leave half of the time to other work.
 */

/** Time that parsing one body may take without turns, in ms. */
const OWN_MS = 8;
/** Time between the starts of two turns, in times of what the first took. */
const TURN_SHARE = 2;

/** The turns of all bodies of a process. */
export class ReadingTurns {
  readonly #now: () => number;
  #nextTurnMs = Number.NEGATIVE_INFINITY;

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Creates turns by a monotonic clock in ms. */
  static create(now: () => number): ReadingTurns {
    return new ReadingTurns(now);
  }

  /**
   * Records that a read of a body took `tookMs`, of `spentMs` that all reads of
   * this body took. Returns the delay of its next read, in ms.
   */
  recordRead(
    { tookMs, spentMs }: { readonly tookMs: number; readonly spentMs: number },
  ): number {
    if (spentMs <= OWN_MS) return 0;
    const nowMs = this.#now();
    const turnMs = Math.max(nowMs, this.#nextTurnMs);
    this.#nextTurnMs = turnMs + tookMs * TURN_SHARE;
    return this.#nextTurnMs - nowMs;
  }
}
