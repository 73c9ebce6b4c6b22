/** The stand-in engine's prefix cache of limited size, and its cache events. */

import { hashParts } from "../src/hashing.ts";

/** A cache event; some are lost before they are published. */
interface CacheEvent {
  readonly sequence: number;
  readonly change: "stored" | "evicted";
  readonly block: string;
}

const BLOCK_CHARACTERS = 256;
const CHARACTERS_PER_TOKEN = 4;
const EVENT_DELAY_MS = 500;
/** One event in this many is lost. */
const LOST_EVENT_INTERVAL = 7;
const EVENTS_KEPT = 1_000;

/** LRU cache of prompt blocks, each keyed by the hash of its whole prefix. */
export class PrefixCache {
  readonly #capacityBlocks: number;
  readonly #blocks = new Set<string>();
  #events: CacheEvent[] = [];
  #sequence = 0;

  private constructor(capacityBlocks: number) {
    this.#capacityBlocks = capacityBlocks;
  }

  /** Creates a cache of at most `capacityBlocks` blocks of 256 characters. */
  static create(capacityBlocks: number): PrefixCache {
    return new PrefixCache(capacityBlocks);
  }

  /** Caches a text; returns the number of its tokens that were not cached. */
  admit(text: string): number {
    let prefix = "";
    let cachedCharacters = 0;
    let isHit = true;
    for (let at = 0; at + BLOCK_CHARACTERS <= text.length;) {
      const end = at + BLOCK_CHARACTERS;
      prefix = hashParts([prefix, text.slice(at, end)]);
      isHit = isHit && this.#blocks.delete(prefix);
      if (isHit) cachedCharacters = end;
      else this.#publish("stored", prefix);
      this.#blocks.add(prefix);
      at = end;
    }
    this.#evict();
    return Math.ceil((text.length - cachedCharacters) / CHARACTERS_PER_TOKEN);
  }

  /** Returns the events with a sequence number above the `after` parameter. */
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
    if (event.sequence % LOST_EVENT_INTERVAL === 0) return;
    setTimeout(() => {
      this.#events.push(event);
      this.#events = this.#events.slice(-EVENTS_KEPT);
    }, EVENT_DELAY_MS);
  }
}
