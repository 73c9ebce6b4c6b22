/** A queue between a pausable source and one reader, with backpressure. */

/** A source that can be paused. */
export interface Pausable {
  readonly pause: () => unknown;
  readonly resume: () => unknown;
}

/** Unread items at which the source is paused. */
const ITEMS_MAX = 256;

/** Items that arrived and were not read yet, taken in batches. */
export class BatchQueue<Item> {
  readonly #source: Pausable;
  #items: Item[] = [];
  #isEnded = false;
  #isPaused = false;
  #wakeReader: (() => void) | undefined;

  private constructor(source: Pausable) {
    this.#source = source;
  }

  /** Creates an empty queue that pauses `source` while it is full. */
  static create<Item>(source: Pausable): BatchQueue<Item> {
    return new BatchQueue<Item>(source);
  }

  /** Adds items, and pauses the source when the queue is full. */
  push(items: readonly Item[]): void {
    if (items.length === 0) return;
    for (const item of items) this.#items.push(item);
    if (this.#items.length >= ITEMS_MAX && !this.#isPaused) {
      this.#isPaused = true;
      this.#source.pause();
    }
    this.#wakeReader?.();
  }

  /** Marks the end of the source. */
  end(): void {
    this.#isEnded = true;
    this.#wakeReader?.();
  }

  /** Resolves with all unread items, or with none once the source has ended. */
  async take(): Promise<readonly Item[]> {
    while (this.#items.length === 0 && !this.#isEnded) {
      await new Promise<void>((resolve) => this.#wakeReader = resolve);
    }
    this.#wakeReader = undefined;
    const items = this.#items;
    this.#items = [];
    if (this.#isPaused) {
      this.#isPaused = false;
      this.#source.resume();
    }
    return items;
  }
}
