/**
 * Looks for a server that takes over from a silent one. A healthy server may be
 * silent for a second, so its attempt is kept until another one can start at
 * once; otherwise a response that could still complete would be lost.
 */

import type { RelayContext } from "../process/relay_context.ts";
import type { KvCopy } from "./kv_copy_manager.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** An attempt that another one may replace. */
export interface ReplaceableAttempt {
  readonly context: RelayContext;
  readonly request: ProxyRequest;
  /** Returns whether the request may be sent to another server. */
  readonly canRetry: () => boolean;
}

/** Options of a `ReplacementSearch`. */
export interface ReplacementSearchOptions<Slot> extends ReplaceableAttempt {
  /** Name of the silent server. */
  readonly server: string;
  /** Names of servers that take over only when no other is healthy. */
  readonly failedServers: ReadonlySet<string>;
  /** Waits for a slot; rejects if none becomes free in time. */
  readonly acquire: (
    criteria: {
      readonly excluded: ReadonlySet<string>;
      readonly signal: AbortSignal;
    },
  ) => Promise<Slot>;
  readonly release: (slot: Slot) => void;
  /** Called with a slot for which a retry was taken from the budget. */
  readonly onFound: (slot: Slot) => void;
}

/** Waits in the queue for a slot while the silent server may recover. */
export class ReplacementSearch<
  Slot extends { readonly server: { readonly name: string } },
> {
  readonly #options: ReplacementSearchOptions<Slot>;
  #abortController: AbortController | undefined;

  private constructor(options: ReplacementSearchOptions<Slot>) {
    this.#options = options;
  }

  /** Does not search yet. */
  static create<Slot extends { readonly server: { readonly name: string } }>(
    options: ReplacementSearchOptions<Slot>,
  ): ReplacementSearch<Slot> {
    return new ReplacementSearch(options);
  }

  /** Starts a search unless one is in progress or can't succeed now. */
  async start(): Promise<void> {
    if (this.#abortController !== undefined || !this.#mayRetry()) return;
    const excluded = this.#findExcluded();
    if (excluded === undefined) return;
    const abortController = new AbortController();
    const { signal } = abortController;
    this.#abortController = abortController;
    const slot = await this.#options.acquire({ excluded, signal })
      .catch(() => undefined);
    if (this.#abortController === abortController) {
      this.#abortController = undefined;
    }
    if (slot === undefined) return;
    const isFound = !signal.aborted && this.#isUsable(slot) &&
      takeRetry(this.#options);
    if (isFound) this.#options.onFound(slot);
    else this.#options.release(slot);
  }

  /** Ends a search: the server has recovered, or the attempt has ended. */
  cancel(): void {
    this.#abortController?.abort();
    this.#abortController = undefined;
  }

  #mayRetry(): boolean {
    const { context, request, canRetry } = this.#options;
    return canRetry() &&
      context.retryBudget.hasRetry(request.service);
  }

  /** Returns the servers to exclude; `undefined` if no other is healthy. */
  #findExcluded(): ReadonlySet<string> | undefined {
    const { context, request, server, failedServers } = this.#options;
    const choices = [new Set([...failedServers, server]), new Set([server])];
    return choices.find((excluded) =>
      context.servers.hasHealthyServer(request.service, excluded)
    );
  }

  /** Without a healthy server the queue assigns an ejected one. */
  #isUsable({ server }: Slot): boolean {
    return this.#options.context.servers.isUsable(server.name);
  }
}

/**
 * Whether a run can be resumed from its KV cache copy at once; a retry is then
 * taken from the budget.
 */
export function takeKvCopy(
  attempt: ReplaceableAttempt,
  kvCopy: KvCopy | undefined,
): boolean {
  return kvCopy !== undefined &&
    attempt.context.servers.isUsable(kvCopy.server.name) &&
    takeRetry(attempt);
}

function takeRetry(attempt: ReplaceableAttempt): boolean {
  const { context, request, canRetry } = attempt;
  return canRetry() && context.retryBudget.takeRetry(request.service);
}
