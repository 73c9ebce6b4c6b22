/**
 * Detects poison requests. A request is suspected when its server crashes and
 * the rest of the zone is not failing; after several crashes all entries refuse
 * it.
 */

import { isRestarted } from "../connection/backend_report.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import { isHeldOff, RequestError, RequestErrorType } from "../errors.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** Server crashes attributed to a request after which it is refused. */
const CRASH_BLAME_LIMIT = 3;
/** Delay of the attribution, in ms; a zone failure shows up in that time. */
const ATTRIBUTION_DELAY_MS = 400;
/** Suggested retry delay for a poison request, in s. */
const RETRY_AFTER_S = 5;

/** Refuses a poison request. Errors: `RequestError` of type not run. */
export function rejectPoisonRequest(
  context: RelayContext,
  request: ProxyRequest,
): void {
  if (!isPoisonRequest(context, request)) return;
  throw new RequestError(
    RequestErrorType.NotRun,
    "this request is suspected of crashing backend servers",
    RETRY_AFTER_S,
  );
}

/** Whether a request has crashed too many servers to be sent again. */
export function isPoisonRequest(
  { suspicions }: RelayContext,
  request: ProxyRequest,
): boolean {
  return suspicions.blameScore(request.fingerprint) >= CRASH_BLAME_LIMIT;
}

/**
 * Attributes the failure of a server to the request that it ran, if the server
 * crashed and its zone is not failing. The check runs after a delay.
 */
export function attributeCrash(
  context: RelayContext,
  { request, server }: {
    readonly request: ProxyRequest;
    readonly server: RegisteredServer;
  },
): void {
  const { servers, reports, suspicions, log } = context;
  const attribute = async () => {
    if (servers.isZoneSuspect(server.zone)) return;
    const hasCrashed = await reports.fetch(server).then(
      (report) => isRestarted(report, server),
      (error: unknown) => !isHeldOff(error),
    );
    if (!hasCrashed || servers.isZoneSuspect(server.zone)) return;
    const blame = suspicions.blameScore(request.fingerprint) + 1;
    suspicions.record(request.fingerprint, blame);
    log(LOG_EVENTS.poisonRequestSuspected, {
      request: request.id,
      server: server.name,
      blame,
    });
  };
  setTimeout(attribute, ATTRIBUTION_DELAY_MS).unref();
}
