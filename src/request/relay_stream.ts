/**
 * Relays a stream of events to its caller as one unbroken answer: when a server
 * is lost, the stream goes on at another one after the last event delivered,
 * from a copy of the run's memory where there is one.
 */

import {
  type BackendResponse,
  collectBody,
} from "../connection/backend_request.ts";
import { EventSplitter, type RawEvent } from "../connection/event_splitter.ts";
import { AttemptError, FailureCause, RequestError } from "../errors.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { RecentFailure } from "../process/choose_server.ts";
import type { LiveServer } from "../process/live_server.ts";
import { ServerFailure } from "../process/server_ejection.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { AttemptProgress } from "./attempt_progress.ts";
import { isPoisonRequest } from "./poison_request.ts";
import { effectiveDeadlineMs, type ProxyRequest } from "./proxy_request.ts";
import { AttemptHistory } from "./attempt_history.ts";
import {
  acquireSlot,
  prefillLoad,
  requestLoad,
  reserveLoad,
} from "./acquire_slot.ts";
import { logAttempt, recordAttemptFailure } from "./attempt_reporting.ts";
import type { KvCopy } from "./kv_copy_manager.ts";
import { type ProxyExchange, RequestOutcome } from "./serve_request.ts";
import { AdaptiveStallTimeout } from "./stall_policy.ts";
import { StreamAttempt, type StreamSlot } from "./stream_attempt.ts";
import { StreamAssembler } from "./stream_assembler.ts";
import { streamQueueLimits } from "./stream_queue_limits.ts";

/** How one sending ended. */
enum Ending {
  Whole,
  /** A failure of the server that was passed on. */
  Failed,
  Lost,
}

const MS_PER_S = 1_000;
const SUCCESS_MIN = 200;
const SUCCESS_MAX = 299;

/** Relays one stream. Errors: `RequestError`, only before the answer began. */
export function relayStream(
  context: RelayContext,
  exchange: ProxyExchange,
): Promise<RequestOutcome> {
  return StreamRelay.create(context, exchange).run();
}

/** The state of one stream between its caller and its servers. */
class StreamRelay {
  readonly #context: RelayContext;
  readonly #exchange: ProxyExchange;
  readonly #order: ProxyRequest;
  readonly #attempts: AttemptHistory;
  readonly #lost = new Set<string>();
  /** Servers that lost an answer and got the stream once more. */
  readonly #returned = new Set<string>();
  readonly #splice: StreamAssembler;
  #hasBegun = false;
  #lostAtMs: number | undefined;
  /** Where the last sending was lost, unless its server was sound. */
  #lostZone: RecentFailure | undefined;
  /** Copy of the run as the last sending left it. */
  #copy: KvCopy | undefined;
  #isTimeUp = false;
  #reason = "no backend server took it in time";

  private constructor(context: RelayContext, exchange: ProxyExchange) {
    this.#context = context;
    this.#exchange = exchange;
    this.#order = exchange.request;
    this.#attempts = AttemptHistory.create(exchange.request);
    const { isResumable, lastEventId: resumeAfter } = exchange.request;
    // Elsewhere a server need not go on where the caller asks it to.
    this.#splice = StreamAssembler.create(
      isResumable ? resumeAfter : undefined,
    );
  }

  static create(context: RelayContext, exchange: ProxyExchange): StreamRelay {
    return new StreamRelay(context, exchange);
  }

  async run(): Promise<RequestOutcome> {
    const release = this.#context.promptCacheIndex.trackOpenStream(
      this.#order.promptKey,
    );
    try {
      return await this.#runHeld();
    } finally {
      release();
    }
  }

  async #runHeld(): Promise<RequestOutcome> {
    const { caller } = this.#exchange;
    while (!caller.signal.aborted && this.#maySend()) {
      const seat = this.#seatOnCopy() ?? await this.#seat();
      if (seat === undefined) break;
      const ending = await this.#sendOnce(seat);
      if (ending === Ending.Whole) return RequestOutcome.Answered;
      if (ending === Ending.Failed) return RequestOutcome.ServerFailed;
    }
    if (caller.signal.aborted) return RequestOutcome.CallerGone;
    return this.#giveUp();
  }

  /** Ends the answer truthfully: a refusal, or a break that can't look whole. */
  #giveUp(): RequestOutcome {
    if (!this.#hasBegun) {
      throw this.#attempts.refusal(this.#reason, this.#context.now());
    }
    this.#context.log(LOG_EVENTS.generationInterrupted, {
      request: this.#order.id,
      after: this.#splice.lastEventId ?? "",
      reason: this.#reason,
      sendings: this.#attempts.count,
    });
    this.#exchange.caller.abort();
    return RequestOutcome.BrokenOff;
  }

  #maySend(): boolean {
    if (
      this.#isTimeUp || effectiveDeadlineMs(this.#order) <= this.#context.now()
    ) {
      this.#reason = "time limit reached";
      return false;
    }
    if (this.#attempts.count === 0) return true;
    if (!this.#attempts.canRetry) return false;
    if (isPoisonRequest(this.#context, this.#order)) return false;
    return this.#context.retryBudget.takeRetry(this.#order.service);
  }

  /** Goes on at the server that holds a copy, whatever its load. */
  #seatOnCopy(): StreamSlot | undefined {
    const copy = this.#copy;
    this.#copy = undefined;
    if (copy === undefined) return undefined;
    const { server } = copy;
    if (!this.#context.servers.isUsable(server.name)) return undefined;
    const load = requestLoad(this.#order);
    const close = reserveLoad(this.#context, { name: server.name, load });
    return {
      server,
      kvCopy: copy,
      release: close,
      endPrefill: () => undefined,
    };
  }

  /** Waits for a place; `undefined` when there is none in time. */
  async #seat(): Promise<StreamSlot | undefined> {
    const { now, promptCacheIndex: prompts } = this.#context;
    const order = this.#order;
    if (!this.#hasServer()) this.#lost.clear();
    const load = prefillLoad(order);
    let endReading = () => {};
    try {
      const place = await acquireSlot(this.#context, order, {
        ...streamQueueLimits(order, { hasBegun: this.#hasBegun, nowMs: now() }),
        excluded: this.#lost,
        signal: this.#exchange.caller.signal,
        isResumed: this.#hasBegun,
        ...(this.#lostZone === undefined
          ? {}
          : { recentFailure: this.#lostZone }),
        preferred: prompts.findServer(order.promptKey),
        onAssigned: (name) => {
          endReading = reserveLoad(this.#context, { name, load });
        },
      });
      const server = place.server as LiveServer;
      return { server, release: place.release, endPrefill: endReading };
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      this.#reason = error.message;
      return undefined;
    }
  }

  /** Whether any server that did not lose the stream could take it. */
  #hasServer(): boolean {
    const { service, kvCacheTokens: memoryTokens } = this.#order;
    return this.#context.servers.canServe({
      service,
      tokens: memoryTokens,
      excluded: this.#lost,
    });
  }

  async #sendOnce(seat: StreamSlot): Promise<Ending> {
    const { caller } = this.#exchange;
    this.#splice.beginSegment();
    const sending = StreamAttempt.create({
      context: this.#context,
      request: this.#order,
      slot: seat,
      record: this.#attempts.add(seat.server.name),
      excluded: this.#lost,
      eventCount: () => this.#splice.eventCount,
    });
    this.#log(sending);
    try {
      const answer = await this.#open(sending);
      if (answer.hasNotRun) {
        this.#noteNotRun(sending, answer);
        return Ending.Lost;
      }
      sending.record.progress = AttemptProgress.KnownRun;
      this.#context.promptCacheIndex.record(
        this.#order.promptKey,
        seat.server.name,
      );
      return await this.#take(answer, sending);
    } catch (error) {
      if (!(error instanceof AttemptError)) throw error;
      if (!caller.signal.aborted) await this.#noteLoss(sending, error);
      return Ending.Lost;
    } finally {
      sending.close(this.#copy === undefined);
    }
  }

  #log({ slot: seat, kvCopyManager: copies }: StreamAttempt): void {
    const { promptKey: prompt } = this.#order;
    logAttempt(this.#context, {
      request: this.#order,
      server: seat.server,
      details: {
        from_copy: seat.kvCopy !== undefined,
        after: this.#splice.lastEventId ?? "",
        backup: copies.backup?.name ?? "",
        prompt,
        read_at: this.#context.promptCacheIndex.findServer(prompt) ?? "",
      },
    });
  }

  #open(
    { slot: seat, kvCopyManager: copies, record: entry, signal }: StreamAttempt,
  ): Promise<BackendResponse> {
    const { caller, open } = this.#exchange;
    return open({
      server: seat.server,
      timeoutMs: effectiveDeadlineMs(this.#order) - this.#context.now(),
      lastEventId: this.#splice.lastEventId ?? this.#order.lastEventId,
      copy: seat.kvCopy,
      backup: copies.backup,
      signal: AbortSignal.any([caller.signal, signal]),
      onSent: () => entry.progress = AttemptProgress.Sent,
    });
  }

  #noteNotRun(
    { slot: seat, record: entry }: StreamAttempt,
    { isMisdirected: isReplaced }: BackendResponse,
  ): void {
    const { servers } = this.#context;
    const { server, kvCopy: copy } = seat;
    entry.progress = AttemptProgress.KnownNotRun;
    // A server without the copy is sound; the order starts anew.
    if (isReplaced) servers.eject(server.name, ServerFailure.Replaced);
    else if (copy === undefined) servers.markFull(server.name);
  }

  async #noteLoss(sending: StreamAttempt, error: AttemptError): Promise<void> {
    const { slot: seat, record: entry, kvCopyManager: copies } = sending;
    const { server } = seat;
    this.#copy = copies.copy;
    this.#reason = error.message;
    this.#isTimeUp = error.failureCause === FailureCause.DeadlineExceeded;
    const isAlive = error.failureCause === FailureCause.Stalled ||
      error.failureCause === FailureCause.Rejected;
    this.#lostZone = isAlive
      ? undefined
      : { zone: server.zone, atMs: this.#context.now() };
    this.#lost.add(server.name);
    if (this.#hasBegun) this.#lostAtMs ??= this.#context.now();
    const loss = { request: this.#order, record: entry, server, error };
    const provesSound = recordAttemptFailure(this.#context, loss);
    if (this.#copy !== undefined || !sending.mayHavePrefilled) return;
    if (!this.#attempts.canRetry) return;
    if (await provesSound) this.#returnTo(server);
  }

  /** Lets the stream go once more to a server that lives and has read its prompt. */
  #returnTo({ name }: LiveServer): void {
    if (this.#returned.has(name)) return;
    this.#returned.add(name);
    this.#lost.delete(name);
    this.#lostZone = undefined;
    this.#context.promptCacheIndex.record(this.#order.promptKey, name);
  }

  async #take(
    answer: BackendResponse,
    sending: StreamAttempt,
  ): Promise<Ending> {
    const { status } = answer.head;
    const isSuccess = status >= SUCCESS_MIN && status <= SUCCESS_MAX;
    if (isSuccess) return await this.#relay(answer, sending);
    const body = await collectBody(answer);
    const mayRetry = this.#attempts.canRetry;
    if (this.#hasBegun || mayRetry) {
      this.#lost.add(sending.slot.server.name);
      throw new AttemptError(FailureCause.Rejected, `status ${status}`);
    }
    this.#exchange.caller.send(answer.head, body);
    return Ending.Failed;
  }

  /** Passes whole events on; what a lost server left unfinished is dropped. */
  async #relay(
    answer: BackendResponse,
    sending: StreamAttempt,
  ): Promise<Ending> {
    const { slot: seat, stallDetector: guard } = sending;
    const { caller } = this.#exchange;
    const { servers, now } = this.#context;
    const splitter = EventSplitter.create();
    const spacing = AdaptiveStallTimeout.create(now);
    for await (const bytes of answer.body()) {
      servers.recordActivity(seat.server.name);
      const events = [...splitter.push(bytes)];
      guard.recordActivity(spacing.observeEvent());
      if (events.length === 0) continue;
      sending.markEventsSeen();
      const fresh = this.#splice.accept(events);
      if (fresh.length === 0) continue;
      guard.pause();
      if (!this.#hasBegun) this.#begin(answer);
      this.#noteResumed(fresh);
      await caller.write(Buffer.concat(fresh.map((event) => event.bytes)));
      guard.resume();
    }
    if (splitter.hasPartialEvent) {
      throw new AttemptError(
        FailureCause.Closed,
        "stream ended inside an event",
      );
    }
    if (!this.#hasBegun) this.#begin(answer);
    caller.end();
    return Ending.Whole;
  }

  #begin(answer: BackendResponse): void {
    const { metrics, now } = this.#context;
    this.#hasBegun = true;
    const tookMs = now() - this.#order.receivedMs;
    this.#context.log(LOG_EVENTS.streamStarted, {
      request: this.#order.id,
      took_ms: Math.round(tookMs),
      sendings: this.#attempts.count,
    });
    metrics.firstByteSeconds.observe(
      { route: this.#order.route },
      tookMs / MS_PER_S,
    );
    this.#exchange.caller.writeHead(answer.head);
  }

  #noteResumed([first]: readonly RawEvent[]): void {
    if (this.#lostAtMs === undefined) return;
    const { metrics, log, now } = this.#context;
    const pauseMs = now() - this.#lostAtMs;
    this.#lostAtMs = undefined;
    metrics.resumeSeconds.observe(pauseMs / MS_PER_S);
    log(LOG_EVENTS.generationResumed, {
      request: this.#order.id,
      after: first?.id ?? "",
      pause_ms: Math.round(pauseMs),
    });
  }
}
