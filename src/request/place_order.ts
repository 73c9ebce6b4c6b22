/** Gets an order a place on a backend server. */

import type { LostZone } from "../process/choose_server.ts";
import { NO_LOAD, type ServerLoad } from "../process/live_server.ts";
import type { ServerRequest } from "../process/live_servers.ts";
import type { Place, PlaceOrder, PlaceWish } from "../process/dispatcher.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { Order } from "./order.ts";

/** A wish for a server, with the work that it will get. */
export interface OrderWish extends ServerRequest, PlaceWish {
  readonly load: ServerLoad;
  /** Called with the server's name before the next order is placed. */
  readonly onPlaced?: (name: string) => void;
}

/** How long and where an order may wait for a place. */
export interface PlaceWait {
  readonly excluded: ReadonlySet<string>;
  readonly waitMs: number;
  readonly signal: AbortSignal;
  /** Whether part of the answer was delivered already. */
  readonly isResumed: boolean;
  /** Name of the server to prefer while it has room. */
  readonly preferred?: string;
  /** Zone in which the order just lost a server. */
  readonly lostZone?: LostZone;
  /** Until then it rather waits than lines up behind other prompts; see `ServerNeed`. */
  readonly patientUntilMs?: number;
  /** See `OrderWish`. */
  readonly onPlaced?: (name: string) => void;
}

/** Work of an order, apart from the reading of its prompt. */
export function loadOfOrder(order: Order): ServerLoad {
  return { requests: 1, tokens: order.memoryTokens, unreadTokens: 0 };
}

/** A prompt that a server has to read before the order's first event. */
export function unreadPrompt({ promptTokens }: Order): ServerLoad {
  return { ...NO_LOAD, unreadTokens: promptTokens };
}

/** Counts work at a server until the returned function is called. */
export function holdLoad(
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

/** Waits for a place. Errors: a `Refusal` of type not run. */
export function placeOrder(
  { dispatcher }: RelayContext,
  order: Order,
  wait: PlaceWait,
): Promise<Place> {
  return dispatcher.place(orderTerms(order, wait));
}

/** Returns what the dispatcher and the servers are asked for an order. */
export function orderTerms(
  order: Order,
  wait: PlaceWait,
): PlaceOrder<OrderWish> {
  return {
    rank: order.rank,
    customer: order.customer,
    weight: 1,
    cost: Math.max(1, order.memoryTokens),
    service: order.service,
    tokens: order.memoryTokens,
    unreadTokens: order.promptTokens,
    prompt: order.prompt,
    load: loadOfOrder(order),
    isSuspect: false,
    ...wait,
  };
}
