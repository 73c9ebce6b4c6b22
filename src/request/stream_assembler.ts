/**
 * Joins the segments of one stream that several servers produce: each event
 * reaches the caller once, in the order of ids, with no gap between segments.
 */

import type { RawEvent } from "../connection/event_splitter.ts";
import { AttemptError, FailureCause } from "../errors.ts";

/**
 * Bytes of events that may arrive without a new id. A server that ignores the
 * id to resume after repeats the stream; one of 4,000 events has this size.
 */
const REPEATED_MAX_BYTES = 1_048_576;

/** The position of one stream's response. */
export class StreamAssembler {
  #lastEventId: string | undefined;
  /** Whether each id within a segment was one higher than the one before. */
  #hasConsecutiveIds = true;
  /** Whether the next event is the first of a segment. */
  #isSegmentStart = true;
  /** Last id, or without numeric ids the events from the current server. */
  #eventCount = 0;
  /** Bytes of events since the last new id of this segment. */
  #repeatedBytes = 0;

  private constructor(resumeAfter: string | undefined) {
    this.#lastEventId = resumeAfter;
  }

  /** Starts after the event id that the caller sent as its last, if any. */
  static create(resumeAfter: string | undefined): StreamAssembler {
    return new StreamAssembler(resumeAfter);
  }

  /** Id of the last event accepted. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Events of the run that the current server is known to have reached. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Starts a segment: the next events come from another attempt. */
  beginSegment(): void {
    this.#isSegmentStart = true;
    this.#eventCount = 0;
    this.#repeatedBytes = 0;
  }

  /**
   * Returns the events to forward, without those that were forwarded before.
   *
   * Errors: `AttemptError` if events are missing between two segments, or if
   * events arrive without end but none has a new id.
   */
  accept(events: readonly RawEvent[]): readonly RawEvent[] {
    const newEvents = events.filter((event) => this.#acceptEvent(event));
    // Engines number the events of a run from 1, across the servers it ran on.
    this.#eventCount = Number(this.#lastEventId) ||
      this.#eventCount + events.length;
    return newEvents;
  }

  #acceptEvent({ id, bytes }: RawEvent): boolean {
    this.#countRepeated(bytes.length);
    // The protocol gives every event an id; one without can't be a duplicate.
    if (id === undefined) return true;
    if (this.#lastEventId !== undefined) {
      const step = Number(id) - Number(this.#lastEventId);
      if (step <= 0) return false;
      this.#checkGap(step, id);
    }
    this.#isSegmentStart = false;
    this.#lastEventId = id;
    this.#repeatedBytes = 0;
    return true;
  }

  #countRepeated(bytes: number): void {
    this.#repeatedBytes += bytes;
    if (this.#repeatedBytes <= REPEATED_MAX_BYTES) return;
    throw new AttemptError(
      FailureCause.Closed,
      `no new event in ${REPEATED_MAX_BYTES} bytes`,
    );
  }

  #checkGap(step: number, id: string): void {
    if (!this.#isSegmentStart && step !== 1) this.#hasConsecutiveIds = false;
    if (!this.#isSegmentStart || !this.#hasConsecutiveIds || step === 1) return;
    const detail =
      `segment starts at event ${id}, but the last was ${this.#lastEventId}`;
    throw new AttemptError(FailureCause.PositionGap, detail);
  }
}
