/** Runs a soak test: load, faults, checks and recovery after the last fault. */

import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { DEADLY_PART_PREFIX } from "../../standins/deadly_part.ts";
import {
  createFaultSchedule,
  type Fault,
  FaultKind,
  PLANNED_STOP_KINDS,
  SchedulePattern,
} from "./fault_schedule.ts";
import { SoakCallers } from "./soak_callers.ts";
import {
  type CallerRecord,
  checkObservations,
  isEntryInTouch,
  isEntryUnaffected,
  RequestEnd,
  type Run,
  type SoakFinding,
  SoakRequestKind,
} from "./soak_checks.ts";
import {
  type AcceptedVersion,
  SoakCluster,
  type SoakSize,
} from "./soak_cluster.ts";
import { keyOfVersion, STEADY_KEY } from "./soak_deployment.ts";

/** Size and faults of a soak. */
export interface SoakOptions extends SoakSize {
  readonly seed: number;
  /** Period in which faults start, in ms. */
  readonly durationMs: number;
  /** Number of concurrent callers of each request kind. */
  readonly callers?: number;
  /** Pattern of the faults; the seed chooses one by default. */
  readonly pattern?: SchedulePattern;
  /** Faults to inject instead of the seed's. */
  readonly faults?: readonly Fault[];
}

/** Result of a soak. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly findings: readonly SoakFinding[];
  /** Number of requests by kind and status, or by how they ended. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly runs: number;
  /** Number of kept connections that entries closed while they were idle. */
  readonly idleCloses: number;
  /**
   * Longest delay of the soak's own event loop, in ms, by which proxies and
   * callers may have been late.
   */
  readonly ownDelayMaxMs: number;
  /** Log lines of the entries. */
  readonly logs: readonly string[];
}

/** Time for processes to discover each other before the first fault, in ms. */
const WARM_UP_MS = 4_500;
/** Bound on applying an acknowledged configuration, in ms (`configApplyMs`). */
const CONFIG_APPLY_MAX_MS = 2_000;
/**
 * Bound on applying it at an entry that the store turns away, in ms
 * (`configApplyMs` and `partitionMs`).
 */
const PARTITION_APPLY_MAX_MS = 7_000;
/** Bound on full recovery after the last fault, in ms. */
const RECOVERY_MAX_MS = 5_000;
const RECOVERY_REQUESTS = 5;
const CALLERS_PER_KIND = 6;
/** Number of concurrent callers with slow bodies of each request kind. */
const SLOW_CALLERS_PER_KIND = 30;
const NS_PER_MS = 1_000_000;

const PUBLISHING_KINDS = new Set([
  FaultKind.Configuration,
  FaultKind.ConfigurationBurst,
]);

/** Runs a soak; resolves after all its processes have been killed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const hasSlowBodies = options.pattern === SchedulePattern.SlowBodies;
  const cluster = await SoakCluster.create({
    ...options,
    random: createRandom(options.seed),
    hasSlowBodies,
  });
  const callers = SoakCallers.create(cluster.entries, {
    perKind: options.callers ?? CALLERS_PER_KIND,
    // Not shared, since the callers' timing would change the configurations.
    random: createRandom(options.seed),
    slowPerKind: hasSlowBodies ? SLOW_CALLERS_PER_KIND : 0,
  });
  const ownDelay = monitorEventLoopDelay();
  try {
    const faults = options.faults ?? createFaultSchedule(options);
    const findings: SoakFinding[] = [];
    await sleep(WARM_UP_MS);
    ownDelay.enable();
    callers.start();
    const startMs = Date.now();
    await Promise.all(faults.map(async (fault) => {
      await sleep(Math.max(0, startMs + fault.atMs - Date.now()));
      if (fault.kind === FaultKind.DeadlyPart) {
        const deadlyPart = `${DEADLY_PART_PREFIX}${fault.atMs}`;
        return await callers.sendDeadly(deadlyPart, fault.forMs);
      }
      const stopped = hasSlowBodies && PLANNED_STOP_KINDS.has(fault.kind)
        ? cluster.entries[fault.target]
        : undefined;
      await Promise.all([
        stopped && callers.sendThroughStop(stopped),
        cluster.injectFault(fault),
      ]);
      if (!PUBLISHING_KINDS.has(fault.kind)) return;
      const checks = [checkVersion(cluster, callers)];
      if (options.pattern === SchedulePattern.Links) {
        checks.push(checkVersionWithoutStore(cluster, callers));
      }
      findings.push(...(await Promise.all(checks)).flat());
    }));
    await sleep(RECOVERY_MAX_MS);
    await callers.close();
    findings.push(...await checkRecovery(cluster, callers));
    findings.push(
      ...cluster.wrongExits().map((detail) => ({ rule: "ended", detail })),
    );
    // Waits for run lines that the servers' pipes still hold.
    await sleep(200);
    const runs = cluster.runLines().map((line) => parseRun(line, cluster));
    const { records, idleCloses } = callers;
    const { faultWindows, drains, heldOffArrivals } = cluster;
    findings.push(
      ...checkObservations({
        records,
        idleCloses,
        entryStops: cluster.entryStops(),
        runs,
        faultWindows,
        drains,
        heldOffArrivals,
      }),
    );
    return {
      seed: options.seed,
      faults,
      findings,
      statuses: countStatuses(records),
      runs: runs.length,
      idleCloses: idleCloses.length,
      ownDelayMaxMs: Math.round(ownDelay.max / NS_PER_MS),
      logs: cluster.entryLogs(),
    };
  } finally {
    ownDelay.disable();
    await callers.close();
    await cluster.close();
  }
}

/** Resolves with the newest version once the time to apply it has passed. */
async function waitUntilApplied(
  { versions }: SoakCluster,
  applyMaxMs: number,
): Promise<AcceptedVersion | undefined> {
  const newest = versions.at(-1);
  if (newest === undefined) return undefined;
  await sleep(applyMaxMs + newest.acceptedMs - Date.now());
  return newest;
}

/** Checks that each entry unaffected by faults applies the newest version. */
async function checkVersion(
  cluster: SoakCluster,
  callers: SoakCallers,
): Promise<readonly SoakFinding[]> {
  const accepted = await waitUntilApplied(cluster, CONFIG_APPLY_MAX_MS);
  if (accepted === undefined) return [];
  const { version, acceptedMs } = accepted;
  const findings: SoakFinding[] = [];
  await Promise.all(cluster.entries.map(async (entry) => {
    const sentMs = Date.now();
    const sendRead = (keyVersion: number) =>
      callers.send({
        kind: SoakRequestKind.Read,
        entry,
        key: keyOfVersion(keyVersion),
      });
    const withRemovedKey = await sendRead(version - 2);
    const withNewKey = await sendRead(version);
    const newest = cluster.versions.at(-1)?.version ?? version;
    const period = {
      entry: entry.index,
      fromMs: acceptedMs,
      toMs: Date.now(),
    };
    if (!isEntryUnaffected(cluster.faultWindows, period)) return;
    const report = (detail: string) => {
      const place = `version ${version} at entry ${entry.index}`;
      const afterMs = sentMs - acceptedMs;
      findings.push({
        rule: "config",
        detail: `${place}: ${detail} ${afterMs} ms after acknowledgement`,
      });
    };
    if (withRemovedKey.status !== 401) {
      report(`removed key got status ${withRemovedKey.status}`);
    }
    if (withNewKey.status === 401 && newest <= version + 1) {
      report("new key got status 401");
    }
  }));
  return findings;
}

/**
 * Checks that each entry applies the newest version by way of its peers, even if
 * the store is away from it, unless something else acted on it or its links.
 */
async function checkVersionWithoutStore(
  cluster: SoakCluster,
  callers: SoakCallers,
): Promise<readonly SoakFinding[]> {
  const accepted = await waitUntilApplied(cluster, PARTITION_APPLY_MAX_MS);
  if (accepted === undefined) return [];
  const { version, acceptedMs } = accepted;
  const findings: SoakFinding[] = [];
  await Promise.all(cluster.entries.map(async (entry) => {
    const sentMs = Date.now();
    const { status } = await callers.send({
      kind: SoakRequestKind.Read,
      entry,
      key: keyOfVersion(version - 2),
    });
    const period = { entry: entry.index, fromMs: sentMs, toMs: Date.now() };
    if (!isEntryInTouch(cluster.faultWindows, period) || status === 401) return;
    findings.push({
      rule: "config",
      detail: `version ${version} at entry ${entry.index}, with the store ` +
        `away or not: removed key got status ${status} ` +
        `${sentMs - acceptedMs} ms after acknowledgement`,
    });
  }));
  return findings;
}

/** Checks that every entry serves every kind of request again. */
async function checkRecovery(
  cluster: SoakCluster,
  callers: SoakCallers,
): Promise<readonly SoakFinding[]> {
  const records: CallerRecord[] = [];
  for (let round = 0; round < RECOVERY_REQUESTS; round++) {
    for (const kind of Object.values(SoakRequestKind)) {
      const sent = cluster.entries.map((entry) =>
        callers.send({ kind, entry, key: STEADY_KEY })
      );
      records.push(...await Promise.all(sent));
    }
  }
  return records.filter(({ status }) => status !== 200).map((record) => ({
    rule: "recover",
    detail:
      `${record.kind} at entry ${record.entry} got status ${record.status}`,
  }));
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function parseRun(line: string, cluster: SoakCluster): Run {
  const [atMs, server = "", id = ""] = line.split(" ");
  const target = cluster.serverIndex(server);
  return { atMs: Number(atMs), server, target, id };
}

function countStatuses(
  records: readonly CallerRecord[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { kind, status, end } of records) {
    const name = `${kind} ${end === RequestEnd.Complete ? status : end}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
