/** Fault schedules: a seed determines several overlapping series of faults. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ProxyFault } from "./fault_proxy.ts";

/** A fault, or planned work, that acts on the processes or their links. */
export enum FaultKind {
  /** Network fault between the entries and one backend server. */
  ServerLink = "server_link",
  /** Network fault between one entry and the store. */
  StoreLink = "store_link",
  /** Network fault between all entries and the store. */
  StoreOutage = "store_away",
  /** The store loses its history of changes. */
  StoreHistoryLoss = "store_forgets",
  /** Entries of another writer that name no server are in the server list. */
  StoreInvalidServers = "store_odd_servers",
  ServerKill = "server_kill",
  ServerPause = "server_pause",
  /** A healthy server sends nothing for 1 to 1.5 s. */
  ServerSilence = "server_silence",
  /** The server is listed as draining, serves for a while, and is killed. */
  ServerDrain = "server_drain",
  /** Like a drain, but the server is removed from the list at once. */
  ServerLeave = "server_leave",
  /** A server refuses calls and repeats each refusal before its next response. */
  ServerRepeatedRefusal = "server_repeated_refusal",
  /** Response heads of the server don't end. */
  ServerEndlessHead = "server_endless_head",
  /** Response bodies of the server don't end. */
  ServerEndlessBody = "server_endless_body",
  /** The server sends a part of each response without a length, and resets. */
  ServerResetPart = "server_reset_part",
  /** Network fault on the links that other entries have opened to one entry. */
  EntryLink = "entry_link",
  /** Network fault on all links between entries. */
  AllEntryLinks = "all_entry_links",
  EntryKill = "entry_kill",
  EntryPause = "entry_pause",
  /** Graceful shutdown and restart. */
  EntryRestart = "entry_restart",
  /** Like a restart, with a second SIGTERM while the first is handled. */
  EntrySecondTerm = "entry_second_term",
  /** Two restarts; the second SIGTERM follows right after the start. */
  EntryEarlyTerm = "entry_early_term",
  /**
   * The grace period changes; the settings file is written again, and SIGHUP
   * sent, several times.
   */
  EntryHangup = "entry_hangup",
  /** A configuration with a new bearer key is published. */
  Configuration = "configuration",
  /** Several configurations are published within a second. */
  ConfigurationBurst = "configuration_burst",
  /** Requests come that crash each server that begins to answer them. */
  DeadlyPart = "deadly_part",
  /** The server turns all requests away and asks for a pause. */
  ServerHoldOff = "server_hold_off",
  /** A server crashed by itself; not scheduled. */
  ServerCrash = "server_crash",
}

/** Work that the operator plans, and behavior of healthy servers. */
export const PLANNED_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.StoreInvalidServers,
  FaultKind.ServerSilence,
  FaultKind.ServerDrain,
  FaultKind.ServerLeave,
  FaultKind.EntryRestart,
  FaultKind.EntrySecondTerm,
  FaultKind.EntryEarlyTerm,
  FaultKind.EntryHangup,
  FaultKind.Configuration,
  FaultKind.ConfigurationBurst,
]);

/** Graceful shutdowns of an entry. */
export const PLANNED_STOP_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.EntryRestart,
  FaultKind.EntrySecondTerm,
  FaultKind.EntryEarlyTerm,
]);

/** How the faults of a schedule follow each other. */
export enum SchedulePattern {
  /** One fault of any kind after the other. */
  Single = "single",
  /** Faults of one kind in quick succession, on several processes. */
  Series = "series",
  /** Several series of all kinds at a time. */
  Overlap = "overlap",
  /** Several series of planned work at a time. */
  Planned = "planned",
  /** Planned work of one kind in quick succession. */
  PlannedSeries = "planned_series",
  /** Two deadly parts in turn, beside single faults of all other kinds. */
  DeadlyPart = "deadly_part",
  /** Servers that ask for pauses, beside single faults of all other kinds. */
  HoldOff = "hold_off",
  /** Planned stops, SIGHUP and configurations, beside slow request bodies. */
  SlowBodies = "slow_bodies",
  /** Links between entries fail, and the store is away from some for long. */
  Links = "links",
  /** Servers that reset after a part, beside single faults of all other kinds. */
  ResetParts = "reset_parts",
  /** All entries are killed at once, beside single faults of all other kinds. */
  AllKilled = "all_killed",
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
  /** The seed chooses one by default. */
  readonly pattern?: SchedulePattern;
}

/** Kinds and pauses of one series of faults. */
interface Series {
  readonly kinds: readonly FaultKind[];
  readonly stepMaxMs: number;
  readonly pauseMaxMs: number;
  /** Least and longest duration in place of those of the kinds, in ms. */
  readonly durationRangeMs?: readonly [number, number];
  /** Whether a fault of entries acts on all of them at once. */
  readonly actsOnAll?: boolean;
}

/** Kinds that only patterns of their own play, so that seeds stay the same. */
const UNDRAWN_KINDS = new Set([
  FaultKind.DeadlyPart,
  FaultKind.ServerHoldOff,
  FaultKind.ServerCrash,
  FaultKind.ServerResetPart,
  FaultKind.EntryLink,
  FaultKind.AllEntryLinks,
]);
const UNDRAWN_PATTERNS = new Set([
  SchedulePattern.DeadlyPart,
  SchedulePattern.HoldOff,
  SchedulePattern.SlowBodies,
  SchedulePattern.Links,
  SchedulePattern.AllKilled,
  SchedulePattern.ResetParts,
]);
const KINDS = Object.values(FaultKind)
  .filter((kind) => !UNDRAWN_KINDS.has(kind));
/** Patterns that a seed may choose. */
const DRAWN_PATTERNS = Object.values(SchedulePattern)
  .filter((pattern) => !UNDRAWN_PATTERNS.has(pattern));
const PLANNED = [...PLANNED_KINDS];
const CONFIGURATIONS = [FaultKind.Configuration, FaultKind.ConfigurationBurst];
const PROXY_FAULTS = Object.values(ProxyFault)
  .filter((fault) => fault !== ProxyFault.None);
/** Number of concurrent series, so that faults overlap. */
const SERIES_COUNT = 3;
const PAUSE_MIN_MS = 200;
const PAUSE_MAX_MS = 1_500;
const FAULT_MIN_MS = 300;
const FAULT_MAX_MS = 2_500;
/** Longest time between two starts in a quick series is twice this, in ms. */
const QUICK_MAX_MS = 500;
/** Long enough for five crashes, and for harmless requests after them. */
const DEADLY_PART_MIN_MS = 10_000;
const DEADLY_PART_MAX_MS = 12_000;
const LINK_FAULTS = [
  FaultKind.EntryLink,
  FaultKind.AllEntryLinks,
  FaultKind.EntryPause,
];
/** Longer than `CONTACT_MS`, so that entries are bound in between, in ms. */
const LINKS_PAUSE_MS = 8_000;
/** Longer than a change may take for an entry that the store turns away. */
const STORE_AWAY_MS = [5_000, 10_000] as const;
const SILENCE_MIN_MS = 1_000;
const SILENCE_MAX_MS = 1_500;

/** Returns the faults of a seed in order of their start. */
export function createFaultSchedule(
  options: FaultScheduleOptions,
): readonly Fault[] {
  const random = xoroshiro128plus(options.seed);
  const draw = (from: number, to: number) => uniformInt(random, from, to);
  const pick = <Value>(values: readonly Value[]): Value =>
    values[draw(0, values.length - 1)] as Value;
  const drawnPattern = pick(DRAWN_PATTERNS);
  const faults: Fault[] = [];
  const series = createSeries(options.pattern ?? drawnPattern, pick);
  for (const { kinds, stepMaxMs, pauseMaxMs, ...rest } of series) {
    let atMs = draw(0, PAUSE_MAX_MS);
    while (atMs < options.durationMs) {
      const kind = pick(kinds);
      const isEntry = kind.startsWith("entry") || kind === FaultKind.StoreLink;
      const count = isEntry ? options.entries : options.servers;
      const [minMs, maxMs] = rest.durationRangeMs ?? durationRangeMs(kind);
      const forMs = draw(minMs, maxMs);
      const target = draw(0, count - 1);
      const proxy = pick(PROXY_FAULTS);
      const targets = rest.actsOnAll === true ? range(count) : [target];
      faults.push(
        ...targets.map((at) => ({ kind, atMs, forMs, target: at, proxy })),
      );
      atMs += Math.min(forMs, stepMaxMs) + draw(PAUSE_MIN_MS, pauseMaxMs);
    }
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

function range(count: number): readonly number[] {
  return Array.from({ length: count }, (_, at) => at);
}

function durationRangeMs(kind: FaultKind): readonly [number, number] {
  switch (kind) {
    case FaultKind.ServerSilence:
      return [SILENCE_MIN_MS, SILENCE_MAX_MS];
    case FaultKind.DeadlyPart:
      return [DEADLY_PART_MIN_MS, DEADLY_PART_MAX_MS];
    default:
      return [FAULT_MIN_MS, FAULT_MAX_MS];
  }
}

function createSeries(
  pattern: SchedulePattern,
  pick: <Value>(values: readonly Value[]) => Value,
): readonly Series[] {
  const slow = { stepMaxMs: Infinity, pauseMaxMs: PAUSE_MAX_MS };
  const quick = { stepMaxMs: QUICK_MAX_MS, pauseMaxMs: QUICK_MAX_MS };
  const beside = { kinds: CONFIGURATIONS, ...pick([slow, quick]) };
  switch (pattern) {
    case SchedulePattern.Single:
      return [{ kinds: KINDS, ...slow }];
    case SchedulePattern.Series:
      return [{ kinds: [pick(KINDS)], ...quick }, beside];
    case SchedulePattern.Overlap:
      return Array(SERIES_COUNT).fill({ kinds: KINDS, ...slow });
    case SchedulePattern.Planned:
      return [...Array(SERIES_COUNT).fill({ kinds: PLANNED, ...slow }), beside];
    case SchedulePattern.PlannedSeries:
      return [{ kinds: [pick(PLANNED)], ...quick }, beside];
    case SchedulePattern.DeadlyPart:
      return [
        { kinds: [FaultKind.DeadlyPart], ...slow },
        { kinds: KINDS, ...slow },
      ];
    case SchedulePattern.HoldOff:
      return [
        { kinds: [FaultKind.ServerHoldOff], ...quick },
        { kinds: KINDS, ...slow },
      ];
    case SchedulePattern.ResetParts:
      return [
        { kinds: [FaultKind.ServerResetPart], ...quick },
        { kinds: KINDS, ...slow },
      ];
    case SchedulePattern.SlowBodies:
      return [
        { kinds: [...PLANNED_STOP_KINDS], ...slow },
        { kinds: [FaultKind.EntryHangup], ...slow },
        beside,
      ];
    case SchedulePattern.Links:
      return [
        { kinds: LINK_FAULTS, stepMaxMs: Infinity, pauseMaxMs: LINKS_PAUSE_MS },
        {
          kinds: [FaultKind.StoreLink],
          ...slow,
          durationRangeMs: STORE_AWAY_MS,
        },
        {
          kinds: [FaultKind.StoreLink],
          ...slow,
          durationRangeMs: STORE_AWAY_MS,
        },
        { kinds: CONFIGURATIONS, ...slow },
      ];
    case SchedulePattern.AllKilled:
      return [
        { kinds: [FaultKind.EntryKill], ...slow, actsOnAll: true },
        { kinds: KINDS, ...slow },
      ];
  }
}
