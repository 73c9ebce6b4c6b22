/** One soak of a seed: load, faults, checks, and the recovery after the last fault. */

import { setTimeout as sleep } from "node:timers/promises";
import {
  createFaultSchedule,
  type Fault,
  FaultKind,
} from "./fault_schedule.ts";
import { SoakCallers } from "./soak_callers.ts";
import {
  type CallerRecord,
  checkObservations,
  isEntryUnaffected,
  type Run,
  type SoakFinding,
  SoakRequestKind,
} from "./soak_checks.ts";
import { SoakCluster, type SoakSize } from "./soak_cluster.ts";
import { keyOfVersion } from "./soak_deployment.ts";

/** What a soak is made of. */
export interface SoakOptions extends SoakSize {
  readonly seed: number;
  /** Time in which faults begin, in ms. */
  readonly durationMs: number;
  /** Faults to play in place of the seed's, for cases of their own. */
  readonly faults?: readonly Fault[];
}

/** What a soak found. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly findings: readonly SoakFinding[];
  /** Requests by sort and status. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly runs: number;
  /** Lines of the entries' logs. */
  readonly logs: readonly string[];
}

/** Time for processes to find each other before faults begin, in ms. */
const WARM_UP_MS = 4_500;
/** Time in which an accepted configuration is in force, in ms (`configApplyMs`). */
const APPLY_MS = 2_000;
/** Time after the last fault in which everything has to be served again, in ms. */
const RECOVER_MS = 5_000;
const RECOVERY_REQUESTS = 5;

/** Plays one soak; all its processes have ended when it resolves. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const cluster = await SoakCluster.create(options);
  const callers = SoakCallers.create(cluster);
  try {
    const faults = options.faults ?? createFaultSchedule(options);
    const findings: SoakFinding[] = [];
    await sleep(WARM_UP_MS);
    callers.start();
    const startMs = Date.now();
    await Promise.all(faults.map(async (fault) => {
      await sleep(Math.max(0, startMs + fault.atMs - Date.now()));
      await cluster.injectFault(fault);
      if (fault.kind !== FaultKind.Configuration) return;
      findings.push(...await checkVersion(cluster, callers));
    }));
    await sleep(RECOVER_MS);
    await callers.close();
    findings.push(...await checkRecovery(cluster, callers));
    const ended = cluster.unexpectedlyExitedEntries();
    findings.push(...ended.map((detail) => ({ rule: "ended", detail })));
    // Lines of runs are still on their way from the servers.
    await sleep(200);
    const runs = cluster.runLines().map(parseRun);
    const { records } = callers;
    const { faultWindows: spans, drains: leavings } = cluster;
    findings.push(
      ...checkObservations({
        records,
        runs,
        faultWindows: spans,
        drains: leavings,
      }),
    );
    return {
      seed: options.seed,
      faults,
      findings,
      statuses: countStatuses(records),
      runs: runs.length,
      logs: cluster.entryLogs(),
    };
  } finally {
    await callers.close();
    await cluster.close();
  }
}

/** Checks that the newest version is in force at each entry that is in touch. */
async function checkVersion(
  cluster: SoakCluster,
  callers: SoakCallers,
): Promise<readonly SoakFinding[]> {
  const accepted = cluster.versions.at(-1);
  if (accepted === undefined) return [];
  const { version, acceptedMs } = accepted;
  await sleep(APPLY_MS + acceptedMs - Date.now());
  const findings: SoakFinding[] = [];
  await Promise.all(cluster.entries.map(async (entry) => {
    const sentMs = Date.now();
    const read = (of: number) =>
      callers.send({
        kind: SoakRequestKind.Read,
        entry,
        key: keyOfVersion(of),
      });
    const dropped = await read(version - 2);
    const added = await read(version);
    const newest = cluster.versions.at(-1)?.version ?? version;
    const touch = {
      entry: entry.index,
      fromMs: acceptedMs,
      toMs: Date.now(),
    };
    if (!isEntryUnaffected(cluster.faultWindows, touch)) return;
    const report = (detail: string) => {
      const place = `version ${version} at entry ${entry.index}`;
      const afterMs = sentMs - acceptedMs;
      findings.push({
        rule: "config",
        detail: `${place}: ${detail} ${afterMs} ms after`,
      });
    };
    if (dropped.status !== 401) report(`dropped key got ${dropped.status}`);
    if (added.status === 401 && newest <= version + 1) {
      report("new key was refused");
    }
  }));
  return findings;
}

/** Checks that every entry serves every sort of request again. */
async function checkRecovery(
  cluster: SoakCluster,
  callers: SoakCallers,
): Promise<readonly SoakFinding[]> {
  const records: CallerRecord[] = [];
  for (let round = 0; round < RECOVERY_REQUESTS; round++) {
    for (const sort of Object.values(SoakRequestKind)) {
      const sent = cluster.entries.map((entry) =>
        callers.send({ kind: sort, entry, key: cluster.key })
      );
      records.push(...await Promise.all(sent));
    }
  }
  return records.filter(({ status }) => status !== 200).map((record) => ({
    rule: "recover",
    detail: `${record.kind} at entry ${record.entry} got ${record.status}`,
  }));
}

function parseRun(line: string): Run {
  const [atMs, server = "", id = ""] = line.split(" ");
  return { atMs: Number(atMs), server, id };
}

function countStatuses(
  records: readonly CallerRecord[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { kind: sort, status } of records) {
    const name = `${sort} ${status}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
