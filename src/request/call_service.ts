/** `/services/NAME/PATH`: passes a call on to a plain service. */

import { readBody } from "../connection/http_server.ts";
import { callHttp, type HttpResponse } from "../connection/http_call.ts";
import { RequestError, RequestErrorType } from "../errors.ts";
import type { EntryContext } from "../process/entry_context.ts";
import type { Reservation } from "../process/dispatcher.ts";
import {
  type Customer,
  type Rank,
  type Service,
  ServiceForm,
} from "../version/types.ts";
import {
  authenticate,
  callerSignal,
  type Exchange,
  type Route,
} from "./exchange.ts";
import { performAction } from "./perform_action.ts";

/** The route of plain services. */
export const SERVICE_ROUTE: Route = {
  method: "",
  path: "/services/",
  handle: callService,
};

/** A checked call to a plain service. */
export interface ServiceCall {
  readonly customer: Customer;
  readonly service: Service;
  readonly rank: Rank;
  readonly method: string;
  /** Path at the service, with its query. */
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

const CALL_PATH = /^\/services\/(?<name>[^/]+)(?<path>\/.*)$/;
const CALL_COST_TOKENS = 1;
/** Servers that one idempotent call may be sent to. */
const SENDS_MAX = 3;

/** Waits for a server of the service. Errors: a `RequestError`, not run. */
export function placeCall(
  { dispatcher }: EntryContext,
  call: ServiceCall,
  wait: { readonly waitMs: number; readonly excluded: ReadonlySet<string> },
): Promise<Reservation> {
  return dispatcher.reserve({
    rank: call.rank,
    customer: call.customer.name,
    weight: call.customer.weight,
    cost: CALL_COST_TOKENS,
    service: call.service.name,
    modelVersion: "",
    excluded: wait.excluded,
    preferred: "",
    isSuspect: false,
    waitMs: wait.waitMs,
    signal: call.signal,
    isResumed: false,
  });
}

/** Sends a call once, on a connection of its own. */
export function sendCall(
  call: ServiceCall,
  target: { readonly address: string; readonly onSent: () => void },
): Promise<HttpResponse> {
  return callHttp({
    ...target,
    method: call.method,
    path: call.path,
    headers: {
      "content-type": call.contentType,
      "content-length": call.body.length,
    },
    body: call.body,
    timeoutMs: call.service.callLimitMs,
  });
}

/** Passes a service's answer on to the caller. */
export function sendResponse(
  { response, id }: Exchange,
  answer: {
    readonly status: number;
    readonly contentType: string;
    readonly body: Buffer;
  },
): void {
  response.writeHead(answer.status, {
    "content-type": answer.contentType,
    "content-length": answer.body.length,
    "x-request-id": id,
  });
  response.end(answer.body);
}

/** Returns the content type of an answer. */
export function contentTypeOf({ headers }: HttpResponse): string {
  return headers["content-type"] ?? "application/octet-stream";
}

async function callService(
  context: EntryContext,
  exchange: Exchange,
): Promise<void> {
  const signal = callerSignal(exchange);
  const body = await readBody(exchange.request, context.settings.bodyMaxBytes);
  await context.pauseDetector.ready();
  const call = restoreCall(context, { exchange, body, signal });
  if (isNonIdempotent(call)) {
    await performAction(context, { exchange, call });
  } else {
    await callIdempotent(context, { exchange, call });
  }
}

function restoreCall(
  context: EntryContext,
  input: {
    readonly exchange: Exchange;
    readonly body: Buffer;
    readonly signal: AbortSignal;
  },
): ServiceCall {
  const { exchange, body, signal } = input;
  const { deployment } = context.revisionStore;
  const customer = authenticate(context, exchange);
  const { pathname, search } = exchange.url;
  const groups = CALL_PATH.exec(pathname)?.groups;
  const service = deployment.service(groups?.name ?? "");
  const rank = deployment.rank(service?.rank ?? "");
  const isServed = service?.form === ServiceForm.Plain &&
    customer.services.includes(service.name);
  if (service === undefined || rank === undefined || !isServed) {
    throw new RequestError(
      RequestErrorType.NotFound,
      `no service at ${pathname}`,
    );
  }
  const { method = "GET", headers } = exchange.request;
  return {
    customer,
    service,
    rank,
    method,
    path: `${groups?.path}${search}`,
    contentType: headers["content-type"] ?? "application/octet-stream",
    body,
    signal,
  };
}

function isNonIdempotent({ service, method, path }: ServiceCall): boolean {
  const [pathname] = path.split("?");
  return service.nonIdempotent.includes(`${method} ${pathname}`);
}

async function callIdempotent(
  context: EntryContext,
  { exchange, call }: {
    readonly exchange: Exchange;
    readonly call: ServiceCall;
  },
): Promise<void> {
  const excluded = new Set<string>();
  let mayHaveRun = false;
  for (let send = 1; send <= SENDS_MAX; send++) {
    const place = await placeOrRefuse(context, { call, excluded, mayHaveRun });
    try {
      const answer = await sendCall(call, {
        address: place.server.address,
        onSent: () => mayHaveRun = true,
      });
      return sendResponse(exchange, {
        status: answer.status,
        contentType: contentTypeOf(answer),
        body: answer.body,
      });
    } catch {
      excluded.add(place.server.name);
      context.serverPool.eject(place.server.name);
    } finally {
      place.release();
    }
  }
  const type = mayHaveRun
    ? RequestErrorType.Interrupted
    : RequestErrorType.NotRun;
  throw new RequestError(
    type,
    `no answer from ${SENDS_MAX} backend servers`,
    1,
  );
}

async function placeOrRefuse(
  context: EntryContext,
  { call, excluded, mayHaveRun }: {
    readonly call: ServiceCall;
    readonly excluded: ReadonlySet<string>;
    readonly mayHaveRun: boolean;
  },
): Promise<Reservation> {
  try {
    const waitMs = call.rank.targetMs;
    return await placeCall(context, call, { waitMs, excluded });
  } catch (error) {
    if (!mayHaveRun || !(error instanceof RequestError)) throw error;
    throw new RequestError(RequestErrorType.Interrupted, error.message);
  }
}
