/**
 * Remembers which server read a prompt lately, so that a request which comes
 * again, here or at another entry, goes where its prompt is still cached.
 */

/** What the places need of their process. */
export interface PromptCacheIndexOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

interface PromptPlace {
  readonly server: string;
  readonly notedMs: number;
  /** Whether this entry sent the prompt there itself. */
  readonly isOwn: boolean;
}

/** How long a prompt is expected to stay cached, in ms; requests come again within their deadline. */
const KEPT_MS = 25_000;
/** How long a place is news that digests carry, in ms: three digests. */
const NEWS_MS = 450;
const PLACES_MAX = 5_000;

/** Servers by prompt. */
export class PromptCacheIndex {
  readonly #now: () => number;
  readonly #places = new Map<string, PromptPlace>();
  /** Count of open streams by prompt. */
  readonly #open = new Map<string, number>();

  private constructor({ now }: PromptCacheIndexOptions) {
    this.#now = now;
  }

  /** Starts empty. */
  static create(options: PromptCacheIndexOptions): PromptCacheIndex {
    return new PromptCacheIndex(options);
  }

  /** Notes where a prompt is read; a request without one shares none. */
  record(prompt: string, server: string, isOwn = true): void {
    if (prompt === "") return;
    // Deleting first keeps the oldest place at the front.
    this.#places.delete(prompt);
    this.#places.set(prompt, { server, notedMs: this.#now(), isOwn });
    const oldest = this.#places.keys().next().value;
    if (this.#places.size > PLACES_MAX && oldest !== undefined) {
      this.#places.delete(oldest);
    }
  }

  /**
   * Keeps a prompt's place among the news while its stream is open: if this
   * entry ends first, the caller comes back to one that may have started since.
   * Returns what ends that.
   */
  trackOpenStream(prompt: string): () => void {
    this.#open.set(prompt, (this.#open.get(prompt) ?? 0) + 1);
    return () => {
      const left = (this.#open.get(prompt) ?? 1) - 1;
      if (left > 0) this.#open.set(prompt, left);
      else this.#open.delete(prompt);
    };
  }

  /** Returns the server that read a prompt lately, if any. */
  findServer(prompt: string): string | undefined {
    const place = this.#places.get(prompt);
    if (place === undefined) return undefined;
    if (this.#now() - place.notedMs <= KEPT_MS) return place.server;
    this.#places.delete(prompt);
    return undefined;
  }

  /** Returns the places that this entry noted just now, and those of open streams. */
  digest(): readonly (readonly [string, string])[] {
    const sinceMs = this.#now() - NEWS_MS;
    return [...this.#places]
      .filter(([prompt, { isOwn, notedMs }]) =>
        isOwn && (notedMs >= sinceMs || this.#open.has(prompt))
      )
      .map(([prompt, { server }]) => [prompt, server] as const);
  }
}
