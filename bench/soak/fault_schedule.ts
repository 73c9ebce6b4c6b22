/** Fault schedules: a seed determines several overlapping series of faults. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ProxyFault } from "./fault_proxy.ts";

/** A fault that is injected into the processes or their links. */
export enum FaultKind {
  /** Network fault between the entries and one backend server. */
  ServerLink = "server_link",
  /** Network fault between one entry and the store. */
  StoreLink = "store_link",
  /** Network fault between all entries and the store. */
  StoreOutage = "store_away",
  /** The store loses its history of changes. */
  StoreHistoryLoss = "store_forgets",
  ServerKill = "server_kill",
  ServerPause = "server_pause",
  /** The server is listed as draining, serves for a while, and is killed. */
  ServerDrain = "server_drain",
  EntryKill = "entry_kill",
  EntryPause = "entry_pause",
  /** Graceful shutdown and restart. */
  EntryRestart = "entry_restart",
  /** A configuration with a new bearer key is published. */
  Configuration = "configuration",
}

/** One fault of a schedule. */
export interface Fault {
  readonly kind: FaultKind;
  /** Time from the start of the schedule, in ms. */
  readonly atMs: number;
  /** Duration, in ms; only for network faults and pauses. */
  readonly forMs: number;
  /** Index of the affected process among the entries or backend servers. */
  readonly target: number;
  /** Fault that the proxy injects; only for network faults. */
  readonly proxy: ProxyFault;
}

/** What determines a schedule. */
export interface FaultScheduleOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly entries: number;
  readonly servers: number;
}

const KINDS = Object.values(FaultKind);
const PROXY_FAULTS = Object.values(ProxyFault)
  .filter((fault) => fault !== ProxyFault.None);
/** Number of concurrent series, so that faults overlap. */
const SERIES_COUNT = 3;
const PAUSE_MIN_MS = 200;
const PAUSE_MAX_MS = 1_500;
const FAULT_MIN_MS = 300;
const FAULT_MAX_MS = 2_500;

/** Returns the faults of a seed in order of their start. */
export function createFaultSchedule(
  options: FaultScheduleOptions,
): readonly Fault[] {
  const random = xoroshiro128plus(options.seed);
  const draw = (from: number, to: number) => uniformInt(random, from, to);
  const pick = <Value>(values: readonly Value[]): Value =>
    values[draw(0, values.length - 1)] as Value;
  const faults: Fault[] = [];
  for (let series = 0; series < SERIES_COUNT; series++) {
    let atMs = draw(0, PAUSE_MAX_MS);
    while (atMs < options.durationMs) {
      const kind = pick(KINDS);
      const isEntry = kind.startsWith("entry") || kind === FaultKind.StoreLink;
      const count = isEntry ? options.entries : options.servers;
      const forMs = draw(FAULT_MIN_MS, FAULT_MAX_MS);
      const target = draw(0, count - 1);
      faults.push({ kind, atMs, forMs, target, proxy: pick(PROXY_FAULTS) });
      atMs += forMs + draw(PAUSE_MIN_MS, PAUSE_MAX_MS);
    }
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}
