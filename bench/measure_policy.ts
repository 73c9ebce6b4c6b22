/**
 * `measure ranks`, `flood` and `customers`: service by rank and by customer
 * under load, compared with a baseline in the same run that serves in order of
 * arrival, routes at random, does not preempt and does not refuse early.
 */

import {
  type ClassResults,
  type LoadClass,
  runLoad,
} from "../src/process/load_generator.ts";
import { type Bound, type Report, round } from "./figures.ts";
import { LocalCluster } from "./local_cluster.ts";
import { bearerKey, GENERATION_SERVICE } from "./local_deployment.ts";

const ENTRIES = 6;
const ENGINES = 4;
const SLOTS = 8;
const TOKEN_MS = 10;
const CAPACITY_TOKENS_PER_S = ENGINES * SLOTS * 1_000 / TOKEN_MS;
const URGENT_TOKENS = 20;
const PATIENT_TOKENS = 100;
const URGENT_TARGET_MS = 880;
const PATIENT_TARGET_MS = 10_000;
const PATIENT_FLOOR = 0.2;
const PHASE_S = 12;

const BASELINE = [
  "queue_order = arrival",
  "routing = random",
  "preempt = off",
  "refuse_early = off",
];
const NO_PREEMPTION = ["preempt = off"];

/** Offered load of a class; `share` is its fraction of the capacity. */
interface Demand {
  readonly name: string;
  readonly customer: string;
  readonly rank: "urgent" | "patient";
  readonly share: number;
  readonly startS?: number;
  readonly endS?: number;
}

const URGENT = {
  name: "urgent",
  customer: "alpha",
  rank: "urgent",
  share: 0.2,
} as const;
const PATIENT = {
  name: "patient",
  customer: "beta",
  rank: "patient",
  share: 0.4,
} as const;

/** Measures target attainment by rank: alone, mixed, and under overload. */
export async function measureRanks(seed: number): Promise<Report> {
  const flood: readonly Demand[] = [
    { ...PATIENT, share: 5 * PATIENT.share },
    { ...URGENT, startS: PHASE_S / 3 },
  ];
  const alone = await runScenario(seed, { demands: [URGENT] });
  const mixed = await runScenario(seed, { demands: [URGENT, PATIENT] });
  const flooded = await runScenario(seed, { demands: flood });
  const noPreemption = await runScenario(seed, {
    demands: flood,
    policy: NO_PREEMPTION,
  });
  const baseline = await runScenario(seed, {
    demands: flood,
    policy: BASELINE,
  });
  return {
    measurement: "ranks",
    seed,
    figures: { alone, mixed, flooded, noPreemption, baseline },
    bounds: [
      lowerBound(
        "urgent in target, alone",
        findClass(alone, "urgent").attainment,
        0.99,
      ),
      lowerBound(
        "urgent in target, mixed",
        findClass(mixed, "urgent").attainment,
        0.99,
      ),
      lowerBound(
        "urgent in target, 5x patient flood",
        findClass(flooded, "urgent").attainment,
        0.99,
      ),
    ],
  };
}

/** Measures the patient rank's throughput in an overload of urgent requests. */
export async function measureFlood(seed: number): Promise<Report> {
  const demands: readonly Demand[] = [
    { ...PATIENT, share: 2 },
    { ...URGENT, share: 3, startS: PHASE_S / 3 },
    { ...PATIENT, name: "patient in flood", share: 0.5, startS: PHASE_S / 3 },
  ];
  const countFromS = PHASE_S / 3 + 1;
  const flooded = await runScenario(seed, { demands, countFromS });
  const baseline = await runScenario(seed, {
    demands,
    countFromS,
    policy: BASELINE,
  });
  const patientTokensPerS = findClass(flooded, "patient").tokensPerS +
    findClass(flooded, "patient in flood").tokensPerS;
  const totalTokensPerS = sumTokens(flooded);
  return {
    measurement: "flood",
    seed,
    figures: { flooded, baseline, keptTokensPerS: round(patientTokensPerS) },
    bounds: [
      lowerBound(
        "patient tokens kept, share of its floor",
        patientTokensPerS / (PATIENT_FLOOR * CAPACITY_TOKENS_PER_S),
        0.9,
      ),
      lowerBound(
        "goodput in the flood, share of the capacity",
        totalTokensPerS / CAPACITY_TOKENS_PER_S,
        0.95,
      ),
    ],
  };
}

/**
 * Measures small customers beside one with 20 times the load of each: the time
 * to their complete responses, and the fairness among all.
 */
export async function measureCustomers(seed: number): Promise<Report> {
  const small: readonly Demand[] = Array.from({ length: 5 }, (_, index) => ({
    ...PATIENT,
    name: `small-${index}`,
    customer: `small-${index}`,
    share: 0.08,
  }));
  const large: Demand = {
    ...PATIENT,
    name: "large",
    customer: "large",
    share: 1.6,
  };
  const alone = await runScenario(seed, { demands: small });
  const beside = await runScenario(seed, { demands: [...small, large] });
  const baseline = await runScenario(seed, {
    demands: [...small, large],
    policy: BASELINE,
  });
  const p95 = (results: readonly ClassResults[]) =>
    Math.max(
      ...results
        .filter(({ name }) => name.startsWith("small"))
        .map(({ total }) => total.p95),
    );
  return {
    measurement: "customers",
    seed,
    figures: {
      alone,
      beside,
      baseline,
      jain: jainIndex(beside),
      jainBaseline: jainIndex(baseline),
      p95Alone: p95(alone),
      p95Beside: p95(beside),
      p95Baseline: p95(baseline),
    },
    bounds: [
      {
        name: "small customers' p95 of the whole answer, to that alone",
        value: p95(beside) / p95(alone),
        limit: 1.2,
        side: "at_most",
      },
      lowerBound(
        "goodput at 2x overload, share of the capacity",
        sumTokens(beside) / CAPACITY_TOKENS_PER_S,
        0.95,
      ),
    ],
  };
}

async function runScenario(
  seed: number,
  { demands, policy = [], countFromS = 1 }: {
    readonly demands: readonly Demand[];
    /** Start of the period in which tokens are counted, in s. */
    readonly countFromS?: number;
    readonly policy?: readonly string[];
  },
): Promise<readonly ClassResults[]> {
  const customers = new Set(demands.map(({ customer }) => customer));
  const cluster = await LocalCluster.create({
    entries: ENTRIES,
    engines: ENGINES,
    slots: SLOTS,
    customers: [...customers].map((name) => ({ name })),
    urgentTargetMs: URGENT_TARGET_MS,
    patientTargetMs: PATIENT_TARGET_MS,
    engineSwitches: { tokenMs: TOKEN_MS, announceRuns: false },
    policy,
  });
  try {
    return await runLoad({
      entries: cluster.entries.map(({ address }) => address),
      classes: demands.map(createClass),
      seed,
      window: { startS: countFromS, endS: PHASE_S },
    });
  } finally {
    await cluster.close();
  }
}

function createClass(demand: Demand): LoadClass {
  const isUrgent = demand.rank === "urgent";
  const maxTokens = isUrgent ? URGENT_TOKENS : PATIENT_TOKENS;
  return {
    name: demand.name,
    key: bearerKey(demand.customer),
    service: GENERATION_SERVICE,
    rank: demand.rank,
    ratePerS: demand.share * CAPACITY_TOKENS_PER_S / maxTokens,
    startS: demand.startS ?? 0,
    endS: demand.endS ?? PHASE_S,
    promptCharacters: 100,
    maxTokens,
    targetMs: isUrgent ? URGENT_TARGET_MS : PATIENT_TARGET_MS,
  };
}

function findClass(
  results: readonly ClassResults[],
  name: string,
): ClassResults {
  const found = results.find((candidate) => candidate.name === name);
  if (found === undefined) throw new Error(`no results of load class ${name}`);
  return found;
}

function sumTokens(results: readonly ClassResults[]): number {
  return results.reduce((sum, { tokensPerS }) => sum + tokensPerS, 0);
}

/** Jain's fairness index; 1 if equal fractions of all classes succeed. */
function jainIndex(results: readonly ClassResults[]): number {
  const shares = results.map(({ outcomes, sent }) =>
    (outcomes.done ?? 0) / Math.max(1, sent)
  );
  const sum = shares.reduce((total, share) => total + share, 0);
  const sumOfSquares = shares.reduce((total, share) => total + share ** 2, 0);
  return round(sum ** 2 / (shares.length * sumOfSquares));
}

function lowerBound(name: string, value: number, limit: number): Bound {
  return { name, value, limit, side: "at_least" };
}
