/**
 * How much crashes of servers count against a cause, since a failure that servers
 * have in common crashes several at once.
 */

import type { CrashCause } from "../ids.ts";
import {
  type CrashedRun,
  isRequest,
  RunStage,
  type ServerCrash,
  SETTLE_MS,
  stageOf,
  suspectsOf,
} from "./crash_evidence.ts";

/** Crashes this close count once if their requests differ, in ms. */
const SIMULTANEOUS_MS = 50;
/** Servers of a zone that crash within `SETTLE_MS` if the zone itself fails. */
const ZONE_FAILURES_MIN = 3;
/** Time by which another entry's crash may seem to be later than it was, in ms. */
const REPORT_DELAY_MS = 10;
/** Weight of crashes that the cause is unlikely to explain. */
const WEAK_WEIGHT = 0.5;

/** A server crash with what its weight depends on. */
interface WeighedCrash {
  readonly crash: ServerCrash;
  readonly isZoneFailure: boolean;
  /** Whether its zone lost servers at that time that ran no such request. */
  readonly hasOthers: boolean;
}

/**
 * Crashes of zones in which several servers crashed at once, each with all
 * crashes of its zone at about that time.
 */
export type ZoneFailures = ReadonlyMap<ServerCrash, ReadonlySet<ServerCrash>>;

/** Returns the weight of the crashes with a cause that may have caused them. */
export function scoreCause(
  crashes: readonly ServerCrash[],
  cause: CrashCause,
): number {
  const sorted = crashes.toSorted((a, b) => a.atMs - b.atMs);
  const suspected = sorted.filter((crash) =>
    suspectsOf(crash).some(({ causes }) => causes.includes(cause))
  );
  return scoreOf(suspected, [cause], findZoneFailures(sorted));
}

/**
 * Returns the weight of crashes. Those at about the same time count once, since
 * a failure that servers have in common crashes them at once; but the crashes
 * of runs of one request that follow each other all count.
 */
export function scoreOf(
  crashes: readonly ServerCrash[],
  causes: readonly CrashCause[],
  zoneFailures: ZoneFailures,
): number {
  let score = 0;
  let group: WeighedCrash[] = [];
  for (const crash of crashes) {
    const zoneFailure = zoneFailures.get(crash);
    const isZoneFailure = zoneFailure !== undefined;
    const hasOthers = isZoneFailure && !haveRequest(zoneFailure, causes);
    const startMs = group[0]?.crash.atMs ?? -Infinity;
    const windowMs = isZoneFailure || !hasBegun(crash)
      ? SETTLE_MS
      : SIMULTANEOUS_MS;
    if (crash.atMs - startMs >= windowMs) {
      score += weightOf(group, causes);
      group = [];
    }
    group.push({ crash, isZoneFailure, hasOthers });
  }
  return score + weightOf(group, causes);
}

function weightOf(
  group: readonly WeighedCrash[],
  causes: readonly CrashCause[],
): number {
  if (group.length === 0) return 0;
  const inSequence = longestSequence(group, causes);
  if (inSequence > 1) return inSequence;
  return group.every(isWeak) ? WEAK_WEIGHT : 1;
}

/** A run that may have crashed its server, and the runs before it. */
interface SequenceItem extends WeighedCrash {
  readonly run: CrashedRun;
  /** Number of crashes up to this one. */
  readonly length: number;
}

/** Returns the most crashes that one request can have caused in sequence. */
function longestSequence(
  group: readonly WeighedCrash[],
  causes: readonly CrashCause[],
): number {
  const request = causes.find(isRequest);
  const items: SequenceItem[] = [];
  for (const weighed of group) {
    // A retry may run on another server of the zone before that fails too.
    if (weighed.isZoneFailure && request === undefined) continue;
    const added = suspectsOf(weighed.crash)
      .filter((run) => causes.some((cause) => run.causes.includes(cause)))
      .map((run) => {
        const lengths = items
          .filter((item) => isSuccessor({ ...weighed, run }, item))
          .map(({ length }) => length);
        return { ...weighed, run, length: 1 + Math.max(0, ...lengths) };
      });
    items.push(...added);
  }
  return Math.max(0, ...items.map(({ length }) => length));
}

/**
 * Whether a run is of the same request as one that ended with an earlier crash,
 * and began after it. A request runs on one server at a time; a repeat has
 * another id, and is equal to others that a failing zone has ended.
 */
function isSuccessor(
  { crash, hasOthers, run }: Omit<SequenceItem, "length">,
  former: SequenceItem,
): boolean {
  if (run.request === former.run.request) return true;
  if (hasOthers || former.hasOthers || run.ranMs === undefined) return false;
  return run.causes.some((cause) =>
    isRequest(cause) && former.run.causes.includes(cause)
  ) && crash.atMs - run.ranMs >= former.crash.atMs - REPORT_DELAY_MS;
}

/** Whether a request that is a cause ran on all of the servers. */
function haveRequest(
  crashes: ReadonlySet<ServerCrash>,
  causes: readonly CrashCause[],
): boolean {
  const request = causes.find(isRequest);
  if (request === undefined) return false;
  return [...crashes].every((crash) =>
    suspectsOf(crash).some((run) => run.causes.includes(request))
  );
}

function isWeak({ crash, isZoneFailure }: WeighedCrash): boolean {
  return stageOf(crash) === RunStage.Proven ||
    (isZoneFailure && !hasBegun(crash));
}

/** Whether a run on the server had just begun when it crashed. */
export function hasBegun(crash: ServerCrash): boolean {
  return stageOf(crash) === RunStage.Begun;
}

/** Returns the crashes of zones in which several servers crashed at once. */
export function findZoneFailures(sorted: readonly ServerCrash[]): ZoneFailures {
  const failures = new Map<ServerCrash, Set<ServerCrash>>();
  for (const crashes of groupBy(sorted, ({ zone }) => zone).values()) {
    for (const [at, first] of crashes.entries()) {
      const last = crashes[at + ZONE_FAILURES_MIN - 1];
      if (last === undefined) break;
      if (last.atMs - first.atMs >= SETTLE_MS) continue;
      const failed = crashes.slice(at, at + ZONE_FAILURES_MIN);
      for (const crash of failed) {
        const known = failures.get(crash) ?? [];
        failures.set(crash, new Set([...known, ...failed]));
      }
    }
  }
  return failures;
}

function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
