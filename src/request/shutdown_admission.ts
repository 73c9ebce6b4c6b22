/**
 * Which orders an entry still takes after a planned stop was asked for. Callers
 * go on using open connections; a stream that begins late would be cut.
 */

import { RequestError, RequestErrorType } from "../errors.ts";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";

/**
 * Streams that come so long after the request to stop are refused, in ms; the
 * balancer sends none after 2 s, and a stream needs the 5 s that are left.
 */
const STREAM_ACCEPT_MS = 2_600;
/** Suggested wait, in s; other entries are free. */
const RETRY_AFTER_S = 0.02;

/** Refuses an order that can't end before the process does. Errors: `RequestError`. */
export function admitDuringShutdown(
  order: ProxyRequest,
  sinceStopMs: number,
): void {
  if (order.kind !== RequestKind.Stream) return;
  if (sinceStopMs <= STREAM_ACCEPT_MS) return;
  throw new RequestError(
    RequestErrorType.NotRun,
    "this entry is about to stop; another one serves at once",
    RETRY_AFTER_S,
  );
}
