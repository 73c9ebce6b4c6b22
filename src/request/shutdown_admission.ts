/**
 * Decides which requests an entry still accepts during a graceful shutdown.
 * Callers keep using open connections, and a stream that starts too late would
 * be cut off when the process exits.
 */

import { RequestError, RequestErrorType } from "../errors.ts";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";

/**
 * Time after the start of a shutdown in which streams are accepted, in ms. The
 * platform sends no new connections after 2 s, and a stream needs the remaining
 * 5 s.
 */
const STREAM_ACCEPT_WINDOW_MS = 2_600;
/** Suggested retry delay, in s; short, since other entries accept requests. */
const RETRY_AFTER_S = 0.02;

/**
 * Refuses a stream that starts too late to complete before the process exits.
 *
 * Errors: `RequestError` of type not run.
 */
export function admitDuringShutdown(
  request: ProxyRequest,
  sinceShutdownMs: number,
): void {
  if (request.kind !== RequestKind.Stream) return;
  if (sinceShutdownMs <= STREAM_ACCEPT_WINDOW_MS) return;
  throw new RequestError(
    RequestErrorType.NotRun,
    "this entry is shutting down; retry at another entry",
    RETRY_AFTER_S,
  );
}
