/** One HTTP exchange with a caller, as the route handlers see it. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestError, RequestErrorType } from "../errors.ts";
import type { RequestId } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import type { Customer } from "../version/types.ts";

/** A request and the response to it. */
export interface Exchange {
  readonly id: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
}

/** A route of the entry's HTTP interface. */
export interface Route {
  /** HTTP method; empty for any. */
  readonly method: string;
  /** Path to match; a prefix if it ends with `/`, otherwise exact. */
  readonly path: string;
  readonly handle: (context: EntryContext, exchange: Exchange) => Promise<void>;
}

const BEARER_KEY = /^Bearer (\S+)$/;

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

/** Returns a signal that aborts when the caller disconnects early. */
export function callerSignal({ response }: Exchange): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}
