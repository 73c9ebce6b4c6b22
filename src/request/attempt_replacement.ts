/**
 * Decides whether an attempt whose server is silent is given up. A sound server
 * may be silent for a second and go on, so the attempt is given up only for
 * another one that can start at once; else the response would be lost for
 * nothing.
 */

import type { RegisteredServer } from "../process/registered_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { KvCopy } from "./kv_copy_manager.ts";
import { isPoisonRequest } from "./poison_request.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** An attempt at a silent server. */
export interface SilentAttempt {
  readonly request: ProxyRequest;
  /** Whether the attempts that are left allow another one. */
  readonly canRetry: boolean;
  readonly server: RegisteredServer;
  /** Names of other servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Copy of the run's KV cache, if there is one. */
  readonly kvCopy?: KvCopy | undefined;
}

/**
 * Takes what another attempt needs: returns whether it may start at once. A
 * retry is then taken from the budget.
 */
export function takeReplacement(
  context: RelayContext,
  attempt: SilentAttempt,
): boolean {
  const { request, canRetry } = attempt;
  return canRetry && !isPoisonRequest(context, request) &&
    hasFreeServer(context, attempt) &&
    context.retryBudget.takeRetry(request.service);
}

/** Whether a server that is not ejected can take over now. */
function hasFreeServer(
  { servers }: RelayContext,
  { request, server, excluded, kvCopy }: SilentAttempt,
): boolean {
  if (kvCopy !== undefined && servers.isUsable(kvCopy.server.name)) return true;
  const free = servers.choose({
    service: request.service,
    tokens: request.kvCacheTokens,
    excluded: new Set([...excluded, server.name]),
    prompt: request.promptKey,
  });
  // Without a healthy server `choose` returns an ejected one.
  return free !== undefined && servers.isUsable(free.name);
}
