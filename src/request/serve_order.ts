/** Serves one order from its acceptance to its final answer. */

import type { Opener } from "../connection/backend_answer.ts";
import type { OrderCaller } from "../connection/order_caller.ts";
import { messageOf, Refusal, RefusalType } from "../errors.ts";
import { EVENTS } from "../process/event_catalog.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { requireHarmless } from "./crash_blame.ts";
import { type Order, OrderKind } from "./order.ts";
import { relayCall } from "./relay_call.ts";
import { relayStream } from "./relay_stream.ts";

/** An order with the two parties it connects. */
export interface OrderExchange {
  readonly order: Order;
  readonly caller: OrderCaller;
  readonly open: Opener;
}

/** How an order ended, as metrics and logs name it. */
export enum OrderOutcome {
  Answered = "answered",
  /** The server's own failure was passed on. */
  ServerFailed = "server_failed",
  Refused = "refused",
  /** The answer was broken off. */
  BrokenOff = "broken_off",
  CallerGone = "caller_gone",
}

/** Serves an order to its end; never rejects. */
export async function serveOrder(
  context: RelayContext,
  exchange: OrderExchange,
): Promise<void> {
  const { order, caller } = exchange;
  const { metrics, log, now, budget } = context;
  metrics.open.inc();
  budget.countRequest(order.service);
  let outcome = OrderOutcome.Refused;
  try {
    requireHarmless(context, order);
    outcome = order.kind === OrderKind.Stream
      ? await relayStream(context, exchange)
      : await relayCall(context, exchange);
  } catch (error) {
    outcome = OrderOutcome.Refused;
    refuseOrder(context, { order, caller, error });
  } finally {
    metrics.open.dec();
    metrics.orders.inc({ route: order.route, outcome });
    log(EVENTS.orderEnded, {
      request: order.id,
      route: order.route,
      service: order.service,
      customer: order.customer,
      outcome,
      took_ms: Math.round(now() - order.receivedMs),
    });
  }
}

function refuseOrder(
  { log }: RelayContext,
  { order, caller, error }: {
    readonly order: Order;
    readonly caller: OrderCaller;
    readonly error: unknown;
  },
): void {
  const refusal = error instanceof Refusal
    ? error
    : new Refusal(RefusalType.OutcomeUnknown, "unexpected error");
  if (!(error instanceof Refusal)) {
    log(EVENTS.unexpected, { request: order.id, reason: messageOf(error) });
  }
  log(EVENTS.requestRefused, {
    request: order.id,
    type: refusal.type,
    reason: refusal.message,
  });
  caller.refuse(refusal);
}
