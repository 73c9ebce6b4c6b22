/** One HTTP exchange with a caller, as the route handlers see it. */

import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from "node:http";
import { RequestError, RequestErrorType } from "../errors.ts";
import type { RequestId } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import type { Customer } from "../version/types.ts";
import type { RequestEnding } from "./request_ending.ts";

/** The response to a request. */
export interface ResponseTarget {
  readonly id: RequestId;
  readonly response: ServerResponse;
  /**
   * Decides whether a response that begins now announces the connection's end;
   * with `isRequired`, it must.
   */
  readonly decideClose: (isRequired: boolean) => boolean;
}

/** A request and the response to it. */
export interface Exchange extends ResponseTarget {
  readonly request: IncomingMessage;
  /** How the request ends if the process does. */
  readonly ending: RequestEnding;
  /** Aborts some time after the caller has ended its sending direction. */
  readonly callerLeft: AbortSignal;
  readonly url: URL;
}

/** A request as the HTTP server received it. */
export type IncomingExchange = Pick<
  Exchange,
  "request" | "response" | "ending" | "callerLeft"
>;

/** A route of the entry's HTTP interface. */
export interface Route {
  /** HTTP method; empty for any. */
  readonly method: string;
  /** Path to match; a prefix if it ends with `/`, otherwise exact. */
  readonly path: string;
  readonly handle: (context: EntryContext, exchange: Exchange) => Promise<void>;
}

/** The header that identifies a non-idempotent call. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

const BEARER_KEY = /^Bearer (\S+)$/;

/** Begins a response. */
export function writeHead(
  { response, decideClose }: ResponseTarget,
  { status, headers }: {
    readonly status: number;
    readonly headers: OutgoingHttpHeaders;
  },
): void {
  if (decideClose(false)) response.setHeader("connection", "close");
  response.writeHead(status, headers);
}

/** Sends a JSON response. */
export function respondJson(
  target: ResponseTarget,
  { status, value }: { readonly status: number; readonly value: unknown },
): void {
  const text = JSON.stringify(value);
  writeHead(target, {
    status,
    headers: {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    },
  });
  target.response.end(text);
}

/** Returns the customer that the bearer key names. Errors: `RequestError`. */
export function authenticate(
  context: EntryContext,
  { request }: Exchange,
): Customer {
  const key = BEARER_KEY.exec(request.headers.authorization ?? "")?.[1] ?? "";
  const customer = context.revisionStore.deployment.customerByKey(key);
  if (customer === undefined) {
    throw new RequestError(
      RequestErrorType.Unauthorized,
      "authorization: missing or unknown bearer key",
    );
  }
  return customer;
}

/** Returns the value of a header; repeated values are joined. */
export function singleHeader(
  { request }: Exchange,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(", ") : value;
}

/**
 * Returns a signal that aborts when the caller disconnects early, or when it may
 * have left before its response began.
 */
export function callerSignal({ response, callerLeft }: Exchange): AbortSignal {
  const controller = new AbortController();
  const leave = () => {
    if (!response.headersSent) controller.abort(callerLeft.reason);
  };
  callerLeft.addEventListener("abort", leave);
  response.once("close", () => {
    callerLeft.removeEventListener("abort", leave);
    if (!response.writableFinished) controller.abort();
  });
  if (callerLeft.aborted) leave();
  return controller.signal;
}
