/** Checks of a soak with requests that have a part which crashes servers. */

import {
  type CallerRecord,
  CONTACT_MS,
  isEntryUnaffected,
  type Run,
  type SoakFinding,
  type SoakObservations,
  SoakRequestKind,
} from "./soak_checks.ts";

/** Crashes after which requests with the part must be refused (BUDGET). */
const CRASHES_MIN = 5;
/** Requests with the part that may run later than `CONTACT_MS` after that. */
const LATE_RUNS_MAX = 3;
/** Harmless requests from which their share is judged (LOST). */
const HARMLESS_MIN = 20;
const HARMLESS_SHARE_MIN = 0.5;
const NOT_RUN = 503;

/** Returns the violated guarantees of requests with deadly parts. */
export function checkDeadlyParts(
  observations: SoakObservations,
): readonly SoakFinding[] {
  const parts = new Set(
    observations.records.flatMap(({ deadlyPart }) => deadlyPart ?? []),
  );
  return [...parts].flatMap((part) => checkPart(part, observations));
}

function checkPart(
  part: string,
  { records, runs, faultWindows }: SoakObservations,
): readonly SoakFinding[] {
  const byId = new Map(
    records.filter(({ deadlyPart }) => deadlyPart === part)
      .map((record) => [record.id, record]),
  );
  const deadlyRuns = runs.filter(({ id }) => byId.has(id))
    .toSorted((a, b) => a.atMs - b.atMs);
  const findings = [...byId.values()].flatMap((record) =>
    checkRefusal(record, deadlyRuns)
  );
  // Each run of such a request crashes its server.
  const fifthMs = deadlyRuns[CRASHES_MIN - 1]?.atMs;
  if (fifthMs === undefined) return findings;
  const lateRuns = deadlyRuns.filter(({ id, atMs }) => {
    const { entry = -1, startMs = 0 } = byId.get(id) ?? {};
    const period = { entry, fromMs: Math.min(startMs, atMs), toMs: atMs };
    return atMs > fifthMs + CONTACT_MS &&
      isEntryUnaffected(faultWindows, period);
  });
  if (lateRuns.length > LATE_RUNS_MAX) {
    const afterMs = lateRuns.map(({ atMs }) => atMs - fifthMs).join(", ");
    const detail = `requests with ${part} ran ${afterMs} ms after the fifth ` +
      "crash";
    findings.push({ rule: "budget", detail });
  }
  const lastMs = Math.max(...[...byId.values()].map(({ startMs }) => startMs));
  const harmless = records.filter((
    { kind, deadlyPart, entry, startMs, endMs },
  ) =>
    kind === SoakRequestKind.Stream && deadlyPart === undefined &&
    startMs > fifthMs + 2 * CONTACT_MS && startMs < lastMs &&
    isEntryUnaffected(faultWindows, { entry, fromMs: startMs, toMs: endMs })
  );
  const refused = harmless.filter(({ status }) => status === NOT_RUN);
  const isServed = refused.length <= harmless.length * HARMLESS_SHARE_MIN;
  if (harmless.length >= HARMLESS_MIN && !isServed) {
    const detail =
      `${refused.length} of ${harmless.length} harmless streams were ` +
      `refused beside ${part}`;
    findings.push({ rule: "lost", detail });
  }
  return findings;
}

function checkRefusal(
  { id, entry, status }: CallerRecord,
  runs: readonly Run[],
): SoakFinding[] {
  const hasRun = runs.some((run) => run.id === id);
  if (status !== NOT_RUN || !hasRun) return [];
  const detail = `${id} at entry ${entry}: refused as not run, but it ran`;
  return [{ rule: "refused", detail }];
}
