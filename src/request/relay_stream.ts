/**
 * Relays a stream of events to its caller as one unbroken response. When an
 * attempt fails, another server resumes the stream after the last event
 * delivered, from a copy of the run's KV cache if there is one.
 */

import {
  type BackendResponse,
  collectBody,
} from "../connection/backend_request.ts";
import { isDisconnected } from "../connection/response_writer.ts";
import { AttemptError, FailureCause, RequestError } from "../errors.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { effectiveDeadlineMs, type ProxyRequest } from "./proxy_request.ts";
import { AttemptHistory } from "./attempt_history.ts";
import {
  type AttemptFailure,
  logAttemptFailure,
  recordAttemptFailure,
} from "./attempt_reporting.ts";
import { CrashGuard } from "./crash_guard.ts";
import { createRefusal } from "./create_refusal.ts";
import { FailedServers } from "./failed_servers.ts";
import type { KvCopy } from "./kv_copy_manager.ts";
import { findCachedPrompt } from "./find_cached_prompt.ts";
import { resumeDelayMs, waitForRetry } from "./resume_policy.ts";
import { type ProxyExchange, RequestOutcome } from "./serve_request.ts";
import { StreamAttempt } from "./stream_attempt.ts";
import {
  acquireStreamSlot,
  releaseSlot,
  reserveKvCopySlot,
  type StreamSlot,
} from "./stream_slot.ts";
import { streamQueueLimits } from "./stream_queue_limits.ts";
import { StreamResponse } from "./stream_response.ts";

/** How one attempt ended. */
enum AttemptOutcome {
  Complete,
  /** An error response of the server was forwarded to the caller. */
  ServerError,
  Failed,
}

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
  readonly #failedServers: FailedServers;
  readonly #crashGuard: CrashGuard;
  readonly #response: StreamResponse;
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
    this.#failedServers = FailedServers.create(context, exchange.request);
    this.#crashGuard = CrashGuard.create(context, exchange.request);
    this.#response = StreamResponse.create({
      context,
      request: exchange.request,
      caller: exchange.caller,
      attempts: this.#attempts,
      crashGuard: this.#crashGuard,
    });
  }

  static create(context: RelayContext, exchange: ProxyExchange): StreamRelay {
    return new StreamRelay(context, exchange);
  }

  async run(): Promise<RequestOutcome> {
    const release = this.#context.promptCacheIndex.trackOpenStream(
      this.#request.promptKey,
    );
    try {
      await findCachedPrompt(this.#context, this.#request);
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
    if (isDisconnected(caller)) return RequestOutcome.CallerGone;
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
    this.#response.abort(this.#failureReason);
    return RequestOutcome.BrokenOff;
  }

  get #hasBegun(): boolean {
    return this.#response.hasBegun;
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
    const rejection = this.#crashGuard.rejection();
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
      return await this.#context.retryBudget.acquireRetry(request.service);
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
    if (!this.#failedServers.hasAlternative(waitMs)) {
      this.#failedServers.clear();
    }
    try {
      return await acquireStreamSlot(this.#context, this.#request, {
        excluded: this.#failedServers.names,
        signal: this.#exchange.caller.signal,
        hasBegun: this.#hasBegun,
        recentFailure: this.#failedServers.recentFailure,
        rejection: () => this.#rejection(),
      });
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      this.#failureReason = error.message;
      return undefined;
    }
  }

  async #runAttempt(slot: StreamSlot): Promise<AttemptOutcome> {
    const { caller } = this.#exchange;
    this.#response.beginSegment();
    const attempt = StreamAttempt.create({
      context: this.#context,
      request: this.#request,
      slot,
      record: this.#attempts.add(slot.server.name, this.#context.now()),
      excluded: this.#failedServers.names,
      canRetry: () => this.#canRetry && this.#rejection() === undefined,
      acquireReplacement: (criteria) =>
        acquireStreamSlot(this.#context, this.#request, {
          ...criteria,
          hasBegun: true,
          rejection: () => this.#rejection(),
        }),
      onReplaced: (slot) => this.#replacement = { slot },
      eventCount: () => this.#response.eventCount,
    });
    const { lastEventId } = this.#response;
    attempt.logStart(lastEventId);
    this.#crashGuard.recordAttempt();
    try {
      const response = await attempt.send(this.#exchange, lastEventId);
      if (response.hasNotRun) return AttemptOutcome.Failed;
      return await this.#handleResponse(response, attempt);
    } catch (error) {
      if (!(error instanceof AttemptError)) throw error;
      if (caller.signal.aborted) this.#failureReason = error.message;
      else await this.#handleFailure(attempt, error);
      return AttemptOutcome.Failed;
    } finally {
      attempt.close(this.#kvCopy === undefined);
    }
  }

  async #handleFailure(
    attempt: StreamAttempt,
    error: AttemptError,
  ): Promise<void> {
    const { slot, kvCopyManager } = attempt;
    const { server } = slot;
    attempt.recordFailure(error);
    this.#kvCopy = kvCopyManager.copy;
    this.#failureReason = error.message;
    this.#isDeadlineExceeded =
      error.failureCause === FailureCause.DeadlineExceeded;
    this.#failedServers.recordFailure(server, error.failureCause);
    this.#response.recordInterruption();
    const healthCheck = recordAttemptFailure(
      this.#context,
      this.#createFailure(attempt, error),
    );
    // A crash counts against a request before it may run again.
    const mayBePoison = attempt.record.respondedMs !== undefined &&
      !this.#crashGuard.isProven;
    const mayReuse = this.#kvCopy === undefined && attempt.mayHavePrefilled &&
      this.#canRetry;
    if (!mayBePoison && !mayReuse) return;
    const isHealthy = await healthCheck;
    if (isHealthy && mayReuse) this.#failedServers.allowReuse(server);
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
    };
  }

  async #handleResponse(
    response: BackendResponse,
    attempt: StreamAttempt,
  ): Promise<AttemptOutcome> {
    const { status } = response.head;
    const isSuccess = status >= SUCCESS_MIN && status <= SUCCESS_MAX;
    if (isSuccess) {
      await this.#response.forwardEvents(response, attempt);
      attempt.markComplete();
      return AttemptOutcome.Complete;
    }
    const body = await collectBody(response, this.#context.responseBuffers);
    const isServerError = status >= SERVER_ERROR;
    if (isServerError) attempt.recordLatency(undefined);
    const isRetried = isServerError && this.#canRetry &&
      this.#rejection() === undefined;
    // Another server would reject a new request as well.
    if (this.#hasBegun || isRetried) {
      const error = new AttemptError(
        FailureCause.Rejected,
        `expected a 2xx response status, got ${status}`,
      );
      if (isServerError) throw error;
      this.#failedServers.add(attempt.slot.server);
      logAttemptFailure(this.#context, this.#createFailure(attempt, error));
      this.#failureReason = error.message;
      return AttemptOutcome.Failed;
    }
    this.#exchange.caller.send(response.head, body);
    return AttemptOutcome.ServerError;
  }
}
