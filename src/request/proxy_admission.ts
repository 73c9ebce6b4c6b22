/**
 * Until when an entry that proxies requests sends them to backend servers during
 * a graceful shutdown: as long as they can usually complete before its end.
 */

import { RequestKind } from "./proxy_request.ts";
import type { Shutdown } from "./shutdown_admission.ts";

/** Time after SIGTERM in which the platform sends new connections, in ms. */
const STREAM_WINDOW_MAX_MS = 2_600;
/** Time that a stream needs, in ms. */
const STREAM_DURATION_MS = 5_000;
/** Time that must remain for other requests, in ms. */
const CALL_MIN_REMAINING_MS = 3_000;
/** The same, at most, as part of a shutdown that is short. */
const CALL_MIN_REMAINING_RATIO = 0.4;

/**
 * Returns until when requests of a kind are sent, on the monotonic clock in ms.
 *
 * @param kind `undefined` if it is not known yet
 */
export function proxyClosingMs(
  kind: RequestKind | undefined,
  { startMs, endMs }: Shutdown,
): number {
  if (kind === RequestKind.Stream) {
    return Math.min(startMs + STREAM_WINDOW_MAX_MS, endMs - STREAM_DURATION_MS);
  }
  const minRemainingMs = (endMs - startMs) * CALL_MIN_REMAINING_RATIO;
  return endMs - Math.min(CALL_MIN_REMAINING_MS, minRemainingMs);
}
