/** Creates the error for a caller whose request can't be served. */

import type { RequestError } from "../errors.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { blockedUntilMs } from "./crash_guard.ts";
import type { AttemptHistory } from "./attempt_history.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/**
 * Returns the refusal that follows from the attempts of a request. Its retry
 * delay ends when requests with a cause of crashes run again, when another entry
 * can be tried because this one shuts down, or when the first server's pause
 * ends if all servers have asked for one.
 */
export function createRefusal(
  context: RelayContext,
  { request, attempts, reason }: {
    readonly request: ProxyRequest;
    readonly attempts: AttemptHistory;
    readonly reason: string;
  },
): RequestError {
  const { servers, shutdownAdmission, metrics, now } = context;
  const untilMs = blockedUntilMs(context, request);
  if (untilMs !== undefined) {
    metrics.crashCauseRefusals.inc({ route: request.route });
  }
  const shutdownError = shutdownAdmission.rejection(request.kind);
  if (
    shutdownError !== undefined && untilMs === undefined &&
    !attempts.mayHaveRun
  ) {
    return shutdownError;
  }
  const freeAtMs = untilMs ?? servers.heldOffUntilMs({
    service: request.service,
    tokens: request.kvCacheTokens,
    excluded: new Set(),
  });
  return attempts.refusal(reason, now(), { freeAtMs });
}
