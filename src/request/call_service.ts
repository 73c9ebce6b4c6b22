/** `/services/NAME/PATH`: forwards a call to a plain service. */

import { callHttp, type HttpResponse } from "../connection/http_call.ts";
import type { ResponseBuffers } from "../connection/response_buffers.ts";
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
  receiveBody,
  type ReceivedBody,
  type RequestTimes,
  reserveSlot,
} from "./entry_admission.ts";
import {
  authenticate,
  callerSignal,
  type Exchange,
  IDEMPOTENCY_KEY_HEADER,
  type Route,
  singleHeader,
  writeHead,
} from "./exchange.ts";
import { performAction } from "./perform_action.ts";

/** The route of plain services. */
export const SERVICE_ROUTE: Route = {
  method: "",
  path: "/services/",
  handle: callService,
};

/** A validated call to a plain service. */
export interface ServiceCall {
  readonly customer: Customer;
  readonly service: Service;
  readonly rank: Rank;
  readonly method: string;
  /** Path at the service, with the query string. */
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly times: RequestTimes;
  readonly signal: AbortSignal;
}

const CALL_PATH = /^\/services\/(?<name>[^/]+)(?<path>\/.*)$/;
const CALL_COST_TOKENS = 1;
/** Attempts of one idempotent call, each on another server. */
const ATTEMPTS_MAX = 3;

/** Waits for a slot on a server. Errors: a `RequestError` of type not run. */
export function placeCall(
  context: EntryContext,
  call: ServiceCall,
  options: {
    readonly waitMs: number;
    readonly excluded: ReadonlySet<string>;
    readonly mayHaveRun: boolean;
  },
): Promise<Reservation> {
  return reserveSlot(context, {
    times: options.mayHaveRun ? undefined : call.times,
    rank: call.rank,
    customer: call.customer.name,
    weight: call.customer.weight,
    cost: CALL_COST_TOKENS,
    service: call.service.name,
    modelVersion: "",
    excluded: options.excluded,
    preferred: "",
    isSuspect: false,
    waitMs: options.waitMs,
    signal: call.signal,
    isResumed: false,
  });
}

/** Sends a call once, on a new connection. */
export function sendCall(
  call: ServiceCall,
  target: {
    readonly address: string;
    readonly onSent: () => void;
    readonly buffers: ResponseBuffers;
  },
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

/** Sends a service's response to the caller. */
export function sendResponse(
  exchange: Exchange,
  serviceResponse: {
    readonly status: number;
    readonly contentType: string;
    readonly body: Buffer;
  },
): void {
  const { status, contentType, body } = serviceResponse;
  writeHead(exchange, {
    status,
    headers: {
      "content-type": contentType,
      "content-length": body.length,
      "x-request-id": exchange.id,
    },
  });
  exchange.response.end(body);
}

/** Returns a response's content type, by default that of arbitrary bytes. */
export function contentTypeOf({ headers }: HttpResponse): string {
  return headers["content-type"] ?? "application/octet-stream";
}

async function callService(
  context: EntryContext,
  exchange: Exchange,
): Promise<void> {
  const signal = callerSignal(exchange);
  const hasKey = singleHeader(exchange, IDEMPOTENCY_KEY_HEADER) !== undefined;
  // Until its record is read, an earlier request with its key may have run.
  if (hasKey) exchange.ending.update({ type: () => RequestErrorType.NotSent });
  const received = await receiveBody(context, exchange);
  await context.pauseDetector.ready();
  const call = parseCall(context, { exchange, received, signal });
  if (isNonIdempotent(call)) {
    await performAction(context, { exchange, call });
  } else {
    await callIdempotent(context, { exchange, call });
  }
}

function parseCall(
  context: EntryContext,
  input: {
    readonly exchange: Exchange;
    readonly received: ReceivedBody;
    readonly signal: AbortSignal;
  },
): ServiceCall {
  const { exchange, received, signal } = input;
  const { deployment } = context.revisionStore;
  const customer = authenticate(context, exchange);
  const { pathname, search } = exchange.url;
  const groups = CALL_PATH.exec(pathname)?.groups;
  const service = deployment.service(groups?.name ?? "");
  const rank = deployment.rank(service?.rank ?? "");
  const isAvailable = service?.form === ServiceForm.Plain &&
    customer.services.includes(service.name);
  if (service === undefined || rank === undefined || !isAvailable) {
    throw new RequestError(
      RequestErrorType.NotFound,
      `no service found at ${pathname}`,
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
    body: received.body,
    times: {
      receivedMs: received.receivedMs,
      durationMs: service.callLimitMs,
    },
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
  // A connection that is being opened may still be used.
  let isAttemptOpen = false;
  exchange.ending.update({
    type: () =>
      mayHaveRun || isAttemptOpen
        ? RequestErrorType.Interrupted
        : RequestErrorType.NotRun,
  });
  for (let attempt = 1; attempt <= ATTEMPTS_MAX; attempt++) {
    const reservation = await reserveServer(context, {
      call,
      excluded,
      mayHaveRun,
    });
    let response: HttpResponse;
    isAttemptOpen = true;
    try {
      response = await sendCall(call, {
        address: reservation.server.address,
        onSent: () => mayHaveRun = true,
        buffers: context.responseBuffers,
      });
    } catch {
      excluded.add(reservation.server.name);
      context.serverPool.eject(reservation.server.name);
      continue;
    } finally {
      isAttemptOpen = false;
      reservation.release();
    }
    return sendResponse(exchange, {
      status: response.status,
      contentType: contentTypeOf(response),
      body: response.body,
    });
  }
  const type = mayHaveRun
    ? RequestErrorType.Interrupted
    : RequestErrorType.NotRun;
  throw new RequestError(
    type,
    `no response from ${ATTEMPTS_MAX} backend servers`,
    1,
  );
}

async function reserveServer(
  context: EntryContext,
  { call, excluded, mayHaveRun }: {
    readonly call: ServiceCall;
    readonly excluded: ReadonlySet<string>;
    readonly mayHaveRun: boolean;
  },
): Promise<Reservation> {
  try {
    const waitMs = call.rank.targetMs;
    return await placeCall(context, call, { waitMs, excluded, mayHaveRun });
  } catch (error) {
    if (!mayHaveRun || !(error instanceof RequestError)) throw error;
    throw new RequestError(RequestErrorType.Interrupted, error.message);
  }
}
