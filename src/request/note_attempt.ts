/** What the process keeps of each sending: log lines, metrics, lost servers. */

import { isRestarted } from "../connection/backend_report.ts";
import { type AttemptLoss, LossCause, messageOf } from "../errors.ts";
import { EVENTS } from "../process/event_catalog.ts";
import type { LiveServer } from "../process/live_server.ts";
import { ServerLoss } from "../process/server_avoidance.ts";
import type { LogDetails } from "../process/log.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { AttemptProgress } from "./attempt_record.ts";
import { judgeCrash } from "./crash_blame.ts";
import { endMs, type Order, OrderKind } from "./order.ts";
import type { AttemptEntry } from "./order_attempts.ts";

/** Logs that an order goes to a server, and the view that decided it. */
export function logAttempt(
  { servers, log, now }: RelayContext,
  { order, server, details }: {
    readonly order: Order;
    readonly server: LiveServer;
    readonly details: LogDetails;
  },
): void {
  const view = servers.view(server.name);
  log(EVENTS.attemptStarted, {
    request: order.id,
    server: server.name,
    zone: server.zone,
    since_ms: Math.round(now() - order.receivedMs),
    left_ms: Math.round(endMs(order) - now()),
    own: view?.own.requests ?? 0,
    own_tokens: view?.own.tokens ?? 0,
    others: view?.others.requests ?? 0,
    others_tokens: view?.others.tokens ?? 0,
    ...details,
  });
}

/**
 * Records a lost sending, and keeps its server out of new work for a while.
 * Resolves with whether the server proved to be sound at once; never rejects.
 */
export function noteLoss(
  context: RelayContext,
  { order, entry, server, error }: {
    readonly order: Order;
    readonly entry: AttemptEntry;
    readonly server: LiveServer;
    readonly error: AttemptLoss;
  },
): Promise<boolean> {
  const { servers, log, metrics } = context;
  const loss = serverLossOf(error, order);
  if (loss !== undefined) servers.lose(server.name, loss);
  metrics.losses.inc({ cause: error.lossCause });
  log(EVENTS.attemptLost, {
    request: order.id,
    server: server.name,
    zone: server.zone,
    progress: entry.progress,
    detail: messageOf(error),
  });
  const mayHaveCrashed = error.lossCause === LossCause.Closed &&
    entry.progress !== AttemptProgress.NotSent;
  if (!mayHaveCrashed) return Promise.resolve(false);
  judgeCrash(context, { order, server });
  return checkServer(context, server);
}

/** Returns what a lost sending says of its server; `undefined` for nothing. */
function serverLossOf(
  { lossCause }: AttemptLoss,
  { kind }: Order,
): ServerLoss | undefined {
  switch (lossCause) {
    case LossCause.Unreachable:
    case LossCause.Silent:
      return ServerLoss.Unreachable;
    case LossCause.TimeUp:
      // A stream's server is judged by its silence; of a call it never answered.
      return kind === OrderKind.Stream ? undefined : ServerLoss.Unanswered;
    default:
      return kind === OrderKind.Stream
        ? ServerLoss.Broken
        : ServerLoss.Unanswered;
  }
}

/** Learns whether a server that closed a connection is the one listed, and lives. */
async function checkServer(
  { servers, reports }: RelayContext,
  server: LiveServer,
): Promise<boolean> {
  try {
    const report = await reports.ask(server);
    // It lives, but may be another process by now.
    if (report === undefined) return false;
    const isSound = !isRestarted(report, server);
    if (isSound) servers.trust(server.name);
    else servers.lose(server.name, ServerLoss.Replaced);
    return isSound;
  } catch {
    // `lose` logs it; a report that does not come is the answer here.
    servers.lose(server.name, ServerLoss.Unreachable);
    return false;
  }
}
