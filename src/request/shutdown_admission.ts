/**
 * Decides which requests an entry still accepts during a graceful shutdown.
 * Callers keep using open connections, and a request that starts too late would
 * be cut off when the process exits.
 */

import { RequestError, RequestErrorType } from "../errors.ts";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";

/** How far a graceful shutdown is. */
export interface ShutdownProgress {
  /** Time since its start, in ms. */
  readonly elapsedMs: number;
  /** Time until requests are cut off, in ms. */
  readonly remainingMs: number;
}

/**
 * Time after the start of a shutdown in which streams are accepted, in ms. The
 * platform sends no new connections after 2 s, and a stream needs the remaining
 * 5 s.
 */
const STREAM_ACCEPT_WINDOW_MS = 2_600;
/** Time that must remain for other requests to be accepted, in ms. */
const CALL_MIN_REMAINING_MS = 3_000;
/** Time before the end at which accepted requests are answered, in ms. */
const RESPONSE_MARGIN_MS = 100;
/** Suggested retry delay, in s; short, since other entries accept requests. */
const RETRY_AFTER_S = 0.02;

/**
 * Returns the request with a deadline before the end of the process.
 *
 * Errors: `RequestError` of type not run if it would start too late to complete.
 */
export function admitDuringShutdown(
  request: ProxyRequest,
  { elapsedMs, remainingMs }: ShutdownProgress,
): ProxyRequest {
  const isAccepted = request.kind === RequestKind.Stream
    ? elapsedMs <= STREAM_ACCEPT_WINDOW_MS
    : remainingMs >= CALL_MIN_REMAINING_MS;
  if (!isAccepted) throw shutdownError();
  const endMs = request.receivedMs + remainingMs - RESPONSE_MARGIN_MS;
  return {
    ...request,
    callerDeadlineMs: Math.min(request.callerDeadlineMs, endMs),
  };
}

/** Returns the error of a request that an entry no longer accepts. */
export function shutdownError(): RequestError {
  return new RequestError(
    RequestErrorType.NotRun,
    "this entry is shutting down; retry at another entry",
    RETRY_AFTER_S,
  );
}
