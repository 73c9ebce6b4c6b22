/**
 * Watches servers that sent nothing in time. A healthy server may be silent for
 * a second, so it is only avoided while it is silent; one that stays silent
 * counts as unresponsive and is reported to peers.
 */

import {
  isRestarted,
  type ServerReport,
} from "../connection/backend_report.ts";
import { HoldOffRequested } from "../errors.ts";
import type { RegisteredServer } from "./registered_server.ts";
import type { RegisteredServers } from "./registered_servers.ts";
import { ServerFailure } from "./server_ejection.ts";
import type { ServerReports } from "../health/server_reports.ts";

/** Interval at which a silent server's report is fetched, in ms. */
const CHECK_INTERVAL_MS = 400;
/** Consecutive missing reports after which a server is unresponsive. */
const UNRESPONSIVE_CHECKS = 3;
/** Reports after which a server is no longer watched. */
const CHECKS_MAX = 10;

/** What a silent server's next report means. */
export enum SilenceVerdict {
  Silent = "silent",
  /** Silent for so long that it is reported to peers. */
  Unresponsive = "dark",
  /** The server responded. */
  Healthy = "healthy",
  /** Another process responded. */
  Replaced = "replaced",
}

/**
 * Classifies a silent server by its report.
 *
 * @param checks reports fetched during the silence, with this one
 * @param response absent if there was none in time; plain servers have no report
 */
export function classifySilence(
  { server, checks, response }: {
    readonly server: RegisteredServer;
    readonly checks: number;
    readonly response?: { readonly report: ServerReport | undefined };
  },
): SilenceVerdict {
  if (response === undefined) {
    return checks < UNRESPONSIVE_CHECKS
      ? SilenceVerdict.Silent
      : SilenceVerdict.Unresponsive;
  }
  return isRestarted(response.report, server)
    ? SilenceVerdict.Replaced
    : SilenceVerdict.Healthy;
}

/** The silent servers of one entry. */
export class SilentServers {
  readonly #servers: RegisteredServers;
  readonly #reports: ServerReports;
  /** Names of the servers that are watched. */
  readonly #watched = new Set<string>();

  private constructor(servers: RegisteredServers, reports: ServerReports) {
    this.#servers = servers;
    this.#reports = reports;
  }

  /** Watches no server yet. */
  static create(
    servers: RegisteredServers,
    reports: ServerReports,
  ): SilentServers {
    return new SilentServers(servers, reports);
  }

  /** Ejects a silent server until it responds or is active again. */
  watch(server: RegisteredServer): void {
    const { name } = server;
    this.#servers.eject(name, ServerFailure.Silent);
    if (this.#watched.has(name)) return;
    this.#watched.add(name);
    this.#scheduleCheck(server, 1);
  }

  #scheduleCheck(server: RegisteredServer, checks: number): void {
    setTimeout(async () => {
      // No report may be fetched during a pause, so this is no check.
      if (this.#servers.isHeldOff(server)) {
        return this.#scheduleCheck(server, checks);
      }
      if (await this.#isStillSilent(server, checks) && checks < CHECKS_MAX) {
        this.#scheduleCheck(server, checks + 1);
      } else this.#watched.delete(server.name);
    }, CHECK_INTERVAL_MS).unref();
  }

  async #isStillSilent(
    server: RegisteredServer,
    checks: number,
  ): Promise<boolean> {
    const { name } = server;
    if (!this.#servers.isSilent(name)) return false;
    const response = await this.#reports.fetch(server).then(
      (report) => ({ report }),
      (error: unknown) =>
        // A server that asks for a pause is not silent.
        error instanceof HoldOffRequested ? { report: undefined } : undefined,
    );
    if (!this.#servers.isSilent(name)) return false;
    const verdict = classifySilence({
      server,
      checks,
      ...(response === undefined ? {} : { response }),
    });
    switch (verdict) {
      case SilenceVerdict.Silent:
        this.#servers.eject(name, ServerFailure.Silent);
        return true;
      case SilenceVerdict.Unresponsive:
        if (checks === UNRESPONSIVE_CHECKS) {
          this.#servers.eject(name, ServerFailure.Unresponsive);
        }
        return true;
      case SilenceVerdict.Healthy:
        this.#servers.reinstate(name);
        return false;
      case SilenceVerdict.Replaced:
        this.#servers.eject(name, ServerFailure.Replaced);
        return false;
    }
  }
}
