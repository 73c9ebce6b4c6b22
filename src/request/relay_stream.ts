/**
 * Relays a stream of events to its caller as one unbroken response. When an
 * attempt fails, another server resumes the stream after the last event
 * delivered, from a copy of the run's KV cache if there is one.
 */

import {
  type BackendResponse,
  collectBody,
} from "../connection/backend_request.ts";
import { EventSplitter, type RawEvent } from "../connection/event_splitter.ts";
import { AttemptError, FailureCause, RequestError } from "../errors.ts";
import { DrainingSource } from "../process/leaving_servers.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { RecentFailure } from "../process/choose_server.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import { ServerFailure } from "../process/server_ejection.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { AttemptProgress } from "./attempt_progress.ts";
import { PoisonGuard } from "./poison_guard.ts";
import { effectiveDeadlineMs, type ProxyRequest } from "./proxy_request.ts";
import { AttemptHistory } from "./attempt_history.ts";
import {
  type AttemptFailure,
  logAttempt,
  logAttemptFailure,
  recordAttemptFailure,
} from "./attempt_reporting.ts";
import { createRefusal } from "./create_refusal.ts";
import type { KvCopy } from "./kv_copy_manager.ts";
import { resumeDelayMs, waitForRetry } from "./resume_policy.ts";
import { type ProxyExchange, RequestOutcome } from "./serve_request.ts";
import { AdaptiveStallTimeout } from "./stall_policy.ts";
import { StreamAttempt } from "./stream_attempt.ts";
import {
  acquireStreamSlot,
  releaseSlot,
  reserveKvCopySlot,
  type StreamSlot,
} from "./stream_slot.ts";
import { StreamAssembler } from "./stream_assembler.ts";
import { streamQueueLimits } from "./stream_queue_limits.ts";

/** How one attempt ended. */
enum AttemptOutcome {
  Complete,
  /** An error response of the server was forwarded to the caller. */
  ServerError,
  Failed,
}

const MS_PER_S = 1_000;
const SUCCESS_MIN = 200;
const SUCCESS_MAX = 299;
const SERVER_ERROR = 500;

/** Relays one stream. Errors: `RequestError` before the response begins. */
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
  readonly #request: ProxyRequest;
  readonly #attempts: AttemptHistory;
  readonly #failedServers = new Set<string>();
  /** Healthy servers that were allowed another attempt after a failed one. */
  readonly #reusedServers = new Set<string>();
  readonly #assembler: StreamAssembler;
  readonly #poisonGuard: PoisonGuard;
  #hasBegun = false;
  #interruptedAtMs: number | undefined;
  /** Zone of the last failed attempt, unless its server is healthy. */
  #recentFailure: RecentFailure | undefined;
  /** Copy of the run's KV cache that the last attempt left. */
  #kvCopy: KvCopy | undefined;
  #isDeadlineExceeded = false;
  /** The next attempt, for which a retry was taken from the budget. */
  #replacement: { readonly slot: StreamSlot | undefined } | undefined;
  #failureReason = "no backend server accepted the request in time";

  private constructor(context: RelayContext, exchange: ProxyExchange) {
    this.#context = context;
    this.#exchange = exchange;
    this.#request = exchange.request;
    this.#attempts = AttemptHistory.create(exchange.request);
    this.#poisonGuard = PoisonGuard.create(context, exchange.request);
    const { isResumable, lastEventId } = exchange.request;
    // Only a resumable stream is sure to start after the caller's last event.
    this.#assembler = StreamAssembler.create(
      isResumable ? lastEventId : undefined,
    );
  }

  static create(context: RelayContext, exchange: ProxyExchange): StreamRelay {
    return new StreamRelay(context, exchange);
  }

  async run(): Promise<RequestOutcome> {
    const release = this.#context.promptCacheIndex.trackOpenStream(
      this.#request.promptKey,
    );
    try {
      return await this.#runAttempts();
    } finally {
      release();
      releaseSlot(this.#takeReplacementSlot());
    }
  }

  async #runAttempts(): Promise<RequestOutcome> {
    const { caller } = this.#exchange;
    while (!caller.signal.aborted && await this.#canAttempt()) {
      const slot = await this.#nextSlot();
      if (slot === undefined) break;
      if (this.#isBlocked() || this.#isOverdue()) {
        releaseSlot(slot);
        break;
      }
      const outcome = await this.#runAttempt(slot);
      if (outcome === AttemptOutcome.Complete) return RequestOutcome.Answered;
      if (outcome === AttemptOutcome.ServerError) {
        return RequestOutcome.ServerFailed;
      }
    }
    if (caller.signal.aborted) return RequestOutcome.CallerGone;
    return this.#endIncomplete();
  }

  /**
   * Refuses the request, or aborts a response that has begun, so that it can't
   * look complete to the caller.
   */
  #endIncomplete(): RequestOutcome {
    if (!this.#hasBegun) {
      throw createRefusal(this.#context, {
        request: this.#request,
        attempts: this.#attempts,
        reason: this.#failureReason,
      });
    }
    this.#context.log(LOG_EVENTS.generationInterrupted, {
      request: this.#request.id,
      after: this.#assembler.lastEventId ?? "",
      reason: this.#failureReason,
      sendings: this.#attempts.count,
    });
    this.#exchange.caller.abort();
    return RequestOutcome.BrokenOff;
  }

  async #canAttempt(): Promise<boolean> {
    if (this.#isOverdue()) return false;
    if (this.#attempts.count === 0) return true;
    if (!this.#canRetry) return false;
    if (this.#isBlocked()) return false;
    return this.#replacement !== undefined || await this.#takeRetry();
  }

  /** Whether the deadline has passed. */
  #isOverdue(): boolean {
    const isOverdue = this.#isDeadlineExceeded ||
      effectiveDeadlineMs(this.#request) <= this.#context.now();
    if (isOverdue) this.#failureReason = "request deadline exceeded";
    return isOverdue;
  }

  /** Whether the stream must not be sent to a server. */
  #isBlocked(): boolean {
    const rejection = this.#rejection();
    if (rejection !== undefined) this.#failureReason = rejection.message;
    return rejection !== undefined;
  }

  /**
   * Returns why the stream must not be sent to a server, if so: it, or a part of
   * its prompt, has crashed too many, or the entry shuts down. One that has
   * begun goes on as long as the process lasts.
   */
  #rejection(): RequestError | undefined {
    const rejection = this.#poisonGuard.rejection();
    if (rejection !== undefined || this.#hasBegun) return rejection;
    return this.#context.shutdownAdmission.rejection(this.#request.kind);
  }

  get #canRetry(): boolean {
    return this.#hasBegun ? this.#attempts.canResume : this.#attempts.canRetry;
  }

  /** Takes a retry from the budget; waits for one if the stream has begun. */
  async #takeRetry(): Promise<boolean> {
    const request = this.#request;
    if (!this.#hasBegun) {
      return this.#context.retryBudget.takeRetry(request.service);
    }
    const hasRetry = await waitForRetry(this.#context, {
      request,
      signal: this.#exchange.caller.signal,
      delayMs: resumeDelayMs(this.#attempts.notRunInARow),
    });
    if (!hasRetry) this.#failureReason = "request deadline exceeded";
    return hasRetry;
  }

  /** Returns the next attempt's slot; `undefined` if none becomes free. */
  async #nextSlot(): Promise<StreamSlot | undefined> {
    const replacement = this.#takeReplacementSlot();
    const kvCopySlot = this.#reserveKvCopySlot();
    if (kvCopySlot === undefined) {
      return replacement ?? await this.#acquireSlot();
    }
    releaseSlot(replacement);
    return kvCopySlot;
  }

  #takeReplacementSlot(): StreamSlot | undefined {
    const slot = this.#replacement?.slot;
    this.#replacement = undefined;
    // The server may have asked for a pause since the slot was reserved.
    if (slot === undefined || !this.#context.servers.isHeldOff(slot.server)) {
      return slot;
    }
    releaseSlot(slot);
    return undefined;
  }

  #reserveKvCopySlot(): StreamSlot | undefined {
    const kvCopy = this.#kvCopy;
    this.#kvCopy = undefined;
    return kvCopy && reserveKvCopySlot(this.#context, this.#request, kvCopy);
  }

  /** Waits for a slot; `undefined` if none becomes free in time. */
  async #acquireSlot(): Promise<StreamSlot | undefined> {
    const { waitMs } = streamQueueLimits(this.#request, {
      hasBegun: this.#hasBegun,
      nowMs: this.#context.now(),
    });
    if (!this.#hasEligibleServer(waitMs)) this.#failedServers.clear();
    try {
      return await acquireStreamSlot(this.#context, this.#request, {
        excluded: this.#failedServers,
        signal: this.#exchange.caller.signal,
        hasBegun: this.#hasBegun,
        recentFailure: this.#recentFailure,
        rejection: () => this.#rejection(),
      });
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      this.#failureReason = error.message;
      return undefined;
    }
  }

  /**
   * Whether any server on which the stream has not failed could serve it, and
   * has no pause that lasts longer than `waitMs`.
   */
  #hasEligibleServer(waitMs: number): boolean {
    const { servers, now } = this.#context;
    const { service, kvCacheTokens } = this.#request;
    const criteria = {
      service,
      tokens: kvCacheTokens,
      excluded: this.#failedServers,
    };
    const heldOffUntilMs = servers.heldOffUntilMs(criteria) ?? 0;
    return servers.canServe(criteria) && heldOffUntilMs <= now() + waitMs;
  }

  async #runAttempt(slot: StreamSlot): Promise<AttemptOutcome> {
    const { caller } = this.#exchange;
    this.#assembler.beginSegment();
    const attempt = StreamAttempt.create({
      context: this.#context,
      request: this.#request,
      slot,
      record: this.#attempts.add(slot.server.name),
      excluded: this.#failedServers,
      canRetry: () => this.#canRetry && this.#rejection() === undefined,
      acquireReplacement: (criteria) =>
        acquireStreamSlot(this.#context, this.#request, {
          ...criteria,
          hasBegun: true,
          rejection: () => this.#rejection(),
        }),
      onReplaced: (slot) => this.#replacement = { slot },
      eventCount: () => this.#assembler.eventCount,
    });
    this.#logAttempt(attempt);
    this.#poisonGuard.recordAttempt();
    try {
      const response = await this.#sendToServer(attempt);
      if (response.isServerLeaving) {
        this.#context.servers.markLeaving(slot.server, DrainingSource.Answer);
      }
      if (response.hasNotRun) {
        this.#handleNotRun(attempt, response);
        return AttemptOutcome.Failed;
      }
      attempt.record.progress = AttemptProgress.KnownRun;
      attempt.record.respondedMs = this.#context.now();
      this.#context.servers.recordAcceptance(slot.server);
      this.#context.promptCacheIndex.record(
        this.#request.promptKey,
        slot.server.name,
      );
      return await this.#handleResponse(response, attempt);
    } catch (error) {
      if (!(error instanceof AttemptError)) throw error;
      if (!caller.signal.aborted) await this.#handleFailure(attempt, error);
      return AttemptOutcome.Failed;
    } finally {
      attempt.close(this.#kvCopy === undefined);
    }
  }

  #logAttempt({ slot, kvCopyManager }: StreamAttempt): void {
    const { promptKey: prompt, promptParts } = this.#request;
    logAttempt(this.#context, {
      request: this.#request,
      server: slot.server,
      details: {
        from_copy: slot.kvCopy !== undefined,
        after: this.#assembler.lastEventId ?? "",
        backup: kvCopyManager.backup?.name ?? "",
        prompt,
        prompt_parts: promptParts.join(" "),
        read_at: this.#context.promptCacheIndex.findServer(prompt) ?? "",
      },
    });
  }

  #sendToServer(
    { slot, kvCopyManager, record, signal }: StreamAttempt,
  ): Promise<BackendResponse> {
    const { caller, open } = this.#exchange;
    return open({
      server: slot.server,
      timeoutMs: effectiveDeadlineMs(this.#request) - this.#context.now(),
      lastEventId: this.#assembler.lastEventId ?? this.#request.lastEventId,
      kvCopy: slot.kvCopy,
      backupServer: kvCopyManager.backup,
      signal: AbortSignal.any([caller.signal, signal]),
      onSent: () => record.progress = AttemptProgress.Sent,
      onHoldOff: (ms) => this.#context.servers.holdOff(slot.server, ms),
    });
  }

  #handleNotRun(
    { slot, record }: StreamAttempt,
    { isMisdirected }: BackendResponse,
  ): void {
    const { servers } = this.#context;
    const { server, kvCopy } = slot;
    record.progress = AttemptProgress.KnownNotRun;
    // A server that declines because it lacks the copy is not full; a later
    // attempt prefills again.
    if (isMisdirected) servers.eject(server.name, ServerFailure.Replaced);
    else if (kvCopy === undefined) servers.markFull(server.name);
  }

  async #handleFailure(
    attempt: StreamAttempt,
    error: AttemptError,
  ): Promise<void> {
    const { slot, kvCopyManager } = attempt;
    const { server } = slot;
    this.#kvCopy = kvCopyManager.copy;
    this.#failureReason = error.message;
    this.#isDeadlineExceeded =
      error.failureCause === FailureCause.DeadlineExceeded;
    const isReachable = error.failureCause === FailureCause.Stalled ||
      error.failureCause === FailureCause.Rejected ||
      error.failureCause === FailureCause.NoResources;
    this.#recentFailure = isReachable
      ? undefined
      : { zone: server.zone, atMs: this.#context.now() };
    this.#failedServers.add(server.name);
    if (this.#hasBegun) this.#interruptedAtMs ??= this.#context.now();
    const healthCheck = recordAttemptFailure(
      this.#context,
      this.#createFailure(attempt, error),
    );
    // A crash counts against a request before it may run again.
    const mayBePoison = attempt.record.respondedMs !== undefined &&
      !this.#poisonGuard.isProven;
    const mayReuse = this.#kvCopy === undefined && attempt.mayHavePrefilled &&
      this.#canRetry;
    if (!mayBePoison && !mayReuse) return;
    const isHealthy = await healthCheck;
    if (isHealthy && mayReuse) this.#allowReuse(server);
  }

  #createFailure(
    { slot, record }: StreamAttempt,
    error: AttemptError,
  ): AttemptFailure {
    return {
      request: this.#request,
      record,
      server: slot.server,
      error,
      isProven: this.#poisonGuard.isProven,
    };
  }

  /** Allows another attempt on a healthy server that has the prompt cached. */
  #allowReuse({ name }: RegisteredServer): void {
    if (this.#reusedServers.has(name)) return;
    this.#reusedServers.add(name);
    this.#failedServers.delete(name);
    this.#recentFailure = undefined;
    this.#context.promptCacheIndex.record(this.#request.promptKey, name);
  }

  async #handleResponse(
    response: BackendResponse,
    attempt: StreamAttempt,
  ): Promise<AttemptOutcome> {
    const { status } = response.head;
    const isSuccess = status >= SUCCESS_MIN && status <= SUCCESS_MAX;
    if (isSuccess) return await this.#forwardEvents(response, attempt);
    const body = await collectBody(response, this.#context.responseBuffers);
    const isServerError = status >= SERVER_ERROR;
    const isRetried = isServerError && this.#canRetry &&
      this.#rejection() === undefined;
    // Another server would reject a new request as well.
    if (this.#hasBegun || isRetried) {
      this.#failedServers.add(attempt.slot.server.name);
      const error = new AttemptError(
        FailureCause.Rejected,
        `expected a 2xx response status, got ${status}`,
      );
      if (isServerError) throw error;
      // The server is healthy.
      logAttemptFailure(this.#context, this.#createFailure(attempt, error));
      this.#failureReason = error.message;
      return AttemptOutcome.Failed;
    }
    this.#exchange.caller.send(response.head, body);
    return AttemptOutcome.ServerError;
  }

  /** Forwards complete events; drops the partial event of a failed attempt. */
  async #forwardEvents(
    response: BackendResponse,
    attempt: StreamAttempt,
  ): Promise<AttemptOutcome> {
    const { slot, stallDetector } = attempt;
    const { caller } = this.#exchange;
    const { servers, now } = this.#context;
    const splitter = EventSplitter.create();
    const stallTimeout = AdaptiveStallTimeout.create(now);
    for await (const bytes of response.body()) {
      servers.recordActivity(slot.server.name);
      const events = [...splitter.push(bytes)];
      if (events.length === 0) continue;
      this.#poisonGuard.recordEvents(attempt.record, events.length);
      attempt.markEventsSeen();
      const newEvents = this.#assembler.accept(events);
      // Other bytes do not show that the run makes progress.
      const hasProgress = newEvents.some(({ id }) => id !== undefined);
      if (hasProgress) attempt.recordActivity(stallTimeout.observeEvent());
      if (newEvents.length === 0) continue;
      if (hasProgress) stallDetector.pause();
      if (!this.#hasBegun) this.#beginResponse(response);
      this.#recordResume(newEvents);
      await caller.write(Buffer.concat(newEvents.map((event) => event.bytes)));
      if (hasProgress) stallDetector.resume();
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
    if (!this.#hasBegun) this.#beginResponse(response);
    caller.end();
    this.#poisonGuard.recordCompletion();
    return AttemptOutcome.Complete;
  }

  /** Whether an attempt without events can't be a complete response. */
  #mustHaveEvents({ record }: StreamAttempt): boolean {
    const isAtEnd = this.#request.lastEventId !== undefined && !this.#hasBegun;
    return record.eventCount === 0 && !isAtEnd;
  }

  #beginResponse(response: BackendResponse): void {
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
    this.#exchange.caller.writeHead(response.head);
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
