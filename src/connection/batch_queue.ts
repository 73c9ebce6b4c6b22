/** Hands batches from a flowing source to one reader, with backpressure. */

/** A source that can be paused. */
export interface Pausable {
  readonly pause: () => unknown;
  readonly resume: () => unknown;
}

const ITEMS_MAX = 256;

/** Items that arrived and were not read yet. */
export class BatchQueue<Item> {
  readonly #source: Pausable;
  #items: Item[] = [];
  #isEnded = false;
  #isPaused = false;
  #wake: (() => void) | undefined;

  private constructor(source: Pausable) {
    this.#source = source;
  }

  /** Makes an empty inbox that pauses `source` while it is full. */
  static create<Item>(source: Pausable): BatchQueue<Item> {
    return new BatchQueue<Item>(source);
  }

  /** Adds items; many unread ones pause the source. */
  push(items: readonly Item[]): void {
    if (items.length === 0) return;
    for (const item of items) this.#items.push(item);
    if (this.#items.length >= ITEMS_MAX && !this.#isPaused) {
      this.#isPaused = true;
      this.#source.pause();
    }
    this.#wake?.();
  }

  /** Says that nothing more comes. */
  end(): void {
    this.#isEnded = true;
    this.#wake?.();
  }

  /** Resolves with all unread items, or with none once the source has ended. */
  async take(): Promise<readonly Item[]> {
    while (this.#items.length === 0 && !this.#isEnded) {
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
    this.#wake = undefined;
    const items = this.#items;
    this.#items = [];
    if (this.#isPaused) {
      this.#isPaused = false;
      this.#source.resume();
    }
    return items;
  }
}
