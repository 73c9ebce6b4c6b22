/**
 * Graceful shutdown of an HTTP server. Callers use open connections until the
 * process is gone, so none is closed before; the server answers that it shuts
 * down.
 */

import type { ServerResponse } from "node:http";
import {
  setImmediate as readsDone,
  setTimeout as sleep,
} from "node:timers/promises";
import { BUSY_ITERATION_MS } from "../connection/idle_policy.ts";
import { messageOf } from "../errors.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";

/**
 * Dependencies and time limits of a shutdown. The limits may be getters: they
 * are read again while it lasts.
 */
export interface GracefulShutdownOptions {
  readonly openRequests: OpenRequests;
  readonly log: Log;
  /** Time for the load balancer to stop sending requests, in ms. */
  readonly noticeMs: number;
  /** Time from the start of the shutdown for open requests to end, in ms. */
  readonly deadlineMs: number;
  /** Called once no request is open, or all were ended at the deadline. */
  readonly onDrained?: () => Promise<void>;
}

const POLL_INTERVAL_MS = 20;
/** Interval at which a change of the limits is noticed, in ms. */
const LIMIT_CHECK_INTERVAL_MS = 100;
/** Longest time to write the responses that end open requests, in ms. */
const ENDING_MAX_MS = 50;
/**
 * Short iterations of the event loop without an open request after which none
 * is on its way: one accepts a connection, the next reads from it.
 */
const QUIET_ITERATIONS = 3;

/** The requests that a server has accepted and not answered yet. */
export class OpenRequests {
  /** How to end each request whose time is up. */
  readonly #endings = new Map<ServerResponse, () => void>();

  private constructor() {}

  /** Creates a list without requests. */
  static create(): OpenRequests {
    return new OpenRequests();
  }

  /** Number of open requests. */
  get count(): number {
    return this.#endings.size;
  }

  /**
   * Counts a request until its response closes, and its body has arrived or its
   * connection is closed: a caller that is cut off while it sends may not read
   * the response.
   */
  track(response: ServerResponse, end: () => void = () => undefined): void {
    const { req: request, socket } = response;
    const forget = () => this.#endings.delete(response);
    this.#endings.set(response, end);
    response.once("close", () => {
      if (request.complete || socket === null || socket.destroyed) {
        return forget();
      }
      this.#endings.set(response, () => undefined);
      request.once("end", forget);
      socket.once("close", forget);
    });
  }

  /**
   * Ends the requests that have not been ended; each is answered if its response
   * has not begun. One that is complete may wait behind another response.
   */
  endAll(): void {
    for (const [response, end] of [...this.#endings]) {
      this.#endings.set(response, () => undefined);
      if (!response.writableEnded) end();
    }
  }
}

/**
 * Keeps serving until the load balancer has had time to notice, then waits for
 * the open requests. Resolves with whether all of them ended before the
 * deadline; the process must end in the same turn of the event loop.
 */
export async function shutDownGracefully(
  options: GracefulShutdownOptions,
): Promise<boolean> {
  const { openRequests, log } = options;
  const startMs = performance.now();
  const elapsedMs = () => performance.now() - startMs;
  log(LOG_EVENTS.shutdownRequested, {
    open: openRequests.count,
    deadline_ms: Math.round(options.deadlineMs),
  });
  while (true) {
    const { noticeMs, deadlineMs } = options;
    const remainingMs = Math.min(noticeMs, deadlineMs) - elapsedMs();
    if (remainingMs <= 0) break;
    await sleep(Math.min(remainingMs, LIMIT_CHECK_INTERVAL_MS));
  }
  const allEnded = async () => {
    let quietIterations = 0;
    while (quietIterations < QUIET_ITERATIONS) {
      const iterationMs = performance.now();
      // Timers run before the reads of the same iteration.
      await readsDone();
      const tookMs = performance.now() - iterationMs;
      const isQuiet = openRequests.count === 0 && tookMs < BUSY_ITERATION_MS;
      quietIterations = isQuiet ? quietIterations + 1 : 0;
      if (isQuiet) continue;
      if (elapsedMs() >= options.deadlineMs) {
        return openRequests.count === 0;
      }
      if (openRequests.count > 0) await sleep(POLL_INTERVAL_MS);
    }
    return true;
  };
  const isClean = await allEnded();
  if (!isClean) {
    log(LOG_EVENTS.shutdownForced, { open: openRequests.count });
    await endRequests(openRequests);
  }
  try {
    await options.onDrained?.();
  } catch (error) {
    log(LOG_EVENTS.unexpectedError, { reason: messageOf(error) });
  }
  // Callers may have sent requests meanwhile.
  const isStillClean = await allEnded() && isClean;
  if (isClean) {
    const event = isStillClean ? LOG_EVENTS.stopped : LOG_EVENTS.shutdownForced;
    log(event, { open: openRequests.count });
  }
  await endRequests(openRequests);
  return isStillClean;
}

/**
 * Ends the open requests. On one connection a response is written only once the
 * one before it is complete.
 */
async function endRequests(openRequests: OpenRequests): Promise<void> {
  const untilMs = performance.now() + ENDING_MAX_MS;
  while (openRequests.count > 0 && performance.now() < untilMs) {
    openRequests.endAll();
    await readsDone();
  }
}
