/** Gets an order a place on a backend server. */

import type { RecentFailure } from "../process/choose_server.ts";
import { NO_LOAD, type ServerLoad } from "../process/live_server.ts";
import type { ServerCriteria } from "../process/live_servers.ts";
import type {
  DispatchCriteria,
  DispatchRequest,
  Reservation,
} from "../process/dispatcher.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** A wish for a server, with the work that it will get. */
export interface SlotRequest extends ServerCriteria, DispatchCriteria {
  readonly load: ServerLoad;
  /** Called with the server's name before the next order is placed. */
  readonly onAssigned?: (name: string) => void;
}

/** How long and where an order may wait for a place. */
export interface SlotOptions {
  readonly excluded: ReadonlySet<string>;
  readonly waitMs: number;
  readonly signal: AbortSignal;
  /** Whether part of the answer was delivered already. */
  readonly isResumed: boolean;
  /** Name of the server to prefer while it has room. */
  readonly preferred?: string;
  /** Zone in which the order just lost a server. */
  readonly recentFailure?: RecentFailure;
  /** Until then it rather waits than lines up behind other prompts; see `SelectionCriteria`. */
  readonly avoidBacklogUntilMs?: number;
  /** See `SlotRequest`. */
  readonly onAssigned?: (name: string) => void;
}

/** Work of an order, apart from the reading of its prompt. */
export function requestLoad(order: ProxyRequest): ServerLoad {
  return { requests: 1, tokens: order.kvCacheTokens, unreadTokens: 0 };
}

/** A prompt that a server has to read before the order's first event. */
export function prefillLoad({ promptTokens }: ProxyRequest): ServerLoad {
  return { ...NO_LOAD, unreadTokens: promptTokens };
}

/** Counts work at a server until the returned function is called. */
export function reserveLoad(
  { servers }: RelayContext,
  { name, load }: { readonly name: string; readonly load: ServerLoad },
): () => void {
  servers.begin(name, load);
  let isHeld = true;
  return () => {
    if (isHeld) servers.end(name, load);
    isHeld = false;
  };
}

/** Waits for a place. Errors: a `RequestError` of type not run. */
export function acquireSlot(
  { dispatcher }: RelayContext,
  order: ProxyRequest,
  wait: SlotOptions,
): Promise<Reservation> {
  return dispatcher.reserve(createDispatchRequest(order, wait));
}

/** Returns what the dispatcher and the servers are asked for an order. */
export function createDispatchRequest(
  order: ProxyRequest,
  wait: SlotOptions,
): DispatchRequest<SlotRequest> {
  return {
    rank: order.rank,
    customer: order.customer,
    weight: 1,
    cost: Math.max(1, order.kvCacheTokens),
    service: order.service,
    tokens: order.kvCacheTokens,
    unreadTokens: order.promptTokens,
    prompt: order.promptKey,
    load: requestLoad(order),
    isSuspect: false,
    ...wait,
  };
}
