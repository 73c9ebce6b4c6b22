/**
 * Joins what several servers make of one stream: each event reaches the caller
 * once, in the order of its id, and nothing is left out where two parts meet.
 */

import type { RawEvent } from "../connection/event_splitter.ts";
import { AttemptError, FailureCause } from "../errors.ts";

/** How far the answer to one stream has come. */
export class StreamAssembler {
  #lastId: string | undefined;
  /** Whether all ids so far were one higher than the one before. */
  #isCounting = true;
  /** Whether the next event is the first of another part. */
  #isJoint = true;
  /** Count of events from the present server, or its highest id. */
  #events = 0;

  private constructor(resumeAfter: string | undefined) {
    this.#lastId = resumeAfter;
  }

  /** Starts after the event that the caller has already, if it said so. */
  static create(resumeAfter: string | undefined): StreamAssembler {
    return new StreamAssembler(resumeAfter);
  }

  /** Id of the last event passed on. */
  get lastEventId(): string | undefined {
    return this.#lastId;
  }

  /** Events of the run that its present server is known to have made. */
  get eventCount(): number {
    return this.#events;
  }

  /** Notes that the next events come from another server. */
  beginSegment(): void {
    this.#isJoint = true;
    this.#events = 0;
  }

  /**
   * Returns the events to pass on; those that were passed on before are left out.
   *
   * Errors: `AttemptError` when events are missing between two parts.
   */
  accept(events: readonly RawEvent[]): readonly RawEvent[] {
    const fresh = events.filter((event) => this.#take(event));
    // Ids count the events of a run from 1, across the servers it ran on.
    this.#events = Number(this.#lastId) || this.#events + events.length;
    return fresh;
  }

  #take({ id }: RawEvent): boolean {
    // The protocol gives every event an id; one without can't be a repetition.
    if (id === undefined) return true;
    if (this.#lastId !== undefined) {
      const step = Number(id) - Number(this.#lastId);
      if (step <= 0) return false;
      this.#checkStep(step, id);
    }
    this.#isJoint = false;
    this.#lastId = id;
    return true;
  }

  #checkStep(step: number, id: string): void {
    if (!this.#isJoint && step !== 1) this.#isCounting = false;
    if (!this.#isJoint || !this.#isCounting || step === 1) return;
    const detail = `goes on with event ${id} after ${this.#lastId}`;
    throw new AttemptError(FailureCause.PositionGap, detail);
  }
}
