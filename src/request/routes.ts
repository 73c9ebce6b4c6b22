/** The HTTP routes of an entry, and the dispatch of requests to them. */

import { randomUUID } from "node:crypto";
import { messageOf, RequestError, RequestErrorType } from "../errors.ts";
import type { RequestId } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import { SERVICE_ROUTE } from "./call_service.ts";
import { COMPLETIONS_ROUTE } from "./complete.ts";
import { sendErrorResponse } from "./error_response.ts";
import type { IncomingExchange, ResponseTarget, Route } from "./exchange.ts";
import { HEALTH_ROUTE, METRICS_ROUTE, READY_ROUTE } from "./probe.ts";

/** The routes, in the order in which they are matched. */
export const ROUTES: readonly Route[] = [
  COMPLETIONS_ROUTE,
  SERVICE_ROUTE,
  HEALTH_ROUTE,
  READY_ROUTE,
  METRICS_ROUTE,
];

/** Handles one request until it ends; never rejects. */
export async function serve(
  context: EntryContext,
  { request, response, ending, callerLeft }: IncomingExchange,
): Promise<void> {
  const id = randomUUID() as string as RequestId;
  context.metrics.openRequests.inc();
  const target: ResponseTarget = {
    id,
    response,
    decideClose: (isRequired) => context.decideClose(request, isRequired),
  };
  ending.update({
    respond: (error) => {
      logRefusal(context, { error, id });
      sendErrorResponse(target, error);
    },
  });
  response.on("error", () => response.destroy());
  try {
    const url = new URL(request.url ?? "/", "http://entry");
    const route = findRoute(request.method ?? "GET", url.pathname);
    await route.handle(context, {
      ...target,
      request,
      ending,
      callerLeft,
      url,
    });
  } catch (error) {
    if (ending.hasEnded) return;
    const requestError = toRequestError(context, { error, id });
    sendErrorResponse(target, requestError);
  } finally {
    context.metrics.openRequests.dec();
  }
}

function findRoute(method: string, path: string): Route {
  const route = ROUTES.find((candidate) => {
    const matchesPath = candidate.path.endsWith("/")
      ? path.startsWith(candidate.path)
      : path === candidate.path;
    return matchesPath &&
      (candidate.method === "" || candidate.method === method);
  });
  if (route !== undefined) return route;
  throw new RequestError(
    RequestErrorType.NotFound,
    `no route for ${method} ${path}`,
  );
}

function toRequestError(
  context: EntryContext,
  { error, id }: { readonly error: unknown; readonly id: RequestId },
): RequestError {
  if (error instanceof RequestError) {
    logRefusal(context, { error, id });
    return error;
  }
  context.log(LOG_EVENTS.unexpectedError, {
    request: id,
    reason: messageOf(error),
  });
  return new RequestError(RequestErrorType.Interrupted, "unexpected error");
}

function logRefusal(
  { log }: EntryContext,
  { error, id }: { readonly error: RequestError; readonly id: RequestId },
): void {
  log(LOG_EVENTS.requestRefused, {
    request: id,
    type: error.type,
    reason: error.message,
  });
}
