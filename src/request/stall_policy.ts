/** Which silence of a stream is unusual, and what a report says of a silent run. */

import { PREFILL_TOKENS_PER_MS } from "../constants.ts";
import {
  isRestarted,
  type ServerReport,
} from "../connection/backend_report.ts";
import type { LiveServer } from "../process/live_server.ts";

/** Silence before the first event after which the server is asked, in ms. */
export const FIRST_EVENT_STALL_MS = 500;
/** The same for a run that goes on from a copy and reads nothing again, in ms. */
export const KV_COPY_FIRST_EVENT_STALL_MS = 250;
/** Shortest silence between events that is unusual, in ms; they come every 30 to 60 ms. */
const SILENCE_MIN_MS = 250;
/** Longest silence before the server is asked, in ms; the sheets allow pauses of 700. */
const SILENCE_MAX_MS = 450;
/** Silence that is unusual, as a multiple of the widest recent spacing. */
const SPACING_FACTOR = 1.5;
/** How fast a wide spacing is forgotten, per event. */
const SPACING_DECAY = 0.9;
/** Events that a server may be ahead of us; a report is older than what we got. */
const EVENTS_AHEAD_MAX = 5;
/** Reports without the run after which it counts as lost; one may be too old. */
const ABSENCES_MAX = 2;

/** How many times longer than the known prompts a first event may take: others come unseen. */
const READ_FACTOR = 3;
/** Time that a first event may take besides, in ms. */
const FIRST_EVENT_SLACK_MS = 1_000;

/**
 * Returns how long a sound server may take to the first event of a run, in ms.
 *
 * @param unreadTokens prompt tokens that the server has still to read, this
 * run's included
 */
export function firstEventTimeoutMs(unreadTokens: number): number {
  return FIRST_EVENT_SLACK_MS +
    READ_FACTOR * unreadTokens / PREFILL_TOKENS_PER_MS;
}

/** What is known of a run that fell silent. */
export interface StalledRun {
  readonly id: string;
  readonly server: LiveServer;
  /** Events received; 0 before the first. */
  readonly eventCount: number;
  /** Whether its first event should have come long ago. */
  readonly isOverdue: boolean;
  /** Earlier reports in this silence that did not list the run. */
  readonly absentReports: number;
}

/** What a report means for a silent run. */
export enum StallVerdict {
  /** The run goes on, or nothing speaks against it. */
  Alive = "alive",
  /** The report does not list the run, which may be for its age. */
  Absent = "absent",
  /** The run has ended, or its events no longer reach us. */
  Lost = "lost",
}

/** Judges a silent run by its server's report. */
export function classifyStall(
  report: ServerReport,
  { id, server, eventCount: events, isOverdue, absentReports: absences }:
    StalledRun,
): StallVerdict {
  if (isRestarted(report, server)) return StallVerdict.Lost;
  // Until its first event a run is only counted.
  const mayBeRead = report.prefilling === undefined || report.prefilling > 0;
  const isReading = events === 0 && !isOverdue && mayBeRead;
  if (report.runs === undefined || isReading) return StallVerdict.Alive;
  const run = report.runs.get(id);
  if (run !== undefined) {
    const isAhead = run.events > events + EVENTS_AHEAD_MAX;
    return isAhead ? StallVerdict.Lost : StallVerdict.Alive;
  }
  // A preempted run waits for its place in the batch.
  if (report.waiting > 0) return StallVerdict.Alive;
  return absences + 1 >= ABSENCES_MAX ? StallVerdict.Lost : StallVerdict.Absent;
}

/** Learns from the spacing of events which silence is unusual. */
export class AdaptiveStallTimeout {
  readonly #now: () => number;
  #lastMs: number | undefined;
  #spacingMs = 0;

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts before the first event. */
  static create(now: () => number): AdaptiveStallTimeout {
    return new AdaptiveStallTimeout(now);
  }

  /** Notes an event; returns the silence after it that is unusual, in ms. */
  observeEvent(): number {
    const nowMs = this.#now();
    const lastMs = this.#lastMs ?? nowMs;
    this.#lastMs = nowMs;
    this.#spacingMs = Math.max(this.#spacingMs * SPACING_DECAY, nowMs - lastMs);
    const limitMs = this.#spacingMs * SPACING_FACTOR;
    return Math.min(SILENCE_MAX_MS, Math.max(SILENCE_MIN_MS, limitMs));
  }
}
