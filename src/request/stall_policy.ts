/** When a stream counts as stalled, and what a report shows of a stalled run. */

import { PREFILL_TOKENS_PER_MS } from "../constants.ts";
import {
  isRestarted,
  type ServerReport,
} from "../connection/backend_report.ts";
import type { RegisteredServer } from "../process/registered_server.ts";

/** Longest time without a first event before the report is fetched, in ms. */
const FIRST_EVENT_STALL_MAX_MS = 500;
/** Shortest such time, in ms. */
const FIRST_EVENT_STALL_MIN_MS = 200;
/** The same for a run resumed from a KV copy, which needs no prefill, in ms. */
const KV_COPY_FIRST_EVENT_STALL_MS = 250;
/** Reports that are fetched within a request's target, if in these limits. */
const REPORTS_PER_TARGET = 20;
/** Shortest stall timeout between events, in ms; they are 30 to 60 ms apart. */
const STALL_TIMEOUT_MIN_MS = 250;
/**
 * Longest stall timeout between events, in ms. Engines may pause for 700 ms,
 * but a stall only causes a report to be fetched.
 */
const STALL_TIMEOUT_MAX_MS = 450;
/** Stall timeout as a multiple of the longest recent interval of events. */
const EVENT_INTERVAL_FACTOR = 1.5;
/** Factor by which a long interval decays with each event. */
const EVENT_INTERVAL_DECAY = 0.9;
/**
 * A run's events are late if a report lists more than this many events beyond
 * those received; a report is normally older than the stream.
 */
const EVENTS_AHEAD_MAX = 5;
/** Reports without the run after which it counts as lost; one may be stale. */
const ABSENT_REPORTS_MAX = 2;

/**
 * Multiple of the expected prefill time that a first event may take; the server
 * may have prompts that this entry does not know of.
 */
const PREFILL_TIMEOUT_FACTOR = 3;
/** Time allowed for a first event in addition to the prefill, in ms. */
const FIRST_EVENT_MARGIN_MS = 1_000;

/**
 * Returns the time without a first event after which the server's report is
 * fetched, in ms.
 *
 * Answers the load of urgent streams whose server goes dark while it prefills
 * their prompts: another one has to read it from the start, which takes half of
 * the target, so each part of a second counts that passes unnoticed.
 */
export function firstEventStallMs(
  { targetMs, hasKvCopy }: {
    /** Target for the request's first event, in ms. */
    readonly targetMs: number;
    /** Whether the run resumes from a KV copy. */
    readonly hasKvCopy: boolean;
  },
): number {
  if (hasKvCopy) return KV_COPY_FIRST_EVENT_STALL_MS;
  return Math.min(
    FIRST_EVENT_STALL_MAX_MS,
    Math.max(FIRST_EVENT_STALL_MIN_MS, targetMs / REPORTS_PER_TARGET),
  );
}

/**
 * Returns how long a healthy server may take to a run's first event, in ms.
 *
 * @param unreadTokens prompt tokens that the server has still to prefill,
 * including those of this run
 */
export function firstEventTimeoutMs(unreadTokens: number): number {
  return FIRST_EVENT_MARGIN_MS +
    PREFILL_TIMEOUT_FACTOR * unreadTokens / PREFILL_TOKENS_PER_MS;
}

/** What is known of a stalled run. */
export interface StalledRun {
  readonly id: string;
  readonly server: RegisteredServer;
  /** Events received; 0 before the first. */
  readonly eventCount: number;
  /** Whether the timeout for its first event has passed. */
  readonly isOverdue: boolean;
  /** Earlier reports during this stall that did not list the run. */
  readonly absentReports: number;
}

/** What a report means for a stalled run. */
export enum StallVerdict {
  /** The run is in progress, or the report does not contradict that. */
  Alive = "alive",
  /** The report does not list the run, but it may be stale. */
  Absent = "absent",
  /** The run may be in progress, but its events are late. */
  Late = "late",
  /** The run has ended. */
  Lost = "lost",
}

/** Classifies a stalled run by its server's report. */
export function classifyStall(
  report: ServerReport,
  { id, server, eventCount, isOverdue, absentReports }: StalledRun,
): StallVerdict {
  if (isRestarted(report, server)) return StallVerdict.Lost;
  // Before its first event a run is not listed, only counted as prefilling.
  const mayPrefill = report.prefilling === undefined || report.prefilling > 0;
  const isPrefilling = eventCount === 0 && !isOverdue && mayPrefill;
  if (report.runs === undefined || isPrefilling) return StallVerdict.Alive;
  const run = report.runs.get(id);
  if (run !== undefined) {
    const isAhead = run.events > eventCount + EVENTS_AHEAD_MAX;
    return isAhead ? StallVerdict.Late : StallVerdict.Alive;
  }
  // A preempted run waits for a slot in the batch and is not listed meanwhile.
  if (report.waiting > 0) return StallVerdict.Alive;
  if (absentReports + 1 < ABSENT_REPORTS_MAX) return StallVerdict.Absent;
  return eventCount === 0 && mayPrefill ? StallVerdict.Late : StallVerdict.Lost;
}

/** Adapts the stall timeout to the intervals between events. */
export class AdaptiveStallTimeout {
  readonly #now: () => number;
  #lastEventMs: number | undefined;
  #intervalMs = 0;

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts before the first event. */
  static create(now: () => number): AdaptiveStallTimeout {
    return new AdaptiveStallTimeout(now);
  }

  /** Records an event; returns the stall timeout after it, in ms. */
  observeEvent(): number {
    const nowMs = this.#now();
    const lastEventMs = this.#lastEventMs ?? nowMs;
    this.#lastEventMs = nowMs;
    this.#intervalMs = Math.max(
      this.#intervalMs * EVENT_INTERVAL_DECAY,
      nowMs - lastEventMs,
    );
    const timeoutMs = this.#intervalMs * EVENT_INTERVAL_FACTOR;
    return Math.min(
      STALL_TIMEOUT_MAX_MS,
      Math.max(STALL_TIMEOUT_MIN_MS, timeoutMs),
    );
  }
}
