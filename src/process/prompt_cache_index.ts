/**
 * Index of the servers that recently prefilled a prompt, so that a repeated
 * request, at this entry or another, goes where its prompt is still cached.
 */

/** Dependencies of the index. */
export interface PromptCacheIndexOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

interface CacheLocation {
  readonly server: string;
  readonly recordedMs: number;
  /** Whether this entry sent the prompt there, rather than a peer entry. */
  readonly isOwn: boolean;
}

/**
 * How long a prompt is assumed to stay cached, in ms; requests are repeated
 * within their deadline.
 */
const TTL_MS = 25_000;
/** How long gossip digests carry a new location, in ms: three digests. */
const GOSSIP_MS = 450;
const LOCATIONS_MAX = 5_000;

/** Server locations by prompt. */
export class PromptCacheIndex {
  readonly #now: () => number;
  readonly #locations = new Map<string, CacheLocation>();
  /** Number of open streams by prompt. */
  readonly #openStreams = new Map<string, number>();

  private constructor({ now }: PromptCacheIndexOptions) {
    this.#now = now;
  }

  /** Creates an empty index. */
  static create(options: PromptCacheIndexOptions): PromptCacheIndex {
    return new PromptCacheIndex(options);
  }

  /** Records which server prefills a prompt; the empty prompt is ignored. */
  record(prompt: string, server: string, isOwn = true): void {
    if (prompt === "") return;
    // Deleting first keeps the map in order, the oldest location first.
    this.#locations.delete(prompt);
    this.#locations.set(prompt, { server, recordedMs: this.#now(), isOwn });
    const oldest = this.#locations.keys().next().value;
    if (this.#locations.size > LOCATIONS_MAX && oldest !== undefined) {
      this.#locations.delete(oldest);
    }
  }

  /**
   * Keeps a prompt's location in the digests while its stream is open: if this
   * entry fails, the caller repeats the request at another one, which may have
   * started since. Returns a function that ends the tracking.
   */
  trackOpenStream(prompt: string): () => void {
    this.#openStreams.set(prompt, (this.#openStreams.get(prompt) ?? 0) + 1);
    return () => {
      const remaining = (this.#openStreams.get(prompt) ?? 1) - 1;
      if (remaining > 0) this.#openStreams.set(prompt, remaining);
      else this.#openStreams.delete(prompt);
    };
  }

  /** Returns the server that recently prefilled a prompt, if any. */
  findServer(prompt: string): string | undefined {
    const location = this.#locations.get(prompt);
    if (location === undefined) return undefined;
    if (this.#now() - location.recordedMs <= TTL_MS) return location.server;
    this.#locations.delete(prompt);
    return undefined;
  }

  /**
   * Returns the locations that this entry recorded recently, and those of open
   * streams.
   */
  digest(): readonly (readonly [string, string])[] {
    const sinceMs = this.#now() - GOSSIP_MS;
    return [...this.#locations]
      .filter(([prompt, { isOwn, recordedMs }]) =>
        isOwn && (recordedMs >= sinceMs || this.#openStreams.has(prompt))
      )
      .map(([prompt, { server }]) => [prompt, server] as const);
  }
}
