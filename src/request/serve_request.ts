/** Serves one request from its acceptance to the end of its response. */

import type { BackendSender } from "../connection/backend_request.ts";
import type { ResponseWriter } from "../connection/response_writer.ts";
import { messageOf, RequestError, RequestErrorType } from "../errors.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { rejectCrashingRequest } from "./crash_guard.ts";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";
import { relayCall } from "./relay_call.ts";
import { relayStream } from "./relay_stream.ts";

/** A request with the connections to its caller and its backend servers. */
export interface ProxyExchange {
  readonly request: ProxyRequest;
  /** Writes the response to the caller. */
  readonly caller: ResponseWriter;
  /** Sends the request to a backend server. */
  readonly open: BackendSender;
}

/** How a request ended, as metrics and logs name it. */
export enum RequestOutcome {
  Answered = "answered",
  /** A backend server's error response was forwarded. */
  ServerFailed = "server_failed",
  Refused = "refused",
  /** The response was aborted after it had begun. */
  BrokenOff = "broken_off",
  CallerGone = "caller_gone",
}

/** Serves a request until its response ends; never rejects. */
export async function serveRequest(
  context: RelayContext,
  exchange: ProxyExchange,
): Promise<void> {
  const { request, caller } = exchange;
  const { metrics, log, now, retryBudget } = context;
  metrics.openRequests.inc();
  retryBudget.countRequest(request.service);
  let outcome = RequestOutcome.Refused;
  try {
    rejectCrashingRequest(context, request);
    outcome = request.kind === RequestKind.Stream
      ? await relayStream(context, exchange)
      : await relayCall(context, exchange);
  } catch (error) {
    outcome = RequestOutcome.Refused;
    refuseRequest(context, { request, caller, error });
  } finally {
    context.crashAccount.recordEnd(request.id);
    metrics.openRequests.dec();
    metrics.orders.inc({ route: request.route, outcome });
    log(LOG_EVENTS.requestEnded, {
      request: request.id,
      route: request.route,
      service: request.service,
      customer: request.customer,
      outcome,
      took_ms: Math.round(now() - request.receivedMs),
    });
  }
}

function refuseRequest(
  { log }: RelayContext,
  { request, caller, error }: {
    readonly request: ProxyRequest;
    readonly caller: ResponseWriter;
    readonly error: unknown;
  },
): void {
  const refusal = error instanceof RequestError ? error : new RequestError(
    RequestErrorType.OutcomeUnknown,
    "internal error in the entry",
  );
  if (!(error instanceof RequestError)) {
    log(LOG_EVENTS.unexpectedError, {
      request: request.id,
      reason: messageOf(error),
    });
  }
  log(LOG_EVENTS.requestRefused, {
    request: request.id,
    type: refusal.type,
    reason: refusal.message,
  });
  caller.sendError(refusal);
}
