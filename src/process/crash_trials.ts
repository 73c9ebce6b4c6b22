/**
 * Trials of blocked requests: one entry claims each, so that one request in all
 * runs, and shows whether the block still holds.
 */

import type { RequestId } from "../ids.ts";
import type { CrashBlock } from "./crash_block.ts";

/** The trial of a block. */
export interface CrashTrial {
  /** Key of the block. */
  readonly block: string;
  /** Entry that may run a request. */
  readonly entry: string;
  /** On the monotonic clock, in ms. */
  readonly claimedMs: number;
  /** When the request was sent; `undefined` before. */
  readonly startedMs?: number | undefined;
}

/** Dependencies of the trials. */
export interface CrashTrialsOptions {
  /** Name of this entry. */
  readonly entry: string;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

/** Time in which other entries learn of a claim, in ms. */
const CLAIM_MS = 1_000;
/** Time after which another entry may claim a trial that was not run, in ms. */
const CLAIM_RETENTION_MS = 10_000;
/** Time for a request that was let through to show its effect, in ms. */
const TRIAL_MS = 30_000;
const TRIALS_MAX = 100;

/** The trials that this entry knows of. */
export class CrashTrials {
  readonly #options: CrashTrialsOptions;
  /** By key of the block. */
  readonly #trials = new Map<string, CrashTrial>();
  /** The requests that this entry has let through, by key of the block. */
  readonly #requests = new Map<string, RequestId>();

  private constructor(options: CrashTrialsOptions) {
    this.#options = options;
  }

  /** Creates a set without trials. */
  static create(options: CrashTrialsOptions): CrashTrials {
    return new CrashTrials(options);
  }

  /**
   * Returns until when a request with a blocked cause is refused, on the
   * monotonic clock in ms; `undefined` if it may run as the trial. Claims the
   * trial if no entry has done so.
   */
  refusedUntilMs(block: CrashBlock, id: RequestId): number | undefined {
    const nowMs = this.#options.now();
    if (nowMs < block.trialMs) return block.untilMs;
    if (this.#requests.get(block.key) === id) return undefined;
    const trial = this.#currentTrial(block);
    const { startedMs } = trial ?? {};
    if (startedMs !== undefined) {
      return Math.max(startedMs + TRIAL_MS, block.untilMs);
    }
    if (nowMs >= block.untilMs) return undefined;
    const { entry } = this.#options;
    if (trial === undefined || this.#isAbandoned(trial)) {
      this.#set({ block: block.key, entry, claimedMs: nowMs });
      return block.untilMs;
    }
    const isOwn = trial.entry === entry && nowMs >= trial.claimedMs + CLAIM_MS;
    return isOwn ? undefined : block.untilMs;
  }

  /** Records that a request with a blocked cause is sent to a server. */
  recordStart(block: CrashBlock, id: RequestId): void {
    const nowMs = this.#options.now();
    if (nowMs < block.trialMs || this.#requests.get(block.key) === id) return;
    const { entry } = this.#options;
    this.#set({
      block: block.key,
      entry,
      claimedMs: nowMs,
      startedMs: nowMs,
    });
    this.#requests.set(block.key, id);
  }

  /** Records that an attempt of a request has ended; it runs no second time. */
  recordEnd(id: RequestId): void {
    for (const [block, request] of this.#requests) {
      if (request === id) this.#requests.delete(block);
    }
  }

  /** Merges the trials that a peer knows of. */
  merge(trials: readonly CrashTrial[]): void {
    for (const trial of trials) {
      const known = this.#trials.get(trial.block);
      if (known === undefined || precedes(trial, known)) this.#set(trial);
    }
  }

  /** Returns the trials that peers must know of. */
  current(): readonly CrashTrial[] {
    const sinceMs = this.#options.now() - TRIAL_MS;
    return [...this.#trials.values()].filter(({ claimedMs }) =>
      claimedMs >= sinceMs
    );
  }

  /** Returns the trial that was claimed since the last crash, if it counts. */
  #currentTrial({ key, trialMs }: CrashBlock): CrashTrial | undefined {
    const trial = this.#trials.get(key);
    if (trial === undefined || trial.claimedMs < trialMs) return undefined;
    const { startedMs } = trial;
    const hasExpired = startedMs !== undefined &&
      this.#options.now() >= startedMs + TRIAL_MS;
    return hasExpired ? undefined : trial;
  }

  #isAbandoned({ claimedMs }: CrashTrial): boolean {
    return this.#options.now() >= claimedMs + CLAIM_RETENTION_MS;
  }

  #set(trial: CrashTrial): void {
    this.#trials.delete(trial.block);
    this.#trials.set(trial.block, trial);
    for (const block of this.#trials.keys()) {
      if (this.#trials.size <= TRIALS_MAX) return;
      this.#trials.delete(block);
      this.#requests.delete(block);
    }
  }
}

/** Whether a trial counts in place of another one of the same block. */
function precedes(trial: CrashTrial, known: CrashTrial): boolean {
  const laterMs = trial.claimedMs - known.claimedMs;
  if (Math.abs(laterMs) >= CLAIM_RETENTION_MS) return laterMs > 0;
  const hasStarted = trial.startedMs !== undefined;
  if (hasStarted !== (known.startedMs !== undefined)) return hasStarted;
  return trial.entry < known.entry;
}
