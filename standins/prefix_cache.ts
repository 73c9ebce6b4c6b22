/** The stand-in engine's prefix cache in limited memory, and its event log. */

import { hashParts } from "../src/hashing.ts";

/** One cache event; some are never published. */
interface CacheEvent {
  readonly sequence: number;
  readonly change: "stored" | "evicted";
  readonly block: string;
}

const BLOCK_CHARACTERS = 256;
const CHARACTERS_PER_TOKEN = 4;
const EVENT_DELAY_MS = 500;
/** Every so-many-th event is lost. */
const EVENT_GAP = 7;
const EVENTS_KEPT = 1_000;

/** Least-recently-used blocks of prompt text, each keyed by its whole prefix. */
export class PrefixCache {
  readonly #capacityBlocks: number;
  readonly #blocks = new Set<string>();
  #events: CacheEvent[] = [];
  #sequence = 0;

  private constructor(capacityBlocks: number) {
    this.#capacityBlocks = capacityBlocks;
  }

  /** Holds at most `capacityBlocks` blocks of 256 characters. */
  static create(capacityBlocks: number): PrefixCache {
    return new PrefixCache(capacityBlocks);
  }

  /** Takes a text in; returns how many of its tokens were not cached. */
  admit(text: string): number {
    let prefix = "";
    let cached = 0;
    let isWarm = true;
    for (let at = 0; at + BLOCK_CHARACTERS <= text.length;) {
      const end = at + BLOCK_CHARACTERS;
      prefix = hashParts([prefix, text.slice(at, end)]);
      isWarm = isWarm && this.#blocks.delete(prefix);
      if (isWarm) cached = end;
      else this.#publish("stored", prefix);
      this.#blocks.add(prefix);
      at = end;
    }
    this.#evict();
    return Math.ceil((text.length - cached) / CHARACTERS_PER_TOKEN);
  }

  /** Returns published events after the sequence number in `after`. */
  eventsAfter(query: URLSearchParams): readonly CacheEvent[] {
    const after = Number(query.get("after"));
    return this.#events.filter(({ sequence }) => sequence > after);
  }

  #evict(): void {
    for (const block of this.#blocks) {
      if (this.#blocks.size <= this.#capacityBlocks) return;
      this.#blocks.delete(block);
      this.#publish("evicted", block);
    }
  }

  #publish(change: CacheEvent["change"], block: string): void {
    const event = { sequence: ++this.#sequence, change, block };
    if (event.sequence % EVENT_GAP === 0) return;
    setTimeout(() => {
      this.#events.push(event);
      this.#events = this.#events.slice(-EVENTS_KEPT);
    }, EVENT_DELAY_MS);
  }
}
