/**
 * Blames an order for the loss of its server when the server ended alone: one
 * that crashes whatever runs it is refused, here and at the other entries.
 */

import { isRestarted } from "../connection/backend_report.ts";
import type { LiveServer } from "../process/live_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import { RequestError, RequestErrorType } from "../errors.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** Servers that an order may be blamed for before it is refused. */
const BLAME_MAX = 3;
/** Time after a loss in which other losses show a common cause, in ms. */
const JUDGE_MS = 400;
/** Suggested wait before such a request comes again, in s. */
const RETRY_AFTER_S = 5;

/** Refuses an order that has crashed its servers. Errors: `RequestError`. */
export function rejectPoisonRequest(
  context: RelayContext,
  order: ProxyRequest,
): void {
  if (!isPoisonRequest(context, order)) return;
  throw new RequestError(
    RequestErrorType.NotRun,
    "this request is suspected of crashing backend servers",
    RETRY_AFTER_S,
  );
}

/** Whether an order must not be sent once more. */
export function isPoisonRequest(
  { suspicions }: RelayContext,
  order: ProxyRequest,
): boolean {
  return suspicions.blameScore(order.fingerprint) >= BLAME_MAX;
}

/** Judges the loss of a server that ran an order, once others would show too. */
export function attributeCrash(
  context: RelayContext,
  { order, server }: {
    readonly order: ProxyRequest;
    readonly server: LiveServer;
  },
): void {
  const { servers, reports, suspicions, log } = context;
  const judge = async () => {
    if (servers.isZoneSuspect(server.zone)) return;
    const hasEnded = await reports.fetch(server).then(
      (report) => isRestarted(report, server),
      () => true,
    );
    if (!hasEnded || servers.isZoneSuspect(server.zone)) return;
    const blame = suspicions.blameScore(order.fingerprint) + 1;
    suspicions.record(order.fingerprint, blame);
    log(LOG_EVENTS.poisonRequestSuspected, {
      request: order.id,
      server: server.name,
      blame,
    });
  };
  setTimeout(judge, JUDGE_MS).unref();
}
