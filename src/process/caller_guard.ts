/** What protects one process from callers that don't behave. */

import { Counter, Gauge, type Registry } from "prom-client";
import { CallerAccount } from "../admission/caller_account.ts";
import {
  type CallerLimits,
  callerLimits,
  type MachineSize,
} from "../admission/caller_limits.ts";
import { ReadingTurns } from "../admission/reading_turns.ts";
import { ShedReports } from "../admission/shed_reports.ts";
import { CallerLoad } from "../connection/caller_load.ts";
import type { Log } from "./log.ts";

/** What was shed, as metrics and logs name it. */
export enum Shed {
  /** A request, or a connection, that held too much. */
  Held = "held",
  /** A connection of a caller, to make room for another one. */
  Connection = "connection",
  /** The same of a probe. */
  Probe = "probe",
  /** The same at the port for peers. */
  Peer = "peer",
}

/** Dependencies of `CallerGuard`. */
export interface CallerGuardOptions {
  readonly machine: MachineSize;
  readonly registry: Registry;
  readonly log: Log;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

/** The limits of one process, its account of callers, and their reports. */
export class CallerGuard {
  readonly limits: CallerLimits;
  /** Meters the callers of servers. */
  readonly load: CallerLoad;
  readonly #reports: ShedReports;

  private constructor(
    { machine, registry, log, now }: CallerGuardOptions,
  ) {
    this.limits = callerLimits(machine);
    const shedCallers = new Counter({
      name: "gypsumridge_shed_callers_total",
      help: "Requests refused and connections closed to stay within limits",
      labelNames: ["what"],
      registers: [registry],
    });
    this.#reports = ShedReports.create({
      log,
      onShed: (what) => shedCallers.inc({ what }),
    });
    const account = CallerAccount.create({
      maxBytes: this.limits.heldBytes,
      now,
    });
    new Gauge({
      name: "gypsumridge_caller_bytes",
      help: "Memory that callers hold, as it is limited",
      registers: [registry],
      collect() {
        this.set(account.totalBytes);
      },
    });
    this.load = CallerLoad.create({
      account,
      turns: ReadingTurns.create(now),
      now,
      onYield: () => this.record(Shed.Held),
    });
  }

  /** Starts without callers. */
  static create(options: CallerGuardOptions): CallerGuard {
    return new CallerGuard(options);
  }

  /** Records what was shed. */
  record(what: Shed): void {
    this.#reports.record(what);
  }

  /** Stops the reports. */
  close(): void {
    this.#reports.close();
  }
}
