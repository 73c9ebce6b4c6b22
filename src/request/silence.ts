/** How long a stream may be silent before its server counts as lost. */

import type { Order } from "./order.ts";

/** Slowest reading of a prompt that is borne, in tokens a ms; engines read 5. */
const PROMPT_TOKENS_PER_MS = 1.5;
/** Allowance before the first event besides reading the prompt, in ms. */
const FIRST_EVENT_SLACK_MS = 1_000;
/** Silence borne before the first event of a run that goes on from a copy, in ms. */
const COPY_FIRST_EVENT_MS = 700;
/** Shortest silence that counts as a loss, in ms; events come every 30 to 60 ms. */
const SILENCE_MIN_MS = 250;
/** Longest silence that is borne between events, in ms; the sheets allow pauses of 700. */
const SILENCE_MAX_MS = 600;
/** Silence borne, as a multiple of the widest recent spacing. */
const SPACING_FACTOR = 2.5;
/** How fast a wide spacing is forgotten, per event. */
const SPACING_DECAY = 0.9;

/** Returns the silence borne before the first event, in ms. */
export function firstEventLimitMs(order: Order, fromCopy: boolean): number {
  if (fromCopy) return COPY_FIRST_EVENT_MS;
  return FIRST_EVENT_SLACK_MS + order.promptTokens / PROMPT_TOKENS_PER_MS;
}

/** Learns from the spacing of events which silence is unusual. */
export class EventSpacing {
  readonly #now: () => number;
  #lastMs: number | undefined;
  #spacingMs = 0;

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts before the first event. */
  static create(now: () => number): EventSpacing {
    return new EventSpacing(now);
  }

  /** Notes an event; returns the silence borne after it, in ms. */
  next(): number {
    const nowMs = this.#now();
    const lastMs = this.#lastMs ?? nowMs;
    this.#lastMs = nowMs;
    this.#spacingMs = Math.max(this.#spacingMs * SPACING_DECAY, nowMs - lastMs);
    const limitMs = this.#spacingMs * SPACING_FACTOR;
    return Math.min(SILENCE_MAX_MS, Math.max(SILENCE_MIN_MS, limitMs));
  }
}
