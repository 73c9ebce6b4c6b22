/**
 * Paces the attempts of a stream whose response has begun. Ending it early
 * would gain nothing, so it waits for its turn until its deadline.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { effectiveDeadlineMs, type ProxyRequest } from "./proxy_request.ts";

/** Attempts that did not run after which the next ones are delayed. */
const PROMPT_ATTEMPTS = 3;
/** Delay of the first attempt after those, in ms; it doubles each time. */
const DELAY_MIN_MS = 100;
/** Longest delay, in ms; a rejected attempt takes a retry of the budget too. */
const DELAY_MAX_MS = 1_000;
/** Interval at which an exhausted retry budget is checked, in ms. */
const BUDGET_INTERVAL_MS = 100;

/**
 * Returns the delay before the next attempt of a begun stream, in ms.
 *
 * @param notRunCount attempts that servers rejected or that never arrived,
 * since the stream last made progress
 */
export function resumeDelayMs(notRunCount: number): number {
  const delayed = notRunCount - PROMPT_ATTEMPTS;
  if (delayed <= 0) return 0;
  return Math.min(DELAY_MAX_MS, DELAY_MIN_MS * 2 ** (delayed - 1));
}

/**
 * Waits for `delayMs`, then until the budget has a retry, which it takes.
 * Returns `false` if the deadline passes or the caller disconnects before.
 */
export async function waitForRetry(
  context: RelayContext,
  { request, signal, delayMs }: {
    readonly request: ProxyRequest;
    readonly signal: AbortSignal;
    readonly delayMs: number;
  },
): Promise<boolean> {
  const { now, retryBudget } = context;
  let waitMs = delayMs;
  let isLogged = false;
  while (true) {
    const remainingMs = effectiveDeadlineMs(request) - now();
    if (remainingMs <= 0 || signal.aborted) return false;
    if (waitMs === 0) {
      if (await retryBudget.acquireRetry(request.service)) return true;
      if (!isLogged) logRetryWait(context, request);
      isLogged = true;
    }
    const pauseMs = waitMs === 0 ? BUDGET_INTERVAL_MS : waitMs;
    waitMs = 0;
    // An abort ends the wait; the loop then returns.
    await sleep(Math.min(pauseMs, remainingMs), undefined, { signal })
      .catch(() => undefined);
    if (pauseMs >= remainingMs) return false;
  }
}

function logRetryWait(
  { log, metrics, retryBudget }: RelayContext,
  { id, service }: ProxyRequest,
): void {
  metrics.retryWaits.inc({ service });
  log(LOG_EVENTS.retryWaits, {
    request: id,
    service,
    ...retryBudget.view(service),
  });
}
