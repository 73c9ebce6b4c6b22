/**
 * What is known of the crashes of backend servers: the requests that ran on
 * each, and which of them may have caused it.
 */

import { hashParts } from "../hashing.ts";
import type { CrashCause, RequestId } from "../ids.ts";

/** How far a run had come when its server crashed. */
export enum RunStage {
  /** The head of a stream had arrived, and no event. */
  Begun = "begun",
  /** A call, which shows nothing until it ends. */
  Calling = "calling",
  /** No head of a stream had arrived. */
  Waiting = "waiting",
  /** The first events had arrived. */
  Producing = "producing",
  /** Events had arrived for long enough to show that no part is a cause. */
  Proven = "proven",
}

/** Possible causes of a server crash in one request. */
export interface RequestCauses {
  readonly id: RequestId;
  /** The request itself, equal for its repeats. */
  readonly request: CrashCause;
  /** The parts of its prompt that other requests may share. */
  readonly parts: readonly CrashCause[];
}

/** A run that its server's crash ended. */
export interface CrashedRun {
  /** Stands for the id of the request. */
  readonly request: string;
  readonly stage: RunStage;
  readonly causes: readonly CrashCause[];
  /**
   * How long it had run when the crash was seen, in ms; absent in reports of
   * earlier versions.
   */
  readonly ranMs?: number;
}

/** The crash of one server. */
export interface ServerCrash {
  /** Identifies one start of a server. */
  readonly server: string;
  readonly zone: string;
  /** When it was seen first, on the monotonic clock in ms. */
  readonly atMs: number;
  /** Most suspect first. */
  readonly runs: readonly CrashedRun[];
}

/** Runs kept for one crash. */
export const CRASH_RUNS_MAX = 8;
/** Characters of a hash that stand for a request's id. */
const REQUEST_CHARACTERS = 8;
/** Possible causes kept for one run. */
export const RUN_CAUSES_MAX = 16;
/**
 * Time after which all entries should have told of the runs on a crashed
 * server, in ms.
 */
export const SETTLE_MS = 300;
/**
 * Time after a crash in which a sound run shows that its parts are harmless, in
 * ms: a prompt of 1 s, the events after it and the digests that tell of them.
 */
export const REFUTATION_MS = 1_500;

const REQUEST_PREFIX = "request ";

/** How suspect a run is; the lowest number is the most suspect. */
const SUSPICION_RANK: Readonly<Record<RunStage, number>> = {
  [RunStage.Begun]: 0,
  // It may have begun as well.
  [RunStage.Calling]: 0,
  [RunStage.Waiting]: 1,
  [RunStage.Producing]: 2,
  [RunStage.Proven]: 3,
};

/** Cached suspects; an explanation asks for those of each crash many times. */
const SUSPECTS = new WeakMap<ServerCrash, readonly CrashedRun[]>();

/** Returns the run of a request that ended at `stage`, after `ranMs` if known. */
export function createRun(
  { id, request, parts }: RequestCauses,
  stage: RunStage,
  ranMs?: number,
): CrashedRun {
  const causes = stage === RunStage.Proven ? [request] : [request, ...parts];
  return {
    request: hashParts([id]).slice(0, REQUEST_CHARACTERS),
    stage,
    causes: causes.slice(0, RUN_CAUSES_MAX),
    ...ranMs !== undefined && { ranMs: Math.floor(ranMs) },
  };
}

/** Names a request as a cause by the hash of what identifies it. */
export function requestCause(hash: string): CrashCause {
  return `${REQUEST_PREFIX}${hash}` as CrashCause;
}

/** Whether a cause is a request, not a part that requests share. */
export function isRequest(cause: CrashCause): boolean {
  return cause.startsWith(REQUEST_PREFIX);
}

/** Joins what two entries know of one crash. */
export function mergeCrash(
  known: ServerCrash | undefined,
  crash: ServerCrash,
): ServerCrash {
  if (known === undefined) return { ...crash, runs: sortRuns(crash.runs) };
  const added = crash.runs.filter((run) => !isKnown(run, known.runs));
  if (added.length === 0 && crash.atMs >= known.atMs) return known;
  return {
    ...known,
    atMs: Math.min(known.atMs, crash.atMs),
    runs: sortRuns([...known.runs, ...added]),
  };
}

/**
 * Returns the runs that may have caused a crash: those of the most suspect
 * stage explain it, so the parts of the others do not. A request that waited may
 * have crashed the server before its head arrived.
 */
export function suspectsOf(crash: ServerCrash): readonly CrashedRun[] {
  const known = SUSPECTS.get(crash) ?? findSuspects(crash);
  SUSPECTS.set(crash, known);
  return known;
}

function findSuspects({ runs }: ServerCrash): readonly CrashedRun[] {
  const [first] = runs;
  if (first === undefined) return [];
  const rank = SUSPICION_RANK[first.stage];
  return runs.flatMap((run) => {
    if (SUSPICION_RANK[run.stage] === rank) return [run];
    if (run.stage !== RunStage.Waiting) return [];
    return [{ ...run, causes: run.causes.filter(isRequest) }];
  });
}

/** Returns the most suspect stage of the runs on a crashed server. */
export function stageOf({ runs }: ServerCrash): RunStage {
  return runs[0]?.stage ?? RunStage.Proven;
}

/**
 * Returns from when on a crash counts against a cause, in ms; `provenMs` is when
 * the last sound run with the cause began, if there was one. What has run well
 * before is given the time to do so again: others may have crashed the server.
 */
export function countsFromMs(
  { atMs }: ServerCrash,
  provenMs: number | undefined,
): number {
  const isDoubtful = provenMs !== undefined && provenMs <= atMs;
  return isDoubtful ? atMs + REFUTATION_MS : atMs;
}

/**
 * Returns from when on the suspects of a crash are known, in ms: at once if a
 * run had just begun, else once another entry could have told of such a run.
 */
export function settledMs(crash: ServerCrash): number {
  return stageOf(crash) === RunStage.Begun
    ? crash.atMs
    : crash.atMs + SETTLE_MS;
}

function isKnown(run: CrashedRun, runs: readonly CrashedRun[]): boolean {
  return runs.some((known) =>
    known.stage === run.stage &&
    run.request === known.request &&
    run.causes.every((cause) => known.causes.includes(cause))
  );
}

function sortRuns(runs: readonly CrashedRun[]): readonly CrashedRun[] {
  return runs
    .toSorted((a, b) => orderOf(a) - orderOf(b))
    .slice(0, CRASH_RUNS_MAX);
}

/** Calls come after streams that had begun: only the latter are certain. */
function orderOf({ stage }: CrashedRun): number {
  return SUSPICION_RANK[stage] + (stage === RunStage.Calling ? 0.5 : 0);
}
