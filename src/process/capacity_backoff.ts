/** Spares servers for a moment that refused a request as full. */

import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";
import type { RegisteredServerViews } from "./registered_server_views.ts";

/**
 * How long a server gets no new requests after it refused one as full, in ms:
 * about the duration of a call.
 */
const FULL_BACKOFF_MS = 50;
/**
 * How long a service counts as full after a refusal, in ms; an entry may send
 * it so few calls that refusals are rare.
 */
const SERVICE_FULL_WINDOW_MS = 2_000;

/** Dependencies of the backoff. */
export interface CapacityBackoffOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  readonly log: Log;
  readonly views: RegisteredServerViews;
  /** Called when a server's backoff is over. */
  readonly onCapacityAvailable: () => void;
}

/** The servers and services that recently refused requests as full. */
export class CapacityBackoff {
  readonly #options: CapacityBackoffOptions;
  /** When a server of each service last refused a request as full. */
  readonly #lastFullMs = new Map<string, number>();

  private constructor(options: CapacityBackoffOptions) {
    this.#options = options;
  }

  /** Starts without refusals. */
  static create(options: CapacityBackoffOptions): CapacityBackoff {
    return new CapacityBackoff(options);
  }

  /**
   * Records that a server refused a request as full; it gets no new ones for a
   * moment.
   */
  markFull(name: string): void {
    const { now, log, views } = this.#options;
    const service = views.get(name)?.server.service;
    if (service === undefined) return;
    this.#lastFullMs.set(service, now());
    views.update(name, () => ({ fullUntilMs: now() + FULL_BACKOFF_MS }));
    log(LOG_EVENTS.serverAtCapacity, { server: name, for_ms: FULL_BACKOFF_MS });
    this.#notifyAfterBackoff(name);
  }

  /** Whether a server of a service recently refused a request as full. */
  wasRecentlyFull(service: string): boolean {
    const fullMs = this.#lastFullMs.get(service) ?? -Infinity;
    return this.#options.now() - fullMs < SERVICE_FULL_WINDOW_MS;
  }

  /** Reports available capacity once the server's backoff is over. */
  #notifyAfterBackoff(name: string): void {
    const { now, views, onCapacityAvailable } = this.#options;
    const fullUntilMs = views.get(name)?.fullUntilMs ?? 0;
    const remainingMs = fullUntilMs - now();
    if (remainingMs <= 0) return onCapacityAvailable();
    // A timer may fire early by this clock: it counts from the event loop's
    // last turn.
    setTimeout(() => this.#notifyAfterBackoff(name), remainingMs).unref();
  }
}
