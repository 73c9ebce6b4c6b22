/** What the process keeps of each sending: log lines, metrics, lost servers. */

import { isRestarted } from "../connection/backend_report.ts";
import { type AttemptError, FailureCause, messageOf } from "../errors.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { LiveServer } from "../process/live_server.ts";
import { ServerFailure } from "../process/server_ejection.ts";
import type { LogDetails } from "../process/log.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { AttemptProgress } from "./attempt_progress.ts";
import { attributeCrash } from "./poison_request.ts";
import {
  effectiveDeadlineMs,
  type ProxyRequest,
  RequestKind,
} from "./proxy_request.ts";
import type { AttemptRecord } from "./attempt_history.ts";

/** Logs that an order goes to a server, and the view that decided it. */
export function logAttempt(
  { servers, log, now }: RelayContext,
  { request: order, server, details }: {
    readonly request: ProxyRequest;
    readonly server: LiveServer;
    readonly details: LogDetails;
  },
): void {
  const view = servers.view(server.name);
  log(LOG_EVENTS.attemptStarted, {
    request: order.id,
    server: server.name,
    zone: server.zone,
    since_ms: Math.round(now() - order.receivedMs),
    left_ms: Math.round(effectiveDeadlineMs(order) - now()),
    own: view?.ownLoad.requests ?? 0,
    own_tokens: view?.ownLoad.tokens ?? 0,
    others: view?.peerLoad.requests ?? 0,
    others_tokens: view?.peerLoad.tokens ?? 0,
    ...details,
  });
}

/**
 * Records a lost sending, and keeps its server out of new work for a while.
 * Resolves with whether the server proved to be sound at once; never rejects.
 */
export function recordAttemptFailure(
  context: RelayContext,
  { request: order, record: entry, server, error }: {
    readonly request: ProxyRequest;
    readonly record: AttemptRecord;
    readonly server: LiveServer;
    readonly error: AttemptError;
  },
): Promise<boolean> {
  const { servers, log, metrics } = context;
  const loss = serverLossOf(error, order);
  if (loss !== undefined) servers.eject(server.name, loss);
  metrics.attemptFailures.inc({ cause: error.failureCause });
  log(LOG_EVENTS.attemptFailed, {
    request: order.id,
    server: server.name,
    zone: server.zone,
    progress: entry.progress,
    detail: messageOf(error),
  });
  const mayHaveCrashed = error.failureCause === FailureCause.Closed &&
    entry.progress !== AttemptProgress.NotSent;
  if (!mayHaveCrashed) return Promise.resolve(false);
  attributeCrash(context, { order, server });
  return checkServer(context, server);
}

/** Returns what a lost sending says of its server; `undefined` for nothing. */
function serverLossOf(
  { failureCause: lossCause }: AttemptError,
  { kind }: ProxyRequest,
): ServerFailure | undefined {
  switch (lossCause) {
    case FailureCause.Unreachable:
    case FailureCause.Unresponsive:
      return ServerFailure.Unreachable;
    case FailureCause.DeadlineExceeded:
      // A stream's server is judged by its silence; of a call it never answered.
      return kind === RequestKind.Stream ? undefined : ServerFailure.Unanswered;
    default:
      return kind === RequestKind.Stream
        ? ServerFailure.Broken
        : ServerFailure.Unanswered;
  }
}

/** Learns whether a server that closed a connection is the one listed, and lives. */
async function checkServer(
  { servers, reports }: RelayContext,
  server: LiveServer,
): Promise<boolean> {
  try {
    const report = await reports.fetch(server);
    // It lives, but may be another process by now.
    if (report === undefined) return false;
    const isSound = !isRestarted(report, server);
    if (isSound) servers.reinstate(server.name);
    else servers.eject(server.name, ServerFailure.Replaced);
    return isSound;
  } catch {
    // `lose` logs it; a report that does not come is the answer here.
    servers.eject(server.name, ServerFailure.Unreachable);
    return false;
  }
}
