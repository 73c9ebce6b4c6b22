/** Reports each attempt to the log, the metrics and the server ejection. */

import { isRestarted } from "../connection/backend_report.ts";
import {
  type AttemptError,
  FailureCause,
  isHeldOff,
  messageOf,
} from "../errors.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import { ServerFailure } from "../process/server_ejection.ts";
import type { LogDetails } from "../process/log.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { AttemptProgress } from "./attempt_progress.ts";
import { recordCrash } from "./crash_guard.ts";
import {
  effectiveDeadlineMs,
  type ProxyRequest,
  RequestKind,
} from "./proxy_request.ts";
import type { AttemptRecord } from "./attempt_history.ts";

/** Logs the start of an attempt, with the server load it was chosen by. */
export function logAttempt(
  { servers, log, now }: RelayContext,
  { request, server, details }: {
    readonly request: ProxyRequest;
    readonly server: RegisteredServer;
    readonly details: LogDetails;
  },
): void {
  const view = servers.view(server.name);
  log(LOG_EVENTS.attemptStarted, {
    request: request.id,
    server: server.name,
    zone: server.zone,
    since_ms: Math.round(now() - request.receivedMs),
    left_ms: Math.round(effectiveDeadlineMs(request) - now()),
    own: view?.ownLoad.requests ?? 0,
    own_tokens: view?.ownLoad.tokens ?? 0,
    others: view?.peerLoad.requests ?? 0,
    others_tokens: view?.peerLoad.tokens ?? 0,
    ...details,
  });
}

/** A failed attempt. */
export interface AttemptFailure {
  readonly request: ProxyRequest;
  readonly record: AttemptRecord;
  readonly server: RegisteredServer;
  readonly error: AttemptError;
}

/** What a server's report, fetched after a failed attempt, shows. */
enum ServerHealth {
  Healthy,
  Crashed,
  Unknown,
}

/**
 * Records a failed attempt, and ejects the server if it is at fault. Resolves
 * with whether a report fetched at once shows a healthy server, once a crash
 * counts against the request; never rejects.
 */
export async function recordAttemptFailure(
  context: RelayContext,
  failure: AttemptFailure,
): Promise<boolean> {
  const { request, record, server, error } = failure;
  const { servers, silentServers, crashAccount, now } = context;
  crashAccount.recordEnd(request.id);
  const serverFailure = serverFailureOf(error, request);
  if (serverFailure === ServerFailure.Silent) silentServers.watch(server);
  else if (serverFailure !== undefined) {
    servers.eject(server.name, serverFailure);
  }
  logAttemptFailure(context, failure);
  const mayHaveCrashed = error.failureCause === FailureCause.Closed &&
    record.progress !== AttemptProgress.NotSent;
  if (!mayHaveCrashed) return false;
  const atMs = now();
  const health = await checkServer(context, server, atMs);
  if (health === ServerHealth.Crashed) {
    record.hasCrashed = true;
    recordCrash(context, { request, record, server, atMs });
  }
  return health === ServerHealth.Healthy;
}

/** Logs and counts a failed attempt. */
export function logAttemptFailure(
  { log, metrics, now }: RelayContext,
  { request, record, server, error }: AttemptFailure,
): void {
  const { respondedMs } = record;
  metrics.attemptFailures.inc({ cause: error.failureCause });
  log(LOG_EVENTS.attemptFailed, {
    request: request.id,
    server: server.name,
    zone: server.zone,
    progress: record.progress,
    events: record.eventCount,
    ...respondedMs !== undefined &&
      { since_head_ms: Math.round(now() - respondedMs) },
    detail: messageOf(error),
  });
}

/**
 * Whether an attempt ended for want of a response in time, so that the time it
 * took shows how slow its server is.
 */
export function isSlowResponse({ failureCause }: AttemptError): boolean {
  return failureCause === FailureCause.Stalled ||
    failureCause === FailureCause.DeadlineExceeded;
}

/** Returns the server failure behind a failed attempt; `undefined` for none. */
function serverFailureOf(
  { failureCause }: AttemptError,
  { kind }: ProxyRequest,
): ServerFailure | undefined {
  switch (failureCause) {
    case FailureCause.Unreachable:
      return ServerFailure.Unreachable;
    case FailureCause.Unresponsive:
      return ServerFailure.Silent;
    case FailureCause.NoResources:
      return undefined;
    case FailureCause.DeadlineExceeded:
      // The stall detector judges a stream's server; a call got no response.
      return kind === RequestKind.Stream ? undefined : ServerFailure.Unanswered;
    default:
      return kind === RequestKind.Stream
        ? ServerFailure.Broken
        : ServerFailure.Unanswered;
  }
}

/** Checks whether a server that closed a connection at `closedMs` is up. */
async function checkServer(
  { servers, reports }: RelayContext,
  server: RegisteredServer,
  closedMs: number,
): Promise<ServerHealth> {
  try {
    const report = await reports.fetch(server, closedMs);
    // The server responded without a report; it may have been replaced.
    if (report === undefined) return ServerHealth.Unknown;
    if (isRestarted(report, server)) {
      servers.eject(server.name, ServerFailure.Replaced);
      return ServerHealth.Crashed;
    }
    servers.reinstate(server.name);
    return ServerHealth.Healthy;
  } catch (error) {
    if (isHeldOff(error)) return ServerHealth.Unknown;
    // `recordAttemptFailure` has logged the failure; no report confirms it.
    servers.eject(server.name, ServerFailure.Unreachable);
    return ServerHealth.Crashed;
  }
}
