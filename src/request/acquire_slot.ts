/** Acquires a slot on a backend server for a request. */

import type { RequestError } from "../errors.ts";
import type { RecentFailure } from "../placement/choose_server.ts";
import { NO_LOAD, type ServerLoad } from "../process/registered_server.ts";
import type { ServerCriteria } from "../placement/server_selector.ts";
import type {
  DispatchCriteria,
  DispatchRequest,
  Reservation,
} from "../process/dispatcher.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** The criteria for a server, with the load that it will get. */
export interface SlotRequest extends ServerCriteria, DispatchCriteria {
  readonly load: ServerLoad;
  /** See `SlotOptions`. */
  readonly hasBegun?: boolean;
  /** Called with the server's name before the next request is dispatched. */
  readonly onAssigned?: (name: string) => void;
}

/** How long a request may wait for a slot, and on which servers. */
export interface SlotOptions {
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Longest wait for a slot, in ms. */
  readonly waitMs: number;
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
  /** Whether to queue ahead of new requests; for begun streams and retries. */
  readonly isResumed: boolean;
  /**
   * Whether the response has begun; the request then waits its whole time, even
   * if all servers have asked for longer pauses.
   */
  readonly hasBegun?: boolean;
  /** Name of the server to prefer while it has capacity. */
  readonly preferred?: string;
  /** See `SelectionCriteria`. */
  readonly prefersReported?: boolean;
  /** Zone in which an attempt of the request just failed. */
  readonly recentFailure?: RecentFailure;
  /** Until then servers with a backlog are avoided; see `SelectionCriteria`. */
  readonly avoidBacklogUntilMs?: number;
  /** See `SlotRequest`. */
  readonly onAssigned?: (name: string) => void;
  /** See `DispatchCriteria`. */
  readonly rejection?: () => RequestError | undefined;
}

/** Returns the load of a request without the prefill of its prompt. */
export function requestLoad(request: ProxyRequest): ServerLoad {
  return { requests: 1, tokens: request.kvCacheTokens, unreadTokens: 0 };
}

/** Returns the load of a request's prefill, which ends with the first event. */
export function prefillLoad({ promptTokens }: ProxyRequest): ServerLoad {
  return { ...NO_LOAD, unreadTokens: promptTokens };
}

/** Adds load to a server until the returned function is called. */
export function reserveLoad(
  { servers }: RelayContext,
  { name, load }: { readonly name: string; readonly load: ServerLoad },
): () => void {
  servers.begin(name, load);
  let isReserved = true;
  return () => {
    if (isReserved) servers.end(name, load);
    isReserved = false;
  };
}

/** Waits for a slot. Errors: `RequestError` of type not run. */
export function acquireSlot(
  { dispatcher }: RelayContext,
  request: ProxyRequest,
  options: SlotOptions,
): Promise<Reservation> {
  return dispatcher.reserve(createDispatchRequest(request, options));
}

/** Returns the criteria by which the dispatcher queues and places a request. */
export function createDispatchRequest(
  request: ProxyRequest,
  options: SlotOptions,
): DispatchRequest<SlotRequest> {
  return {
    rank: request.rank,
    customer: request.customer,
    weight: 1,
    cost: Math.max(1, request.kvCacheTokens),
    service: request.service,
    tokens: request.kvCacheTokens,
    unreadTokens: request.promptTokens,
    prompt: request.promptKey,
    load: requestLoad(request),
    isSuspect: false,
    ...options,
  };
}
