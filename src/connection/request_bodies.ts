/**
 * Bytes that are held for the bodies of callers' requests.
 *
 * Answers the load of callers that don't behave: many bodies of legal size at
 * once, most of which stop just short of their end. The one that has held most
 * for longest is refused first, so that ordinary requests are still served.
 */

/** Limits and clock of the bodies. */
export interface RequestBodiesOptions {
  /** Most bytes that may be held for all requests. */
  readonly totalMaxBytes: number;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called when a body is refused to stay within the limit. */
  readonly onEvicted?: () => void;
}

/** The bodies of the requests of one process. */
export class RequestBodies {
  readonly #options: RequestBodiesOptions;
  /** Bodies that are not complete. */
  readonly #incomplete = new Set<RequestBody>();
  #totalBytes = 0;

  private constructor(options: RequestBodiesOptions) {
    this.#options = options;
  }

  /** Starts without bodies. */
  static create(options: RequestBodiesOptions): RequestBodies {
    return new RequestBodies(options);
  }

  /** Bytes held now. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Opens the account of a body; `close` it when its request has ended. */
  open(): RequestBody {
    const body = RequestBody.create({
      openedMs: this.#options.now(),
      onAdded: (bytes, self) => this.#add(bytes, self),
      onComplete: (self) => this.#incomplete.delete(self),
      onClosed: (self) => {
        this.#incomplete.delete(self);
        this.#totalBytes -= self.heldBytes;
      },
    });
    this.#incomplete.add(body);
    return body;
  }

  #add(bytes: number, body: RequestBody): void {
    this.#totalBytes += bytes;
    while (this.#totalBytes > this.#options.totalMaxBytes) {
      const victim = this.#largest() ?? body;
      this.#incomplete.delete(victim);
      this.#totalBytes -= victim.heldBytes;
      victim.evict();
      this.#options.onEvicted?.();
      if (victim === body) return;
    }
  }

  /** Returns the incomplete body with the most bytes times age, if any. */
  #largest(): RequestBody | undefined {
    const nowMs = this.#options.now();
    let largest: RequestBody | undefined;
    let most = 0;
    for (const body of this.#incomplete) {
      const weight = body.heldBytes * (1 + nowMs - body.openedMs);
      if (weight <= most) continue;
      most = weight;
      largest = body;
    }
    return largest;
  }
}

/** What a body reports to the account of all. */
interface RequestBodyOptions {
  readonly openedMs: number;
  readonly onAdded: (bytes: number, body: RequestBody) => void;
  readonly onComplete: (body: RequestBody) => void;
  readonly onClosed: (body: RequestBody) => void;
}

/** The account of one body. */
export class RequestBody {
  readonly #options: RequestBodyOptions;
  #heldBytes = 0;
  #isClosed = false;
  #onEvicted: () => void = () => undefined;

  private constructor(options: RequestBodyOptions) {
    this.#options = options;
  }

  /** Starts without bytes. */
  static create(options: RequestBodyOptions): RequestBody {
    return new RequestBody(options);
  }

  /** When its request arrived, on the monotonic clock in ms. */
  get openedMs(): number {
    return this.#options.openedMs;
  }

  /** Bytes that are held for it. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Sets what is done when the body has to be dropped. */
  set onEvicted(onEvicted: () => void) {
    this.#onEvicted = onEvicted;
  }

  /** Counts bytes that arrived; may evict this or another body. */
  add(bytes: number): void {
    if (this.#isClosed) return;
    this.#heldBytes += bytes;
    this.#options.onAdded(bytes, this);
  }

  /** Records that all bytes have arrived; the body is no longer evicted. */
  markComplete(): void {
    this.#options.onComplete(this);
  }

  /** Drops the body; it counts for nothing from then on. */
  evict(): void {
    this.#isClosed = true;
    this.#heldBytes = 0;
    this.#onEvicted();
  }

  /** Ends the account of a request that has ended. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#options.onClosed(this);
    this.#heldBytes = 0;
  }
}
