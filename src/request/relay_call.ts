/**
 * Relays a call, whose response is forwarded only once it is complete. Retries
 * as far as the kind of the call allows, and refuses it otherwise.
 */

import {
  type BackendResponse,
  collectBody,
  type ResponseHead,
} from "../connection/backend_request.ts";
import { isDisconnected } from "../connection/response_writer.ts";
import { AttemptError, FailureCause, RequestError } from "../errors.ts";
import type { Reservation } from "../process/dispatcher.ts";
import { DrainingSource } from "../process/leaving_servers.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import { ServerFailure } from "../process/server_ejection.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { AttemptProgress } from "./attempt_progress.ts";
import { ReplacementSearch } from "./attempt_replacement.ts";
import {
  callQueueTimeoutMs,
  replacementTimeout,
  type ResponseTimeout,
  responseTimeout,
} from "./call_timeouts.ts";
import {
  isSlowResponse,
  logAttempt,
  recordAttemptFailure,
} from "./attempt_reporting.ts";
import {
  effectiveDeadlineMs,
  isRetryable,
  type ProxyRequest,
} from "./proxy_request.ts";
import { AttemptHistory, type AttemptRecord } from "./attempt_history.ts";
import { createRefusal } from "./create_refusal.ts";
import { CrashGuard } from "./crash_guard.ts";
import { acquireSlot } from "./acquire_slot.ts";
import { type ProxyExchange, RequestOutcome } from "./serve_request.ts";

const SERVER_ERROR = 500;

/** A complete response of a server. */
interface CompleteResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** Relays one call. Errors: `RequestError`. */
export function relayCall(
  context: RelayContext,
  exchange: ProxyExchange,
): Promise<RequestOutcome> {
  return CallRelay.create(context, exchange).run();
}

/** The state of one call between its caller and its servers. */
class CallRelay {
  readonly #context: RelayContext;
  readonly #exchange: ProxyExchange;
  readonly #request: ProxyRequest;
  readonly #attempts: AttemptHistory;
  readonly #crashGuard: CrashGuard;
  /** Servers that sent no complete response. */
  readonly #failedServers = new Set<string>();
  /**
   * Servers that the call was sent to. Those that were at capacity or responded
   * with an error are tried again when no other server is left.
   */
  readonly #triedServers = new Set<string>();
  /** Estimated time that the caller has waited in earlier tries, in ms. */
  readonly #priorWaitMs: number;
  #isDeadlineExceeded = false;
  /** Slot of the next attempt, for which a retry was taken from the budget. */
  #replacement: Reservation | undefined;
  /** The last error response of a server. */
  #errorResponse: CompleteResponse | undefined;
  #failureReason = "no backend server accepted the request in time";

  private constructor(context: RelayContext, exchange: ProxyExchange) {
    const { request } = exchange;
    this.#context = context;
    this.#exchange = exchange;
    this.#request = request;
    this.#attempts = AttemptHistory.create(request);
    this.#crashGuard = CrashGuard.create(context, request);
    const callerTimeoutMs = request.callerDeadlineMs - request.receivedMs;
    this.#priorWaitMs = context.callerWaits.record(
      request.route,
      callerTimeoutMs,
    );
  }

  static create(context: RelayContext, exchange: ProxyExchange): CallRelay {
    return new CallRelay(context, exchange);
  }

  async run(): Promise<RequestOutcome> {
    try {
      return await this.#runAttempts();
    } finally {
      this.#takeReplacement()?.release();
    }
  }

  async #runAttempts(): Promise<RequestOutcome> {
    const { caller } = this.#exchange;
    while (!caller.signal.aborted && this.#mayAttempt()) {
      if (this.#needsRetry && !await this.#acquireRetry()) break;
      const reservation = this.#takeReplacement() ?? await this.#acquireSlot();
      if (reservation === undefined) break;
      if (this.#isBlocked() || this.#isOverdue()) {
        reservation.release();
        break;
      }
      const response = await this.#runAttempt(reservation);
      if (response === undefined) continue;
      const isServerError = response.head.status >= SERVER_ERROR;
      if (!isServerError || !isRetryable(this.#request)) {
        return this.#sendToCaller(response);
      }
      this.#errorResponse = response;
    }
    if (isDisconnected(caller)) return RequestOutcome.CallerGone;
    if (this.#errorResponse !== undefined) {
      return this.#sendToCaller(this.#errorResponse);
    }
    throw createRefusal(this.#context, {
      request: this.#request,
      attempts: this.#attempts,
      reason: this.#failureReason,
    });
  }

  #sendToCaller({ head, body }: CompleteResponse): RequestOutcome {
    this.#exchange.caller.send(head, body);
    return head.status < SERVER_ERROR
      ? RequestOutcome.Answered
      : RequestOutcome.ServerFailed;
  }

  #mayAttempt(): boolean {
    if (this.#isOverdue()) return false;
    return this.#attempts.count === 0 ||
      (this.#attempts.canRetry && !this.#isBlocked());
  }

  /** Whether the next attempt takes a retry that was not taken yet. */
  get #needsRetry(): boolean {
    return this.#attempts.count > 0 && this.#replacement === undefined;
  }

  #acquireRetry(): Promise<boolean> {
    return this.#context.retryBudget.acquireRetry(this.#request.service);
  }

  /** Whether the deadline has passed. */
  #isOverdue(): boolean {
    return this.#isDeadlineExceeded ||
      effectiveDeadlineMs(this.#request) <= this.#context.now();
  }

  /** Whether the call must not be sent to a server. */
  #isBlocked(): boolean {
    const rejection = this.#rejection();
    if (rejection !== undefined) this.#failureReason = rejection.message;
    return rejection !== undefined;
  }

  /**
   * Returns why the call must not be sent to a server, if so: it has crashed too
   * many, or the entry shuts down. One that may have run can't be refused as not
   * run, so it is sent again as long as the process lasts.
   */
  #rejection(): RequestError | undefined {
    const rejection = this.#crashGuard.rejection();
    if (rejection !== undefined || this.#attempts.mayHaveRun) return rejection;
    return this.#context.shutdownAdmission.rejection(this.#request.kind);
  }

  /** Waits for a slot; `undefined` if none becomes free in time. */
  async #acquireSlot(): Promise<Reservation | undefined> {
    const { now, servers } = this.#context;
    const waitMs = callQueueTimeoutMs(this.#request, {
      priorWaitMs: this.#priorWaitMs,
      hasEligibleServer: this.#hasUntriedServer() ||
        this.#hasServerAfterReset(),
      wasAtCapacity: servers.wasRecentlyFull(this.#request.service),
      nowMs: now(),
    });
    if (waitMs === undefined) {
      this.#failureReason =
        "the response would be late, and the service is at capacity";
      return undefined;
    }
    try {
      return await acquireSlot(this.#context, this.#request, {
        excluded: this.#excluded,
        waitMs,
        signal: this.#exchange.caller.signal,
        isResumed: this.#attempts.count > 0,
        rejection: () => this.#rejection(),
      });
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      this.#failureReason = error.message;
      return undefined;
    }
  }

  #hasEligibleServer(): boolean {
    const { service, kvCacheTokens } = this.#request;
    return this.#context.servers.canServe({
      service,
      tokens: kvCacheTokens,
      excluded: this.#excluded,
    });
  }

  /** Whether a server that was not tried could take the call without a pause. */
  #hasUntriedServer(): boolean {
    const { service, kvCacheTokens } = this.#request;
    const isHeldOff = this.#context.servers.heldOffUntilMs({
      service,
      tokens: kvCacheTokens,
      excluded: this.#excluded,
    }) !== undefined;
    return !isHeldOff && this.#hasEligibleServer();
  }

  /** Allows tried servers again; returns whether any server is eligible. */
  #hasServerAfterReset(): boolean {
    this.#triedServers.clear();
    return this.#hasEligibleServer();
  }

  get #excluded(): ReadonlySet<string> {
    return new Set([...this.#failedServers, ...this.#triedServers]);
  }

  /** Sends the call to one server; `undefined` without a complete response. */
  async #runAttempt(
    reservation: Reservation,
  ): Promise<CompleteResponse | undefined> {
    const { caller, open } = this.#exchange;
    const server = reservation.server as RegisteredServer;
    const request = this.#request;
    const sentMs = this.#context.now();
    const record = this.#attempts.add(server.name, sentMs);
    this.#triedServers.add(server.name);
    logAttempt(this.#context, { request, server, details: {} });
    this.#crashGuard.recordAttempt();
    const abortController = new AbortController();
    const stopResponseTimer = this.#startResponseTimer(server, abortController);
    try {
      const response = await open({
        server,
        timeoutMs: effectiveDeadlineMs(request) - this.#context.now(),
        lastEventId: undefined,
        kvCopy: undefined,
        backupServer: undefined,
        signal: AbortSignal.any([caller.signal, abortController.signal]),
        onSent: () => record.progress = AttemptProgress.Sent,
        onHoldOff: (ms) => this.#context.servers.holdOff(server, ms),
      });
      if (response.isServerLeaving) {
        this.#context.servers.markLeaving(server, DrainingSource.Answer);
      }
      const complete = await this.#receive(response, { record, server });
      if (complete !== undefined) {
        const isFailure = complete.head.status >= SERVER_ERROR;
        this.#recordResponse(server, { sentMs, isFailure });
      }
      if (complete !== undefined && complete.head.status < SERVER_ERROR) {
        this.#crashGuard.recordCompletion(sentMs);
      }
      return complete;
    } catch (error) {
      if (!(error instanceof AttemptError)) throw error;
      this.#failedServers.add(server.name);
      this.#failureReason = error.message;
      this.#isDeadlineExceeded =
        error.failureCause === FailureCause.DeadlineExceeded;
      if (isSlowResponse(error)) {
        this.#recordResponse(server, { sentMs, isFailure: false });
      }
      if (!caller.signal.aborted) {
        recordAttemptFailure(this.#context, {
          request,
          record,
          server,
          error,
        });
      }
      return undefined;
    } finally {
      stopResponseTimer();
      reservation.release();
    }
  }

  /** Counts a response, or that none came in time, for its server's version. */
  #recordResponse(
    server: RegisteredServer,
    { sentMs, isFailure }: {
      readonly sentMs: number;
      readonly isFailure: boolean;
    },
  ): void {
    this.#context.rollouts.recordResponse({
      server,
      aspect: this.#request.route,
      sentMs,
      latencyMs: isFailure ? undefined : this.#context.now() - sentMs,
    });
  }

  /**
   * Aborts an attempt through `abortController` at the response timeout, but
   * before the deadline only once another server can take the call. Returns a
   * function that stops the timer.
   */
  #startResponseTimer(
    server: RegisteredServer,
    abortController: AbortController,
  ): () => void {
    const abort = (cause: FailureCause) =>
      abortController.abort(
        new AttemptError(cause, "no response before the timeout"),
      );
    const search = this.#createReplacementSearch(server, () => {
      abort(FailureCause.Stalled);
    });
    const expire = ({ cause }: ResponseTimeout) => {
      // An attempt that is replaced already takes no second slot.
      if (abortController.signal.aborted) return;
      if (cause !== FailureCause.Stalled) return abort(cause);
      search.start();
      start(replacementTimeout(this.#request, this.#context.now()));
    };
    let timer: NodeJS.Timeout;
    let check: NodeJS.Immediate | undefined;
    const start = (timeout: ResponseTimeout) => {
      timer = setTimeout(() => {
        // If the event loop was busy, a response that has arrived is read first.
        check = setImmediate(() => expire(timeout));
      }, timeout.timeoutMs);
    };
    start(this.#responseTimeout());
    return () => {
      clearTimeout(timer);
      clearImmediate(check);
      search.cancel();
    };
  }

  #responseTimeout(): ResponseTimeout {
    const request = this.#request;
    return responseTimeout(request, {
      nowMs: this.#context.now(),
      canRetryElsewhere: isRetryable(request) && this.#hasEligibleServer() &&
        this.#attempts.mayHaveRunCount + 1 < request.maxAttempts,
    });
  }

  #createReplacementSearch(
    server: RegisteredServer,
    onFound: () => void,
  ): ReplacementSearch<Reservation> {
    const request = this.#request;
    const context = this.#context;
    return ReplacementSearch.create({
      context,
      request,
      canRetry: () =>
        this.#attempts.canRetry && this.#rejection() === undefined,
      server: server.name,
      failedServers: this.#failedServers,
      acquire: (criteria) =>
        acquireSlot(context, request, {
          ...criteria,
          waitMs: effectiveDeadlineMs(request) - context.now(),
          isResumed: true,
        }),
      release: (reservation) => reservation.release(),
      onFound: (reservation) => {
        this.#replacement = reservation;
        onFound();
      },
    });
  }

  #takeReplacement(): Reservation | undefined {
    const reservation = this.#replacement;
    this.#replacement = undefined;
    if (reservation === undefined) return undefined;
    const server = reservation.server as RegisteredServer;
    // The server may have asked for a pause since the slot was reserved.
    if (!this.#context.servers.isHeldOff(server)) return reservation;
    reservation.release();
    return undefined;
  }

  async #receive(
    response: BackendResponse,
    { record, server }: {
      readonly record: AttemptRecord;
      readonly server: RegisteredServer;
    },
  ): Promise<CompleteResponse | undefined> {
    const { servers, responseBuffers } = this.#context;
    if (response.hasNotRun) {
      record.progress = AttemptProgress.KnownNotRun;
      if (response.isMisdirected) {
        servers.eject(server.name, ServerFailure.Replaced);
      } else servers.markFull(server.name);
      return undefined;
    }
    record.progress = AttemptProgress.KnownRun;
    servers.recordAcceptance(server);
    const body = await collectBody(response, responseBuffers);
    servers.recordActivity(server.name);
    return { head: response.head, body };
  }
}
