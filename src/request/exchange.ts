/** One HTTP exchange with a caller, as the routes see it. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestError, RequestErrorType } from "../errors.ts";
import type { RequestId } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import type { Customer } from "../version/types.ts";

/** A request with the response to write. */
export interface Exchange {
  readonly id: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
}

/** Something that callers can ask of an entry. */
export interface Route {
  readonly method: string;
  /** Start of the paths that it serves; exact unless it ends with `/`. */
  readonly path: string;
  readonly handle: (context: EntryContext, exchange: Exchange) => Promise<void>;
}

const BEARER = /^Bearer (\S+)$/;

/** Returns the customer of a request. Errors: a `RequestError`. */
export function authenticate(
  context: EntryContext,
  { request }: Exchange,
): Customer {
  const key = BEARER.exec(request.headers.authorization ?? "")?.[1] ?? "";
  const customer = context.revisionStore.deployment.customerByKey(key);
  if (customer === undefined) {
    throw new RequestError(
      RequestErrorType.Unauthorized,
      "authorization: missing or unknown bearer key",
    );
  }
  return customer;
}

/** Returns a header that may stand at most once. */
export function singleHeader(
  { request }: Exchange,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(", ") : value;
}

/** Returns a signal that is aborted when the caller goes before the end. */
export function callerSignal({ response }: Exchange): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}
