/** Creates the error for a caller whose request can't be served. */

import type { RequestError } from "../errors.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { AttemptHistory } from "./attempt_history.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/**
 * Returns the refusal that follows from the attempts of a request. If all
 * servers have asked for a pause, the caller is told when the first one ends.
 */
export function createRefusal(
  { servers, now }: RelayContext,
  { request, attempts, reason }: {
    readonly request: ProxyRequest;
    readonly attempts: AttemptHistory;
    readonly reason: string;
  },
): RequestError {
  const freeAtMs = servers.heldOffUntilMs({
    service: request.service,
    tokens: request.kvCacheTokens,
    excluded: new Set(),
  });
  return attempts.refusal(reason, now(), { freeAtMs });
}
