/**
 * Writes the response of one stream to its caller as one unbroken sequence of
 * complete events, whichever attempts they come from.
 */

import type { BackendResponse } from "../connection/backend_request.ts";
import { EventSplitter, type RawEvent } from "../connection/event_splitter.ts";
import { splitIntoTurns } from "../connection/read_turns.ts";
import type { ResponseWriter } from "../connection/response_writer.ts";
import { AttemptError, FailureCause } from "../errors.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { AttemptHistory } from "./attempt_history.ts";
import type { CrashGuard } from "./crash_guard.ts";
import type { ProxyRequest } from "./proxy_request.ts";
import { AdaptiveStallTimeout } from "./stall_policy.ts";
import { StreamAssembler } from "./stream_assembler.ts";
import type { StreamAttempt } from "./stream_attempt.ts";

const MS_PER_S = 1_000;

/** Options of a `StreamResponse`. */
export interface StreamResponseOptions {
  readonly context: RelayContext;
  readonly request: ProxyRequest;
  readonly caller: ResponseWriter;
  readonly attempts: AttemptHistory;
  readonly crashGuard: CrashGuard;
}

/** The response of one stream, as far as its caller has got it. */
export class StreamResponse {
  readonly #context: RelayContext;
  readonly #request: ProxyRequest;
  readonly #caller: ResponseWriter;
  readonly #attempts: AttemptHistory;
  readonly #crashGuard: CrashGuard;
  readonly #assembler: StreamAssembler;
  #hasBegun = false;
  #interruptedAtMs: number | undefined;

  private constructor(options: StreamResponseOptions) {
    this.#context = options.context;
    this.#request = options.request;
    this.#caller = options.caller;
    this.#attempts = options.attempts;
    this.#crashGuard = options.crashGuard;
    const { isResumable, lastEventId } = options.request;
    // Only a resumable stream is sure to start after the caller's last event.
    this.#assembler = StreamAssembler.create(
      isResumable ? lastEventId : undefined,
    );
  }

  /** Creates a response that has not begun. */
  static create(options: StreamResponseOptions): StreamResponse {
    return new StreamResponse(options);
  }

  /** Whether the head was written. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /** Id of the last event written, or that the caller sent as its last. */
  get lastEventId(): string | undefined {
    return this.#assembler.lastEventId;
  }

  /** Events of the run that the current server is known to have reached. */
  get eventCount(): number {
    return this.#assembler.eventCount;
  }

  /** Starts a segment: the next events come from another attempt. */
  beginSegment(): void {
    this.#assembler.beginSegment();
  }

  /** Records that an attempt failed; the next event ends the pause. */
  recordInterruption(): void {
    if (this.#hasBegun) this.#interruptedAtMs ??= this.#context.now();
  }

  /** Aborts the response, so that it can't look complete to the caller. */
  abort(reason: string): void {
    this.#context.log(LOG_EVENTS.generationInterrupted, {
      request: this.#request.id,
      after: this.#assembler.lastEventId ?? "",
      reason,
      sendings: this.#attempts.count,
    });
    this.#caller.abort();
  }

  /**
   * Forwards the complete events of an attempt until the response's end; drops
   * the partial event of a failed attempt. Errors: `AttemptError`.
   */
  async forwardEvents(
    response: BackendResponse,
    attempt: StreamAttempt,
  ): Promise<void> {
    const { slot, stallDetector } = attempt;
    const { servers, now, log, readTurns } = this.#context;
    const splitter = EventSplitter.create();
    const stallTimeout = AdaptiveStallTimeout.create(now);
    const pace = readTurns.open(() =>
      log(LOG_EVENTS.streamReadSlowly, {
        request: this.#request.id,
        server: slot.server.name,
        after: this.lastEventId ?? "",
      })
    );
    for await (const arrived of response.body()) {
      servers.recordActivity(slot.server.name);
      for (const bytes of splitIntoTurns(arrived)) {
        const newEvents = this.#accept([...splitter.push(bytes)], attempt);
        // Other bytes do not show that the run makes progress.
        const hasProgress = newEvents.some(({ id }) => id !== undefined);
        if (hasProgress) {
          attempt.recordActivity(stallTimeout.observeEvent());
          stallDetector.pause();
        }
        if (newEvents.length > 0) await this.#write(newEvents, response);
        await pace.pause(bytes.length, attempt.signal);
        if (hasProgress) stallDetector.resume();
      }
    }
    if (splitter.hasPartialEvent) {
      throw new AttemptError(
        FailureCause.Closed,
        "stream ended in the middle of an event",
      );
    }
    if (!response.head.isFramed && this.#mustHaveEvents(attempt)) {
      throw new AttemptError(
        FailureCause.Closed,
        "stream without a length ended before its first event",
      );
    }
    if (!this.#hasBegun) this.#begin(response);
    this.#caller.end();
    const { firstEventMs = now() } = attempt.record;
    this.#crashGuard.recordCompletion(firstEventMs);
  }

  /** Returns the events to forward. Errors: `AttemptError`. */
  #accept(
    events: readonly RawEvent[],
    attempt: StreamAttempt,
  ): readonly RawEvent[] {
    if (events.length === 0) return events;
    this.#crashGuard.recordEvents(attempt.record, events.length);
    attempt.markEventsSeen();
    return this.#assembler.accept(events);
  }

  async #write(
    events: readonly RawEvent[],
    response: BackendResponse,
  ): Promise<void> {
    if (!this.#hasBegun) this.#begin(response);
    this.#recordResume(events);
    await this.#caller.write(Buffer.concat(events.map(({ bytes }) => bytes)));
  }

  /** Whether an attempt without events can't be a complete response. */
  #mustHaveEvents({ record }: StreamAttempt): boolean {
    const isAtEnd = this.#request.lastEventId !== undefined && !this.#hasBegun;
    return record.eventCount === 0 && !isAtEnd;
  }

  #begin(response: BackendResponse): void {
    const { metrics, now } = this.#context;
    this.#hasBegun = true;
    const elapsedMs = now() - this.#request.receivedMs;
    this.#context.log(LOG_EVENTS.streamStarted, {
      request: this.#request.id,
      took_ms: Math.round(elapsedMs),
      sendings: this.#attempts.count,
    });
    metrics.firstByteSeconds.observe(
      { route: this.#request.route },
      elapsedMs / MS_PER_S,
    );
    this.#caller.writeHead(response.head);
  }

  #recordResume([first]: readonly RawEvent[]): void {
    if (this.#interruptedAtMs === undefined) return;
    const { metrics, log, now } = this.#context;
    const pauseMs = now() - this.#interruptedAtMs;
    this.#interruptedAtMs = undefined;
    metrics.resumeSeconds.observe(pauseMs / MS_PER_S);
    log(LOG_EVENTS.generationResumed, {
      request: this.#request.id,
      after: first?.id ?? "",
      pause_ms: Math.round(pauseMs),
    });
  }
}
