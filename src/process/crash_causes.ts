/**
 * Identifies the requests, or parts of prompts, that crash backend servers, from
 * the crashes that all entries report. A part is suspected if the requests that
 * crashed servers share it and no request with it has succeeded since.
 */

import type { CrashReport } from "../connection/peer_protocol.ts";
import type { CrashCause, RequestId } from "../ids.ts";
import {
  addCrash,
  blockEndMs,
  type CrashRecord,
  crashWeight,
  isBlocking,
  isExpired,
  isExplainedBy,
  mergeRecords,
  removeRefuted,
} from "./crash_record.ts";
import { createCrashReport, hasChanged, recordOf } from "./crash_report.ts";
import { Rotation } from "./rotation.ts";

/** Possible causes of a server crash in one request. */
export interface RequestCauses {
  readonly id: RequestId;
  /** The request itself, equal for its repeats. */
  readonly request: CrashCause;
  /** The parts of its prompt that other requests may share. */
  readonly parts: readonly CrashCause[];
}

/** A crash of a server that ran a request. */
export interface RequestCrash {
  /** Identifies one start of a server. */
  readonly server: string;
  /** When the crash was seen, on the monotonic clock in ms. */
  readonly atMs: number;
  /** How likely the request itself is to have caused it, from 0 to 1. */
  readonly requestWeight: number;
  /** The same for one of its parts. */
  readonly partWeight: number;
}

/** A cause whose requests are refused. */
export interface BlockedCause {
  readonly cause: CrashCause;
  /** Weight of its crashes. */
  readonly weight: number;
  /** When the block ends, on the monotonic clock in ms. */
  readonly endMs: number;
}

/** A request with a blocked cause that may run, while others wait for it. */
interface Trial {
  readonly id: RequestId;
  readonly startMs: number;
}

/** A blocked cause of a request. */
interface BlockingCause {
  readonly cause: CrashCause;
  readonly record: CrashRecord;
  /** Whether the crashes of another cause explain those of this one. */
  readonly isExplained: boolean;
}

/** Dependencies of the crash causes. */
export interface CrashCausesOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called when requests with a cause are refused from now on. */
  readonly onBlocked: (cause: BlockedCause) => void;
  /** Called when a request with a blocked cause succeeded. */
  readonly onCleared: (cause: CrashCause) => void;
}

/** Causes kept in memory; of those with few crashes the oldest are dropped. */
const RECORDS_MAX = 1_000;
/** Parts whose last successful run is kept in memory. */
const PROOFS_MAX = 2_000;
/** Time for one request to show whether an explained cause is harmless, in ms. */
const TRIAL_MS = 10_000;
/** How long a change is sent to peers in each digest, in ms. */
const FRESH_MS = 1_000;
/** Changed causes per digest; those with the most crashes come first. */
const DIGEST_FRESH_MAX = 4;
/** Other blocked causes per digest, in turn, for entries that missed them. */
const DIGEST_REPEATED_MAX = 2;

/** The crashes by cause, as far as this entry knows. */
export class CrashCauses {
  readonly #options: CrashCausesOptions;
  readonly #records = new Map<CrashCause, CrashRecord>();
  /** When each cause last changed, in ms. */
  readonly #changedMs = new Map<CrashCause, number>();
  /** Time of the last successful run, by part, in ms. */
  readonly #proofs = new Map<CrashCause, number>();
  /** Requests that show whether they crash a server, by cause. */
  readonly #trials = new Map<CrashCause, Trial>();
  /** Blocked causes that are not reported yet: another may explain them. */
  #newlyBlocked: CrashCause[] = [];
  /** The blocked causes that digests repeat. */
  readonly #repeated = Rotation.create<CrashCause>();

  private constructor(options: CrashCausesOptions) {
    this.#options = options;
  }

  /** Creates an empty set. */
  static create(options: CrashCausesOptions): CrashCauses {
    return new CrashCauses(options);
  }

  /**
   * Returns until when a request is refused, on the monotonic clock in ms;
   * `undefined` if it may run.
   */
  blockedUntilMs(causes: RequestCauses): number | undefined {
    const nowMs = this.#options.now();
    const endsMs = [...this.#blockingCauses(causes)]
      .filter(({ cause }) => this.#trials.get(cause)?.id !== causes.id)
      .map((blocking) => this.#endMs(blocking))
      .filter((endMs) => endMs > nowMs);
    return endsMs.length === 0 ? undefined : Math.max(...endsMs);
  }

  /**
   * Records that a request is sent to a server. If it has a blocked cause, it is
   * a trial, and other requests with the cause wait for its outcome.
   */
  recordAttempt(causes: RequestCauses): void {
    const nowMs = this.#options.now();
    for (const blocking of this.#blockingCauses(causes)) {
      const { cause, record, isExplained } = blocking;
      if (this.#trials.get(cause)?.id === causes.id) continue;
      this.#trials.set(cause, { id: causes.id, startMs: nowMs });
      if (!isExplained) this.#store(cause, { ...record, probeMs: nowMs });
    }
  }

  /** Ends the trials of a request, regardless of their result. */
  recordEnd({ id, request, parts }: RequestCauses): void {
    for (const cause of [request, ...parts]) {
      if (this.#trials.get(cause)?.id === id) this.#trials.delete(cause);
    }
  }

  /** Records the crash of a server; its weights determine which causes count. */
  recordCrash(causes: RequestCauses, crash: RequestCrash): void {
    const { request, parts } = causes;
    const { server, atMs, requestWeight, partWeight } = crash;
    this.recordEnd(causes);
    const add = (
      cause: CrashCause,
      weight: number,
      companions: readonly CrashCause[],
    ) => {
      if (weight <= 0) return;
      const record = this.#records.get(cause);
      this.#store(
        cause,
        addCrash(record, { servers: [server], atMs, weight }, companions),
      );
    };
    add(request, requestWeight, []);
    const suspects = parts.filter((part) =>
      (this.#proofs.get(part) ?? -Infinity) < atMs
    );
    for (const part of suspects) {
      add(part, partWeight, suspects.filter((other) => other !== part));
    }
    this.#reportBlocked();
  }

  /** Records that a request was answered completely. */
  recordCompletion({ request, parts }: RequestCauses): void {
    this.#refute(request, this.#options.now());
    this.recordProof(parts);
  }

  /** Records that a run with `parts` had succeeded at `provenMs`. */
  recordProof(
    parts: readonly CrashCause[],
    provenMs = this.#options.now(),
  ): void {
    for (const part of parts) {
      const lastMs = Math.max(provenMs, this.#proofs.get(part) ?? -Infinity);
      this.#proofs.delete(part);
      this.#proofs.set(part, lastMs);
      this.#refute(part, lastMs);
    }
    dropOldest(this.#proofs, PROOFS_MAX);
  }

  /** Merges the reports of a peer. */
  merge(reports: readonly CrashReport[]): void {
    const nowMs = this.#options.now();
    for (const report of reports) {
      const { cause, provenAgeMs } = report;
      if (provenAgeMs !== null) this.recordProof([cause], nowMs - provenAgeMs);
      const received = recordOf(report, nowMs);
      if (received === undefined || isExpired(received, nowMs)) continue;
      const known = this.#records.get(cause);
      const merged = known === undefined
        ? received
        : mergeRecords(known, received);
      const remaining = removeRefuted(
        merged,
        this.#proofs.get(cause) ?? -Infinity,
      );
      if (remaining === undefined) {
        // The peer lacks the proof that this entry has.
        this.#changedMs.set(cause, nowMs);
      } else if (hasChanged(known, remaining)) this.#store(cause, remaining);
    }
    this.#reportBlocked();
  }

  /**
   * Returns the reports for a digest: the latest changes, and the blocked causes
   * in turn. The limits keep digests small while many servers crash.
   */
  digest(): readonly CrashReport[] {
    if (this.#records.size === 0 && this.#changedMs.size === 0) return [];
    this.#dropExpired();
    const sinceMs = this.#options.now() - FRESH_MS;
    const fresh = [...this.#changedMs]
      .filter(([, changedMs]) => changedMs > sinceMs)
      .map(([cause]) => cause)
      .toSorted((a, b) => this.#weightOf(b) - this.#weightOf(a))
      .slice(0, DIGEST_FRESH_MAX);
    const blocking = [...this.#records]
      .filter(([, record]) => isBlocking(record))
      .map(([cause]) => cause);
    const repeated = this.#repeated.next(blocking, DIGEST_REPEATED_MAX);
    const causes = new Set([...fresh, ...repeated]);
    return [...causes].map((cause) =>
      createCrashReport(cause, {
        record: this.#records.get(cause),
        provenMs: this.#proofs.get(cause),
        nowMs: this.#options.now(),
      })
    );
  }

  /** Number of possible causes that are remembered. */
  get size(): number {
    return this.#records.size;
  }

  /** Returns the causes whose requests are refused now. */
  blocked(): readonly BlockedCause[] {
    const nowMs = this.#options.now();
    return [...this.#records]
      .filter(([, record]) => isBlocking(record) && blockEndMs(record) > nowMs)
      .map(([cause, record]) => describe(cause, record));
  }

  /**
   * Yields the blocked causes of a request. Where several parts were there in
   * each crash, a request that lacks one of them may be harmless.
   */
  *#blockingCauses(
    { request, parts }: RequestCauses,
  ): Generator<BlockingCause> {
    for (const cause of [request, ...parts]) {
      const record = this.#blockingRecord(cause);
      if (record === undefined) continue;
      const lacksCompanion = record.companions.some((companion) =>
        !parts.includes(companion) &&
        this.#blockingRecord(companion) !== undefined
      );
      if (lacksCompanion) continue;
      const isExplained = this.#isExplained(cause, record, parts);
      yield { cause, record, isExplained };
    }
  }

  #blockingRecord(cause: CrashCause): CrashRecord | undefined {
    const record = this.#records.get(cause);
    if (record === undefined || !isBlocking(record)) return undefined;
    return isExpired(record, this.#options.now()) ? undefined : record;
  }

  /**
   * Whether a cause may be blocked for the crashes of another one, which the
   * request with `parts` lacks.
   */
  #isExplained(
    cause: CrashCause,
    record: CrashRecord,
    parts: readonly CrashCause[],
  ): boolean {
    return [...this.#records].some(([other, otherRecord]) =>
      other !== cause && !parts.includes(other) && isBlocking(otherRecord) &&
      isExplainedBy(record, otherRecord)
    );
  }

  #endMs({ cause, record, isExplained }: BlockingCause): number {
    if (!isExplained) return blockEndMs(record);
    const trial = this.#trials.get(cause);
    return trial === undefined ? -Infinity : trial.startMs + TRIAL_MS;
  }

  #weightOf(cause: CrashCause): number {
    const record = this.#records.get(cause);
    return record === undefined ? 0 : crashWeight(record);
  }

  #refute(cause: CrashCause, provenMs: number): void {
    const record = this.#records.get(cause);
    if (record === undefined) return;
    const remaining = removeRefuted(record, provenMs);
    if (remaining === record) return;
    if (remaining !== undefined) return this.#store(cause, remaining);
    this.#records.delete(cause);
    this.#trials.delete(cause);
    this.#changedMs.set(cause, this.#options.now());
    if (isBlocking(record)) this.#options.onCleared(cause);
  }

  #store(cause: CrashCause, record: CrashRecord): void {
    const previous = this.#records.get(cause);
    this.#records.delete(cause);
    this.#records.set(cause, record);
    this.#changedMs.set(cause, this.#options.now());
    if (this.#records.size > RECORDS_MAX) this.#dropLeastImportant();
    const wasBlocking = previous !== undefined && isBlocking(previous);
    if (isBlocking(record) && !wasBlocking) this.#newlyBlocked.push(cause);
  }

  #reportBlocked(): void {
    const causes = this.#newlyBlocked;
    this.#newlyBlocked = [];
    for (const cause of causes) {
      const record = this.#blockingRecord(cause);
      if (record !== undefined) {
        this.#options.onBlocked(describe(cause, record));
      }
    }
  }

  /** Drops the oldest record that blocks nothing, or else the oldest. */
  #dropLeastImportant(): void {
    for (const [cause, record] of this.#records) {
      if (!isBlocking(record)) return this.#drop(cause);
    }
    for (const cause of this.#records.keys()) return this.#drop(cause);
  }

  #dropExpired(): void {
    const nowMs = this.#options.now();
    for (const [cause, record] of this.#records) {
      if (isExpired(record, nowMs)) this.#drop(cause);
    }
    for (const [cause, changedMs] of this.#changedMs) {
      if (nowMs - changedMs > FRESH_MS) this.#changedMs.delete(cause);
    }
  }

  #drop(cause: CrashCause): void {
    this.#records.delete(cause);
    this.#trials.delete(cause);
    this.#changedMs.delete(cause);
  }
}

function describe(cause: CrashCause, record: CrashRecord): BlockedCause {
  return { cause, weight: crashWeight(record), endMs: blockEndMs(record) };
}

function dropOldest<Key, Value>(map: Map<Key, Value>, size: number): void {
  for (const key of map.keys()) {
    if (map.size <= size) return;
    map.delete(key);
  }
}
