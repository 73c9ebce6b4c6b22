/** Serves one order from its acceptance to its final answer. */

import type { BackendSender } from "../connection/backend_request.ts";
import type { ResponseWriter } from "../connection/response_writer.ts";
import { messageOf, RequestError, RequestErrorType } from "../errors.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { rejectPoisonRequest } from "./poison_request.ts";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";
import { relayCall } from "./relay_call.ts";
import { relayStream } from "./relay_stream.ts";

/** An order with the two parties it connects. */
export interface ProxyExchange {
  readonly request: ProxyRequest;
  readonly caller: ResponseWriter;
  readonly open: BackendSender;
}

/** How an order ended, as metrics and logs name it. */
export enum RequestOutcome {
  Answered = "answered",
  /** The server's own failure was passed on. */
  ServerFailed = "server_failed",
  Refused = "refused",
  /** The answer was broken off. */
  BrokenOff = "broken_off",
  CallerGone = "caller_gone",
}

/** Serves an order to its end; never rejects. */
export async function serveRequest(
  context: RelayContext,
  exchange: ProxyExchange,
): Promise<void> {
  const { request: order, caller } = exchange;
  const { metrics, log, now, retryBudget: budget } = context;
  metrics.openRequests.inc();
  budget.countRequest(order.service);
  let outcome = RequestOutcome.Refused;
  try {
    rejectPoisonRequest(context, order);
    outcome = order.kind === RequestKind.Stream
      ? await relayStream(context, exchange)
      : await relayCall(context, exchange);
  } catch (error) {
    outcome = RequestOutcome.Refused;
    refuseOrder(context, { order, caller, error });
  } finally {
    metrics.openRequests.dec();
    metrics.orders.inc({ route: order.route, outcome });
    log(LOG_EVENTS.requestEnded, {
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
    readonly order: ProxyRequest;
    readonly caller: ResponseWriter;
    readonly error: unknown;
  },
): void {
  const refusal = error instanceof RequestError
    ? error
    : new RequestError(RequestErrorType.OutcomeUnknown, "unexpected error");
  if (!(error instanceof RequestError)) {
    log(LOG_EVENTS.unexpectedError, {
      request: order.id,
      reason: messageOf(error),
    });
  }
  log(LOG_EVENTS.requestRefused, {
    request: order.id,
    type: refusal.type,
    reason: refusal.message,
  });
  caller.sendError(refusal);
}
