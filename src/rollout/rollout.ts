/** One order as an entry carries it out: its stage, its share, what was seen. */

import {
  createExposureBudget,
  type ExposureBudget,
  type ExposureLimits,
  hasExposureLeft,
  spendExposure,
  targetShare,
} from "./exposure_budget.ts";
import {
  type Canaries,
  chooseCanaries,
  orderCandidates,
} from "./choose_canaries.ts";
import { type Judgement, judgeVersion } from "./judge_version.ts";
import { TallyExchange } from "./tally_exchange.ts";
import {
  type RolloutDigest,
  type RolloutOrder,
  RolloutStage,
} from "./types.ts";
import type { ObservedResponse } from "./version_counts.ts";

/** Dependencies of a roll-out. */
export interface RolloutOptions {
  readonly order: RolloutOrder;
  readonly limits: ExposureLimits;
  /** Identifies this process among the writers of tallies. */
  readonly writer: string;
  readonly entryCount: number;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

/** Names of a service's servers that can be used now, by version. */
export interface ServersByVersion {
  readonly candidates: readonly string[];
  readonly baselineCount: number;
}

/** An order that an entry knows. */
export class Rollout {
  /** Its id and revision change when a restored store gets it again. */
  order: RolloutOrder;
  /** When this entry learnt of the order, on the monotonic clock in ms. */
  readonly knownSinceMs: number;
  readonly #options: RolloutOptions;
  readonly #tallies: TallyExchange;
  #stage = RolloutStage.Observing;
  /** When the order was first seen by any entry, on the monotonic clock. */
  #startedMs: number;
  #stageSinceMs: number;
  #budget: ExposureBudget;
  /** The last candidates, ordered once for many requests. */
  #ordered: {
    readonly candidates: readonly string[];
    readonly ordered: readonly string[];
  } = { candidates: [], ordered: [] };

  private constructor(options: RolloutOptions) {
    this.#options = options;
    this.order = options.order;
    this.#tallies = TallyExchange.create(options.writer);
    this.knownSinceMs = options.now();
    this.#startedMs = this.knownSinceMs;
    this.#stageSinceMs = this.#startedMs;
    this.#budget = createExposureBudget(options.limits, options);
  }

  /** Starts to observe a version. */
  static create(options: RolloutOptions): Rollout {
    return new Rollout(options);
  }

  /** How far the order is. */
  get stage(): RolloutStage {
    return this.#stage;
  }

  /** Whether the order is neither completed nor rolled back. */
  get isOpen(): boolean {
    return this.#stage < RolloutStage.RolledBack;
  }

  /** Time since the order, in ms. */
  get elapsedMs(): number {
    return this.#options.now() - this.#startedMs;
  }

  /** Time since the stage began, in ms. */
  get stageElapsedMs(): number {
    return this.#options.now() - this.#stageSinceMs;
  }

  /** Requests sent by this entry since the order. */
  get budget(): ExposureBudget {
    return this.#budget;
  }

  /** Moves to a later stage; returns whether it is one. */
  advance(stage: RolloutStage, stageAgeMs = 0): boolean {
    if (stage <= this.#stage) return false;
    this.#stage = stage;
    this.#stageSinceMs = this.#options.now() - stageAgeMs;
    return true;
  }

  /** Returns the servers of the new version for the next request. */
  canaries({ candidates, baselineCount }: ServersByVersion): Canaries {
    if (candidates !== this.#ordered.candidates) {
      const ordered = orderCandidates(candidates, this.order.id);
      this.#ordered = { candidates, ordered };
    }
    return chooseCanaries({
      candidates: this.#ordered.ordered,
      baselineCount,
      share: targetShare(this.#options.limits),
      elapsedMs: this.elapsedMs,
    });
  }

  /** Whether the share of the new version permits a further request. */
  get hasExposureLeft(): boolean {
    return hasExposureLeft(this.#budget, this.#options.limits);
  }

  /** Counts a request that was placed. */
  recordPlacement(version: string): void {
    const isCandidate = version === this.order.target;
    this.#budget = spendExposure(this.#budget, isCandidate);
  }

  /** Counts a response. */
  recordResponse(response: ObservedResponse): void {
    this.#tallies.add(response);
  }

  /** Judges the new version by all responses that are known here. */
  judge(): Judgement {
    return judgeVersion(this.#tallies.sum());
  }

  /** Takes in the age and the tallies of a peer's digest of the order. */
  merge({ ageMs, tallies }: RolloutDigest): void {
    const nowMs = this.#options.now();
    this.#startedMs = Math.min(this.#startedMs, nowMs - ageMs);
    this.#tallies.merge(tallies);
  }

  /** Returns the digest for peers. */
  digest(): RolloutDigest {
    return {
      ...this.order,
      stage: this.#stage,
      ageMs: Math.round(this.elapsedMs),
      stageAgeMs: Math.round(this.stageElapsedMs),
      // A finished order is judged no more.
      tallies: this.isOpen ? this.#tallies.next() : [],
    };
  }
}
