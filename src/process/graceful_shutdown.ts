/** The planned stop of an HTTP server: no request that was taken is cut off. */

import type { Server, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";

/** How a stop goes on. */
export interface GracefulShutdownOptions {
  readonly server: Server;
  readonly open: OpenRequests;
  readonly log: Log;
  /** Time in which the balancer notices that no more requests are wanted, in ms. */
  readonly noticeMs: number;
  /** Time from the start of the stop in which open requests may end, in ms. */
  readonly deadlineMs: number;
  /** Called once requests have ended, before the stop is logged. */
  readonly onDrained?: () => Promise<void>;
}

const POLL_MS = 20;

/** Counts the requests that a server has taken and not answered. */
export class OpenRequests {
  #count = 0;

  private constructor() {}

  /** Starts at none. */
  static create(): OpenRequests {
    return new OpenRequests();
  }

  /** Count of open requests. */
  get count(): number {
    return this.#count;
  }

  /** Counts a request until its response closes. */
  track(response: ServerResponse): void {
    this.#count++;
    response.once("close", () => this.#count--);
  }
}

/**
 * Serves on until the balancer has noticed, then waits for the open requests.
 * Resolves with whether all of them ended before the deadline.
 */
export async function shutDownGracefully(
  options: GracefulShutdownOptions,
): Promise<boolean> {
  const { server, open, log, noticeMs, deadlineMs } = options;
  const startMs = performance.now();
  log(LOG_EVENTS.shutdownRequested, { open: open.count });
  await sleep(noticeMs);
  server.close();
  server.closeIdleConnections();
  while (open.count > 0 && performance.now() - startMs < deadlineMs) {
    await sleep(POLL_MS);
  }
  const isClean = open.count === 0;
  await options.onDrained?.();
  log(isClean ? LOG_EVENTS.stopped : LOG_EVENTS.shutdownForced, {
    open: open.count,
  });
  return isClean;
}
