/**
 * Shares the event loop between the streams of a process. A stream on which
 * bytes arrive faster than its own rate is read in turns, of which there are few
 * for all such streams together, so that other requests are served meanwhile.
 * It is delayed, never ended: also a sound server may send many events at once,
 * as when a run resumes after a pause.
 */

import { setTimeout as sleep } from "node:timers/promises";

/**
 * Bytes of a stream that are read without a turn, per s and at once; an engine
 * sends 30 events of some hundred bytes per s.
 */
const OWN_BYTES_PER_S = 16_384;
const OWN_BURST_BYTES = 16_384;
/** Bytes that are read in one turn. */
const TURN_BYTES = 16_384;
/** Time that parsing one byte other than content takes, in bytes of content. */
const FRAMING_WEIGHT = 8;
/** Time between two turns, in ms; the bytes of one take about 1 ms. */
const TURN_INTERVAL_MS = 8;
/** Sum of a stream's delays from which on it is reported, in ms. */
const SLOW_DELAY_MIN_MS = 1_000;
const MS_PER_S = 1_000;

/** Splits bytes that arrived at once into those of single turns. */
export function* splitIntoTurns(bytes: Buffer): Generator<Buffer> {
  for (let start = 0; start < bytes.length; start += TURN_BYTES) {
    yield bytes.subarray(start, start + TURN_BYTES);
  }
}

/** The turns of all streams of a process. */
export class ReadTurns {
  readonly #now: () => number;
  #nextTurnMs = Number.NEGATIVE_INFINITY;

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Creates turns by a monotonic clock in ms. */
  static create(now: () => number): ReadTurns {
    return new ReadTurns(now);
  }

  /**
   * Opens the pace of one stream.
   *
   * @param onSlow called once if the stream was delayed by a second in all
   */
  open(onSlow?: () => void): ReadPace {
    return ReadPace.create({
      now: this.#now,
      takeTurns: (count, maxMs) => this.#takeTurns(count, maxMs),
      onSlow,
    });
  }

  #takeTurns(count: number, maxMs: number): number | undefined {
    const nowMs = this.#now();
    const turnMs = Math.max(nowMs, this.#nextTurnMs);
    if (turnMs - nowMs >= maxMs) return undefined;
    this.#nextTurnMs = turnMs + count * TURN_INTERVAL_MS;
    return turnMs - nowMs;
  }
}

/** Dependencies of a `ReadPace`; see `ReadTurns`. */
export interface ReadPaceOptions {
  readonly now: () => number;
  /**
   * Takes the next `count` turns if their delay is below `maxMs`; returns the
   * delay.
   */
  readonly takeTurns: (count: number, maxMs: number) => number | undefined;
  readonly onSlow: (() => void) | undefined;
}

/** How fast one stream is read. */
export class ReadPace {
  readonly #options: ReadPaceOptions;
  #updatedMs: number;
  /** Bytes that may be read without a turn; below 0 after too many. */
  #allowedBytes = OWN_BURST_BYTES;
  /** Sum of the delays so far, in ms. */
  #delayedMs = 0;

  private constructor(options: ReadPaceOptions) {
    this.#options = options;
    this.#updatedMs = options.now();
  }

  /** Creates the pace of a stream. */
  static create(options: ReadPaceOptions): ReadPace {
    return new ReadPace(options);
  }

  /** Records bytes that were read; returns the delay of the next read, in ms. */
  recordRead(bytes: number): number {
    const nowMs = this.#options.now();
    const refilled = (nowMs - this.#updatedMs) / MS_PER_S * OWN_BYTES_PER_S;
    this.#updatedMs = nowMs;
    this.#allowedBytes =
      Math.min(OWN_BURST_BYTES, this.#allowedBytes + refilled) - bytes;
    if (this.#allowedBytes >= 0) return 0;
    const ownDelayMs = -this.#allowedBytes / OWN_BYTES_PER_S * MS_PER_S;
    const turns = Math.ceil(-this.#allowedBytes / TURN_BYTES);
    const turnDelayMs = this.#options.takeTurns(turns, ownDelayMs);
    if (turnDelayMs === undefined) return ownDelayMs;
    this.#allowedBytes = 0;
    this.#updatedMs = nowMs + turnDelayMs;
    return turnDelayMs;
  }

  /** Records bytes other than content that were parsed; see `pause`. */
  async pauseAfterFraming(bytes: number, signal: AbortSignal): Promise<void> {
    await this.pause(FRAMING_WEIGHT * bytes, signal);
  }

  /** Records bytes that were read; resolves when more may be read. */
  async pause(bytes: number, signal: AbortSignal): Promise<void> {
    const delayMs = this.recordRead(bytes);
    if (delayMs === 0) return;
    this.#addDelay(delayMs);
    // The next read fails if the signal was aborted.
    await sleep(delayMs, undefined, { signal }).catch(() => undefined);
  }

  #addDelay(delayMs: number): void {
    const wasSlow = this.#delayedMs >= SLOW_DELAY_MIN_MS;
    this.#delayedMs += delayMs;
    const isSlow = this.#delayedMs >= SLOW_DELAY_MIN_MS;
    if (isSlow && !wasSlow) this.#options.onSlow?.();
  }
}
