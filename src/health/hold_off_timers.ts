/** Timers that report the ends of the pauses that servers asked for. */

import type { RegisteredServer } from "../process/registered_server.ts";
import type { ServerHoldOffs } from "./server_hold_off.ts";

/** Dependencies of the timers. */
export interface HoldOffTimersOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  readonly holdOffs: ServerHoldOffs;
  /** Called when a server's pause is over. */
  readonly onEnd: () => void;
}

/** One timer per server with a pause, by its name. */
export class HoldOffTimers {
  readonly #options: HoldOffTimersOptions;
  /** When the timers fire by server, on the monotonic clock in ms. */
  readonly #firesAtMs = new Map<string, number>();

  private constructor(options: HoldOffTimersOptions) {
    this.#options = options;
  }

  /** Starts without timers. */
  static create(options: HoldOffTimersOptions): HoldOffTimers {
    return new HoldOffTimers(options);
  }

  /** Reports the end of a server's pause, which is now at `untilMs`. */
  start(server: RegisteredServer, untilMs: number): void {
    const firesAtMs = this.#firesAtMs.get(server.name) ?? Infinity;
    if (untilMs < firesAtMs) this.#notifyAfterHoldOff(server);
  }

  #notifyAfterHoldOff(server: RegisteredServer): void {
    const { now, holdOffs, onEnd } = this.#options;
    const untilMs = holdOffs.untilMs(server);
    this.#firesAtMs.delete(server.name);
    if (untilMs === undefined) return onEnd();
    this.#firesAtMs.set(server.name, untilMs);
    setTimeout(() => this.#notifyAfterHoldOff(server), untilMs - now())
      .unref();
  }
}
