/**
 * The account of what crashes backend servers: evidence from all entries, the
 * requests that are refused because of it, and trials that lift a refusal.
 * Refusals are derived, so that later evidence corrects them.
 */

import type { CrashAccountDigest } from "../gossip/peer_protocol.ts";
import type { CrashCause, RequestId } from "../ids.ts";
import {
  type CrashBlock,
  crashesOf,
  createBlock,
  requestCount,
} from "./crash_block.ts";
import { createCrashDigest, readCrashDigest } from "./crash_digest.ts";
import {
  createRun,
  mergeCrash,
  REFUTATION_MS,
  type RequestCauses,
  RUN_CAUSES_MAX,
  RunStage,
  type ServerCrash,
  SETTLE_MS,
  stageOf,
} from "./crash_evidence.ts";
import { explainCrashes } from "./crash_explanation.ts";
import { CrashTrials } from "./crash_trials.ts";
import { CrashedParts } from "./crashed_parts.ts";
import { Rotation } from "./rotation.ts";
import { FRESH_MS, SoundRuns } from "./sound_runs.ts";

/** A crash of a server that ran a request. */
export interface RequestCrash {
  /** Identifies one start of a server. */
  readonly server: string;
  readonly zone: string;
  /** When the crash was seen, on the monotonic clock in ms. */
  readonly atMs: number;
  readonly stage: RunStage;
  /** How long the request had run by then, in ms; absent if unknown. */
  readonly ranMs?: number;
}

/** A block with what it was decided on, for the log. */
export interface DecidedBlock extends CrashBlock {
  /** Number of requests that ran on the servers. */
  readonly requests: number;
}

/** Dependencies of the account. */
export interface CrashAccountOptions {
  /** Name of this entry. */
  readonly entry: string;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Returns a number in [0, 1); the process's own if absent. */
  readonly random?: () => number;
  /** Called when requests with a set of causes are refused from now on. */
  readonly onBlocked: (block: DecidedBlock) => void;
  /** Called when a cause is no longer among those refused. */
  readonly onCleared: (cause: CrashCause) => void;
}

/** Crashes kept in memory; the oldest that block nothing are dropped first. */
const CRASHES_MAX = 128;
/** How long crashes are remembered, in ms. */
const RETENTION_MS = 600_000;
/** How long a block is remembered, as a multiple of its duration. */
const BLOCK_RETENTION_FACTOR = 2;
/** Age up to which a crash is sent again to a peer that was cut off, in ms. */
const REPEATED_MS = 60_000;
/** Changed crashes per digest; the most telling and latest come first. */
const DIGEST_CRASHES_MAX = 4;
/** Blocks per digest, in turn, for entries that missed them. */
const DIGEST_BLOCKS_MAX = 1;
/** Heads of more parts than a run is kept with, per digest. */
const DIGEST_LONG_HEADS_MAX = 1;
/** Sound runs per digest. */
const DIGEST_PROOFS_MAX = 16;
/** Difference of times that transmission explains, in ms. */
const TRANSMISSION_MS = 200;

/** What one entry knows of crashes. */
export class CrashAccount {
  readonly #options: CrashAccountOptions;
  readonly #trials: CrashTrials;
  /** By server. */
  readonly #crashes = new Map<string, ServerCrash>();
  readonly #soundRuns: SoundRuns;
  /** When each crash last changed, by server, in ms. */
  readonly #changedMs = new Map<string, number>();
  readonly #crashedParts: CrashedParts;
  #blocks: readonly DecidedBlock[] = [];
  /** Until when the blocks follow from the evidence, in ms. */
  #validUntilMs = Infinity;
  #reported: readonly CrashBlock[] = [];
  readonly #repeated = Rotation.create<string>();

  private constructor(options: CrashAccountOptions) {
    this.#options = options;
    this.#trials = CrashTrials.create(options);
    this.#soundRuns = SoundRuns.create(options.now);
    const { random = Math.random } = options;
    this.#crashedParts = CrashedParts.create({
      now: options.now,
      random,
      provenMs: (part) => this.#soundRuns.provenMs(part),
    });
  }

  /** Creates an account without crashes. */
  static create(options: CrashAccountOptions): CrashAccount {
    return new CrashAccount(options);
  }

  /**
   * Returns until when a request is refused, on the monotonic clock in ms;
   * `undefined` if it may run.
   */
  blockedUntilMs(causes: RequestCauses): number | undefined {
    const endsMs = this.#blocksOf(causes)
      .map((block) => this.#trials.refusedUntilMs(block, causes.id))
      .filter((endMs) => endMs !== undefined);
    return endsMs.length === 0 ? undefined : Math.max(...endsMs);
  }

  /** Records that a request is sent to a server. */
  recordAttempt(causes: RequestCauses): void {
    for (const block of this.#blocksOf(causes)) {
      this.#trials.recordStart(block, causes.id);
    }
  }

  /** Records that an attempt has ended; as a trial it makes no other. */
  recordEnd(id: RequestId): void {
    this.#trials.recordEnd(id);
  }

  /** Records the crash of a server that ran a request. */
  recordCrash(causes: RequestCauses, crash: RequestCrash): void {
    const { stage, ranMs, ...server } = crash;
    const { id, request } = causes;
    this.recordEnd(id);
    const run = { request, parts: causes.parts, atMs: crash.atMs };
    const { parts, isComplete } = this.#crashedParts.select(
      run,
      RUN_CAUSES_MAX - 1,
    );
    if (stage !== RunStage.Proven) {
      const hasWaited = stage === RunStage.Waiting;
      this.#crashedParts.record(run, { isNews: !isComplete, hasWaited });
    }
    const kept = createRun({ id, request, parts }, stage, ranMs);
    this.#addCrash({ ...server, runs: [kept] });
  }

  /** Records that a request was answered well by a run that began at `begunMs`. */
  recordCompletion(
    { request, parts }: RequestCauses,
    begunMs = this.#options.now(),
  ): void {
    this.recordProof([request, ...parts], begunMs);
  }

  /** Records that a run with `causes` that began at `begunMs` crashed nothing. */
  recordProof(
    causes: readonly CrashCause[],
    begunMs = this.#options.now(),
  ): void {
    if (this.#soundRuns.record(causes, begunMs)) this.#validUntilMs = -Infinity;
  }

  /** Takes in a block that was decided elsewhere, with its evidence. */
  adopt(block: Pick<CrashBlock, "causes" | "crashes">): void {
    for (const crash of crashesOf(block)) this.#addCrash(crash);
  }

  /** Merges what a peer knows. */
  merge(digest: CrashAccountDigest): void {
    const nowMs = this.#options.now();
    const { crashes, blocks, proofs, trials, longHeads } = readCrashDigest(
      digest,
      nowMs,
    );
    for (const head of longHeads) this.#crashedParts.merge(head);
    for (const [cause, begunMs] of proofs) {
      this.recordProof([cause], begunMs - TRANSMISSION_MS);
    }
    for (const crash of [...crashes, ...blocks.flatMap(crashesOf)]) {
      if (nowMs - crash.atMs > RETENTION_MS && !isPartOf(blocks, crash)) {
        continue;
      }
      this.#addCrash(crash);
      this.#soundRuns.repeat(crash);
    }
    this.#trials.merge(trials);
  }

  /**
   * Returns the digest for peers: the latest changes, and the blocks in turn.
   * The limits keep it small while many servers crash. `undefined` if nothing is
   * known. Called in short intervals, it also reports changes of the blocks.
   */
  digest(): CrashAccountDigest | undefined {
    if (this.#crashes.size === 0 && this.#reported.length === 0) {
      return undefined;
    }
    this.#dropExpired();
    this.#reportChanges();
    const nowMs = this.#options.now();
    const crashes = [...this.#changedMs.keys()]
      .map((server) => this.#crashes.get(server))
      .filter((crash) => crash !== undefined)
      .toSorted(compareByNews)
      .slice(0, DIGEST_CRASHES_MAX);
    const settled = this.#blocks.filter(({ sinceMs, causes }) =>
      nowMs >= sinceMs + SETTLE_MS && causes.length <= RUN_CAUSES_MAX
    );
    const keys = this.#repeated.next(
      settled.map(({ key }) => key),
      DIGEST_BLOCKS_MAX,
    );
    return createCrashDigest({
      crashes,
      blocks: settled.filter(({ key }) => keys.includes(key)),
      proofs: this.#soundRuns.news(crashes, DIGEST_PROOFS_MAX),
      trials: this.#trials.current(),
      longHeads: this.#crashedParts.takeNews(DIGEST_LONG_HEADS_MAX),
    }, nowMs);
  }

  /**
   * Has the last crashes sent again, as a link to a peer has opened: while it
   * was down, the peer may have missed them.
   */
  repeatNews(): void {
    const nowMs = this.#options.now();
    const latest = [...this.#crashes.values()]
      .filter(({ atMs }) => nowMs - atMs <= REPEATED_MS)
      .toSorted((a, b) => b.atMs - a.atMs)
      .slice(0, DIGEST_CRASHES_MAX);
    for (const crash of latest) {
      this.#changedMs.set(crash.server, nowMs);
      this.#soundRuns.repeat(crash);
    }
    this.#crashedParts.repeatNews();
  }

  /** Number of crashes that are remembered. */
  get size(): number {
    return this.#crashes.size;
  }

  /** Returns the crashes that are remembered. */
  crashes(): readonly ServerCrash[] {
    return [...this.#crashes.values()];
  }

  /** Returns the sets of causes whose requests are refused now. */
  blocks(): readonly CrashBlock[] {
    this.#derive();
    return this.#blocks;
  }

  #blocksOf({ request, parts }: RequestCauses): readonly CrashBlock[] {
    return this.blocks().filter(({ causes }) =>
      causes.every((cause) => cause === request || parts.includes(cause))
    );
  }

  #addCrash(crash: ServerCrash): void {
    const known = this.#crashes.get(crash.server);
    const merged = mergeCrash(known, crash);
    if (merged === known) return;
    this.#crashes.set(crash.server, merged);
    const isNews = known === undefined ||
      merged.runs.length !== known.runs.length ||
      known.atMs - merged.atMs > TRANSMISSION_MS;
    if (isNews) this.#changedMs.set(crash.server, this.#options.now());
    this.#soundRuns.suspect(merged);
    this.#validUntilMs = -Infinity;
    if (this.#crashes.size > CRASHES_MAX) this.#dropLeastImportant();
  }

  /** Derives the blocks again if the evidence has changed or settled. */
  #derive(): void {
    const nowMs = this.#options.now();
    if (nowMs < this.#validUntilMs) return;
    const crashes = [...this.#crashes.values()];
    const { proofs } = this.#soundRuns;
    this.#blocks = explainCrashes({ crashes, proofs, nowMs })
      .map((explanation) => ({
        ...createBlock(explanation),
        requests: requestCount(explanation),
      }));
    const pending = crashes
      .flatMap(({ atMs }) => [atMs + SETTLE_MS, atMs + REFUTATION_MS])
      .filter((countsMs) => countsMs > nowMs);
    this.#validUntilMs = Math.min(Infinity, ...pending);
  }

  #reportChanges(): void {
    this.#derive();
    const previous = this.#reported;
    if (previous === this.#blocks) return;
    this.#reported = this.#blocks;
    const keys = new Set(previous.map(({ key }) => key));
    for (const block of this.#blocks) {
      if (!keys.has(block.key)) this.#options.onBlocked(block);
    }
    const blocked = new Set(this.#blocks.flatMap(({ causes }) => causes));
    const cleared = new Set(previous.flatMap(({ causes }) => causes));
    for (const cause of cleared) {
      if (!blocked.has(cause)) this.#options.onCleared(cause);
    }
  }

  /** Drops the oldest crash that blocks nothing, or else the oldest. */
  #dropLeastImportant(): void {
    const servers = [...this.#crashes.keys()];
    const dropped = servers.find((server) => !this.#isEvidence(server)) ??
      servers[0];
    if (dropped !== undefined) this.#drop(dropped);
  }

  #dropExpired(): void {
    const nowMs = this.#options.now();
    for (const { server, atMs } of this.#crashes.values()) {
      if (nowMs - atMs <= RETENTION_MS) continue;
      const isKept = this.#blocks.some(({ untilMs, sinceMs, crashes }) =>
        nowMs - untilMs <= (untilMs - sinceMs) * (BLOCK_RETENTION_FACTOR - 1) &&
        crashes.some((crash) => crash.server === server)
      );
      if (!isKept) this.#drop(server);
    }
    for (const [server, changedMs] of this.#changedMs) {
      if (nowMs - changedMs > FRESH_MS) this.#changedMs.delete(server);
    }
    this.#soundRuns.dropOldNews();
  }

  #isEvidence(server: string): boolean {
    return this.#blocks.some(({ crashes }) =>
      crashes.some((crash) => crash.server === server)
    );
  }

  #drop(server: string): void {
    this.#crashes.delete(server);
    this.#changedMs.delete(server);
    this.#validUntilMs = -Infinity;
  }
}

function isPartOf(
  blocks: readonly Pick<CrashBlock, "crashes">[],
  { server }: ServerCrash,
): boolean {
  return blocks.some(({ crashes }) =>
    crashes.some((crash) => crash.server === server)
  );
}

/** Crashes at which a run had just begun come first, then the latest. */
function compareByNews(a: ServerCrash, b: ServerCrash): number {
  const isBegun = (crash: ServerCrash) =>
    Number(stageOf(crash) === RunStage.Begun);
  return isBegun(b) - isBegun(a) || b.atMs - a.atMs;
}
