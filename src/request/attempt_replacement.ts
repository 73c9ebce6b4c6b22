/**
 * Looks for a server that takes over from a silent one. A sound server may be
 * silent for a second and go on, so its attempt is given up only for a slot that
 * another one can start in at once; else the response would be lost for nothing.
 */

import type { Reservation } from "../process/dispatcher.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { KvCopy } from "./kv_copy_manager.ts";
import { isPoisonRequest } from "./poison_request.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** A request whose server may be silent. */
export interface ReplaceableRequest {
  readonly context: RelayContext;
  readonly request: ProxyRequest;
  /** Whether the attempts that are left allow another one. */
  readonly canRetry: () => boolean;
}

/** Options of a `ReplacementSearch`. */
export interface ReplacementSearchOptions<Slot extends Reservation>
  extends ReplaceableRequest {
  /** Waits for a slot on another server; `undefined` if there is none. */
  readonly acquire: (signal: AbortSignal) => Promise<Slot | undefined>;
  /** Called with a slot, which the caller then owns, and a retry taken. */
  readonly onFound: (slot: Slot) => void;
}

/**
 * Whether the server that holds a copy of the run's KV cache may take over; a
 * retry is then taken from the budget. It needs no free slot.
 */
export function takeKvCopyReplacement(
  options: ReplaceableRequest,
  kvCopy: KvCopy | undefined,
): boolean {
  const { servers } = options.context;
  return kvCopy !== undefined && servers.isUsable(kvCopy.server.name) &&
    isReplaceable(options) && takeRetry(options);
}

/** Waits for a slot on another server while the attempt goes on. */
export class ReplacementSearch<Slot extends Reservation> {
  readonly #options: ReplacementSearchOptions<Slot>;
  /** Ends the wait; `undefined` while none is under way. */
  #wait: AbortController | undefined;

  private constructor(options: ReplacementSearchOptions<Slot>) {
    this.#options = options;
  }

  /** Creates a search that has not started. */
  static create<Slot extends Reservation>(
    options: ReplacementSearchOptions<Slot>,
  ): ReplacementSearch<Slot> {
    return new ReplacementSearch(options);
  }

  /** Starts to wait for a slot, unless a wait is under way. */
  start(): void {
    if (this.#wait !== undefined || !isReplaceable(this.#options)) return;
    this.#wait = new AbortController();
    this.#run(this.#wait);
  }

  /** Stops waiting, as the server goes on or the attempt has ended. */
  cancel(): void {
    this.#wait?.abort();
    this.#wait = undefined;
  }

  async #run(wait: AbortController): Promise<void> {
    const slot = await this.#options.acquire(wait.signal);
    if (this.#wait === wait) this.#wait = undefined;
    if (slot === undefined) return;
    if (wait.signal.aborted || !this.#isUsable(slot)) return slot.release();
    this.#options.onFound(slot);
  }

  #isUsable({ server }: Slot): boolean {
    const { context } = this.#options;
    // Without a healthy server the slot is one of an ejected server.
    return context.servers.isUsable(server.name) &&
      isReplaceable(this.#options) && takeRetry(this.#options);
  }
}

function isReplaceable(
  { context, request, canRetry }: ReplaceableRequest,
): boolean {
  return canRetry() && !isPoisonRequest(context, request);
}

function takeRetry({ context, request }: ReplaceableRequest): boolean {
  return context.retryBudget.takeRetry(request.service);
}
