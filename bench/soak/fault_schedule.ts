/** Series of faults that a seed decides: several at once, one after the other. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ProxyFault } from "./fault_proxy.ts";

/** What is done from outside to the processes. */
export enum FaultKind {
  /** A proxy before a backend server misbehaves. */
  ServerLink = "server_link",
  /** A proxy between one entry and the store misbehaves. */
  StoreLink = "store_link",
  /** The store can't be used by any entry. */
  StoreOutage = "store_away",
  /** The store forgets its history. */
  StoreHistoryLoss = "store_forgets",
  ServerKill = "server_kill",
  ServerPause = "server_pause",
  /** The server says that it leaves, serves on, and ends. */
  ServerDrain = "server_drain",
  EntryKill = "entry_kill",
  EntryPause = "entry_pause",
  /** A planned stop and a new start. */
  EntryRestart = "entry_restart",
  /** The operator publishes a configuration with another key. */
  Configuration = "configuration",
}

/** One fault of a series. */
export interface Fault {
  readonly kind: FaultKind;
  /** From the start of the series, in ms. */
  readonly atMs: number;
  readonly forMs: number;
  /** Index of the process it concerns, among those of its sort. */
  readonly target: number;
  /** What a proxy does, where one is concerned. */
  readonly proxy: ProxyFault;
}

/** Bounds of a series. */
export interface FaultScheduleOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly entries: number;
  readonly servers: number;
}

const KINDS = Object.values(FaultKind);
const PROXY_FAULTS = Object.values(ProxyFault)
  .filter((fault) => fault !== ProxyFault.None);
/** Series that run beside each other, so that faults overlap. */
const SERIES = 3;
const PAUSE_MIN_MS = 200;
const PAUSE_MAX_MS = 1_500;
const FAULT_MIN_MS = 300;
const FAULT_MAX_MS = 2_500;

/** Returns the faults of a seed, the earliest first. */
export function createFaultSchedule(
  options: FaultScheduleOptions,
): readonly Fault[] {
  const generator = xoroshiro128plus(options.seed);
  const draw = (from: number, to: number) => uniformInt(generator, from, to);
  const pick = <Value>(values: readonly Value[]): Value =>
    values[draw(0, values.length - 1)] as Value;
  const faults: Fault[] = [];
  for (let series = 0; series < SERIES; series++) {
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
