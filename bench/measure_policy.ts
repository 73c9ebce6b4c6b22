/**
 * `measure ranks`, `flood` and `customers`: service by rank and by customer
 * under load, beside a baseline in the same run that serves by arrival, routes
 * at random and neither preempts nor refuses early.
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

/** Share of the capacity that a class asks for. */
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

/** Attainment by rank: alone, mixed, and a patient flood. */
export async function measureRanks(seed: number): Promise<Report> {
  const flood: readonly Demand[] = [
    { ...PATIENT, share: 5 * PATIENT.share },
    { ...URGENT, startS: PHASE_S / 3 },
  ];
  const alone = await play(seed, { demands: [URGENT] });
  const mixed = await play(seed, { demands: [URGENT, PATIENT] });
  const flooded = await play(seed, { demands: flood });
  const noPreemption = await play(seed, {
    demands: flood,
    policy: NO_PREEMPTION,
  });
  const baseline = await play(seed, { demands: flood, policy: BASELINE });
  return {
    measurement: "ranks",
    seed,
    figures: { alone, mixed, flooded, noPreemption, baseline },
    bounds: [
      atLeast(
        "urgent in target, alone",
        find(alone, "urgent").attainment,
        0.99,
      ),
      atLeast(
        "urgent in target, mixed",
        find(mixed, "urgent").attainment,
        0.99,
      ),
      atLeast(
        "urgent in target, 5x patient flood",
        find(flooded, "urgent").attainment,
        0.99,
      ),
    ],
  };
}

/** What the patient rank keeps while urgent work floods in after its flood. */
export async function measureFlood(seed: number): Promise<Report> {
  const demands: readonly Demand[] = [
    { ...PATIENT, share: 2 },
    { ...URGENT, share: 3, startS: PHASE_S / 3 },
    { ...PATIENT, name: "patient in flood", share: 0.5, startS: PHASE_S / 3 },
  ];
  const fromS = PHASE_S / 3 + 1;
  const flooded = await play(seed, { demands, fromS });
  const baseline = await play(seed, { demands, fromS, policy: BASELINE });
  const kept = find(flooded, "patient").tokensPerS +
    find(flooded, "patient in flood").tokensPerS;
  const total = sumTokens(flooded);
  return {
    measurement: "flood",
    seed,
    figures: { flooded, baseline, keptTokensPerS: round(kept) },
    bounds: [
      atLeast(
        "patient tokens kept, share of its floor",
        kept / (PATIENT_FLOOR * CAPACITY_TOKENS_PER_S),
        0.9,
      ),
      atLeast(
        "goodput in the flood, share of the capacity",
        total / CAPACITY_TOKENS_PER_S,
        0.95,
      ),
    ],
  };
}

/**
 * Small customers beside one that asks for ten times as much and more: the time
 * to their whole answers, and what all get.
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
  const alone = await play(seed, { demands: small });
  const beside = await play(seed, { demands: [...small, large] });
  const baseline = await play(seed, {
    demands: [...small, large],
    policy: BASELINE,
  });
  const p95 = (figures: readonly ClassResults[]) =>
    Math.max(
      ...figures
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
      atLeast(
        "goodput at 2x overload, share of the capacity",
        sumTokens(beside) / CAPACITY_TOKENS_PER_S,
        0.95,
      ),
    ],
  };
}

async function play(
  seed: number,
  { demands, policy = [], fromS = 1 }: {
    readonly demands: readonly Demand[];
    /** Start of the time in which tokens are counted, in s. */
    readonly fromS?: number;
    readonly policy?: readonly string[];
  },
): Promise<readonly ClassResults[]> {
  const names = new Set(demands.map(({ customer }) => customer));
  const cluster = await LocalCluster.create({
    entries: ENTRIES,
    engines: ENGINES,
    slots: SLOTS,
    customers: [...names].map((name) => ({ name })),
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
      window: { startS: fromS, endS: PHASE_S },
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

function find(figures: readonly ClassResults[], name: string): ClassResults {
  const found = figures.find((candidate) => candidate.name === name);
  if (found === undefined) throw new Error(`no class ${name}`);
  return found;
}

function sumTokens(figures: readonly ClassResults[]): number {
  return figures.reduce((sum, { tokensPerS }) => sum + tokensPerS, 0);
}

/** 1 when all customers get the same share of what they ask for. */
function jainIndex(figures: readonly ClassResults[]): number {
  const shares = figures.map(({ outcomes, sent }) =>
    (outcomes.done ?? 0) / Math.max(1, sent)
  );
  const sum = shares.reduce((total, share) => total + share, 0);
  const squares = shares.reduce((total, share) => total + share ** 2, 0);
  return round(sum ** 2 / (shares.length * squares));
}

function atLeast(name: string, value: number, limit: number): Bound {
  return { name, value, limit, side: "at_least" };
}
