/**
 * Finds the server that has the prompt of a stream cached which a caller resumes
 * here after its entry was lost.
 */

import { LOG_EVENTS } from "../process/log_events.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** Outcome of a search in the metrics. */
enum SearchOutcome {
  Found = "found",
  NotFound = "not_found",
}

/**
 * Has the servers asked for the prompt of a stream that goes on after an event,
 * unless this entry knows where it is cached. What is found is recorded in the
 * index of prompts, which the choice of a server prefers.
 */
export async function findCachedPrompt(
  { promptSearch, promptCacheIndex, metrics, log, now }: RelayContext,
  { id, service, promptKey, lastEventId }: ProxyRequest,
): Promise<void> {
  const isResumedByCaller = lastEventId !== undefined && promptKey !== "";
  if (promptSearch === undefined || !isResumedByCaller) return;
  if (promptCacheIndex.findServer(promptKey) !== undefined) return;
  const startMs = now();
  const { server, askedCount } = await promptSearch.find(service, promptKey);
  if (server !== undefined) promptCacheIndex.record(promptKey, server);
  const outcome = server === undefined
    ? SearchOutcome.NotFound
    : SearchOutcome.Found;
  metrics.promptSearches.inc({ outcome });
  log(LOG_EVENTS.promptSought, {
    request: id,
    server: server ?? "",
    asked: askedCount,
    took_ms: Math.round(now() - startMs),
  });
}
