/**
 * Finds which requests, or parts of prompts, explain the crashes of servers.
 * Pure: the same evidence gives the same result at each entry.
 */

import type { CrashCause } from "../ids.ts";
import {
  countsFromMs,
  isRequest,
  RunStage,
  type ServerCrash,
  settledMs,
  stageOf,
  suspectsOf,
} from "./crash_evidence.ts";
import {
  findZoneFailures,
  hasBegun,
  scoreOf,
  type ZoneFailures,
} from "./crash_weight.ts";

/** What an explanation is derived from. */
export interface CrashEvidence {
  readonly crashes: readonly ServerCrash[];
  /** When a run with each cause last began and crashed no server, in ms. */
  readonly proofs: ReadonlyMap<CrashCause, number>;
  readonly nowMs: number;
}

/** Causes that explain crashes. */
export interface Explanation {
  /** All that the crashes have in common: any of them may be the cause. */
  readonly causes: readonly CrashCause[];
  /** The crashes, oldest first. */
  readonly crashes: readonly ServerCrash[];
  /** Weight of the crashes. */
  readonly score: number;
  /** Part of all crashes with the causes that no sound run has refuted. */
  readonly rate: number;
  /** When the crashes sufficed, in ms. */
  readonly sinceMs: number;
}

/** Weight of crashes that suffices for an explanation. */
export const SCORE_MIN = 3;
/**
 * Crashes that no more specific explanation covers, if a run had begun on each
 * server and no zone failed.
 */
const UNEXPLAINED_MIN = 2;
/** Independent hypotheses that rather share a cause. */
const SHARING_MIN = 3;

/** Crashes with one cause, as far as no sound run has refuted them. */
interface Hypothesis {
  readonly causes: readonly CrashCause[];
  readonly crashes: readonly ServerCrash[];
  readonly rate: number;
  readonly score: number;
  /** Whether the runs with the causes only waited beside others that had begun. */
  readonly isWaiting: boolean;
}

/** Returns the explanations of the crashes that have settled. */
export function explainCrashes(
  { crashes, proofs, nowMs }: CrashEvidence,
): readonly Explanation[] {
  const sorted = crashes.toSorted((a, b) => a.atMs - b.atMs);
  const zoneFailures = findZoneFailures(sorted);
  const settled = sorted.filter((crash) => settledMs(crash) <= nowMs);
  const hypotheses = createHypotheses({ crashes: settled, proofs, nowMs }, {
    zoneFailures,
  });
  const explained = new Set<ServerCrash>();
  const explanations: Explanation[] = [];
  for (const hypothesis of hypotheses) {
    const rest = unexplainedCrashes(hypothesis, { hypotheses, explained });
    const { isGeneral, unexplained } = rest;
    const areCertain = isGeneral &&
      unexplained.every((crash) => hasBegun(crash) && !zoneFailures.has(crash));
    const limit = areCertain ? UNEXPLAINED_MIN : SCORE_MIN;
    const weight = areCertain
      ? unexplained.length
      : scoreOf(unexplained, hypothesis.causes, zoneFailures);
    if (weight < limit) continue;
    const last = unexplained[limit - 1];
    explanations.push({ ...hypothesis, sinceMs: last?.atMs ?? nowMs });
    for (const crash of hypothesis.crashes) explained.add(crash);
  }
  return explanations;
}

/**
 * Returns the crashes that neither an accepted explanation nor a more specific
 * hypothesis covers.
 */
function unexplainedCrashes(
  { causes, crashes, rate }: Hypothesis,
  { hypotheses, explained }: {
    readonly hypotheses: readonly Hypothesis[];
    readonly explained: ReadonlySet<ServerCrash>;
  },
): {
  readonly isGeneral: boolean;
  readonly unexplained: readonly ServerCrash[];
} {
  const moreSpecific = hypotheses.filter((other) =>
    other.causes.length > causes.length && other.rate >= rate &&
    causes.every((cause) => other.causes.includes(cause))
  );
  // Several requests that crash servers rather share the cause.
  const requests = moreSpecific.filter(hasRequest);
  const parts = moreSpecific.filter((other) => !requests.includes(other));
  const sharing = new Set([
    ...(requests.length > 1 ? requests : []),
    ...sharingHypotheses(parts.filter((other) => other.rate === rate)),
  ]);
  const explaining = moreSpecific.filter((other) => !sharing.has(other));
  const covered = new Set(explaining.flatMap((other) => other.crashes));
  return {
    isGeneral: explaining.length > 0,
    unexplained: crashes.filter((crash) =>
      !covered.has(crash) && !explained.has(crash)
    ),
  };
}

/**
 * Returns hypotheses that rather have a cause in common, as they are many: in
 * long prompts some crashes have further parts in common by chance.
 */
function sharingHypotheses(
  hypotheses: readonly Hypothesis[],
): readonly Hypothesis[] {
  const independent = hypotheses.filter(({ causes }) =>
    !hypotheses.some((other) =>
      other.causes.length < causes.length &&
      other.causes.every((cause) => causes.includes(cause))
    )
  );
  return independent.length >= SHARING_MIN ? hypotheses : [];
}

/** Returns the possible explanations, the most likely first. */
function createHypotheses(
  { crashes, proofs, nowMs }: CrashEvidence,
  { zoneFailures }: { readonly zoneFailures: ZoneFailures },
): readonly Hypothesis[] {
  const suspected = new Map<CrashCause, ServerCrash[]>();
  for (const crash of crashes) {
    const causes = suspectsOf(crash).flatMap(({ causes }) => causes);
    for (const cause of new Set(causes)) {
      const known = suspected.get(cause);
      if (known === undefined) suspected.set(cause, [crash]);
      else known.push(crash);
    }
  }
  const candidates = [...suspected].flatMap(([cause, suspectedIn]) => {
    const provenMs = proofs.get(cause);
    const all = suspectedIn.filter((crash) =>
      countsFromMs(crash, provenMs) <= nowMs
    );
    const unrefuted = all.filter(({ atMs }) => atMs > (provenMs ?? -Infinity));
    if (unrefuted.length < SCORE_MIN) return [];
    const rate = unrefuted.length / all.length;
    return [{ cause, crashes: unrefuted, all: new Set(unrefuted), rate }];
  });
  const hypotheses = new Map<string, Hypothesis>();
  for (const { cause, crashes, rate } of candidates) {
    const score = scoreOf(crashes, [cause], zoneFailures);
    if (score < SCORE_MIN) continue;
    const causes = [cause];
    for (const other of candidates) {
      const isCommon = other.cause !== cause &&
        other.crashes.length >= crashes.length &&
        crashes.every((crash) =>
          other.all.has(crash) && haveRun(crash, [...causes, other.cause])
        );
      if (isCommon) causes.push(other.cause);
    }
    causes.sort();
    const servers = crashes.map(({ server }) => server);
    const key = [...causes, ...servers].join(" ");
    const known = hypotheses.get(key);
    if (known === undefined || known.rate < rate) {
      const isWaiting = crashes.every((crash) => hasOnlyWaited(crash, cause));
      hypotheses.set(key, { causes, crashes, rate, score, isWaiting });
    }
  }
  return [...hypotheses.values()].toSorted((a, b) =>
    b.rate - a.rate || b.score - a.score ||
    Number(a.isWaiting) - Number(b.isWaiting) ||
    Number(hasRequest(b)) - Number(hasRequest(a)) ||
    b.causes.length - a.causes.length
  );
}

/** Whether runs with the cause are less suspect than others on the server. */
function hasOnlyWaited(crash: ServerCrash, cause: CrashCause): boolean {
  return stageOf(crash) !== RunStage.Waiting &&
    suspectsOf(crash).every(({ stage, causes }) =>
      stage === RunStage.Waiting || !causes.includes(cause)
    );
}

function hasRequest({ causes }: Hypothesis): boolean {
  return causes.some(isRequest);
}

/** Whether a suspected run on a crashed server has all of the causes. */
function haveRun(crash: ServerCrash, causes: readonly CrashCause[]): boolean {
  return suspectsOf(crash).some((run) =>
    causes.every((cause) => run.causes.includes(cause))
  );
}
