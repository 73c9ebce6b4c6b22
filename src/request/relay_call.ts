/**
 * Relays a call whose answer is passed on only once it is whole: the sending,
 * the retries that its kind allows, and the truthful refusal.
 */

import {
  type BackendResponse,
  collectBody,
  type ResponseHead,
} from "../connection/backend_request.ts";
import { AttemptError, FailureCause, RequestError } from "../errors.ts";
import type { Reservation } from "../process/dispatcher.ts";
import type { LiveServer } from "../process/live_server.ts";
import { ServerFailure } from "../process/server_ejection.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { AttemptProgress } from "./attempt_progress.ts";
import { callQueueTimeoutMs, responseTimeout } from "./call_timeouts.ts";
import { isPoisonRequest } from "./poison_request.ts";
import { logAttempt, recordAttemptFailure } from "./attempt_reporting.ts";
import {
  effectiveDeadlineMs,
  isRetryable,
  type ProxyRequest,
} from "./proxy_request.ts";
import { AttemptHistory, type AttemptRecord } from "./attempt_history.ts";
import { acquireSlot } from "./acquire_slot.ts";
import { type ProxyExchange, RequestOutcome } from "./serve_request.ts";

const SERVER_ERROR = 500;

/** A whole answer of a server. */
interface WholeAnswer {
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
  readonly #order: ProxyRequest;
  readonly #attempts: AttemptHistory;
  /** Servers that gave no answer. */
  readonly #lost = new Set<string>();
  /** Servers that were full or failed; tried once more when no other is left. */
  readonly #tried = new Set<string>();
  /** Time that the caller has most likely waited before it came here, in ms. */
  readonly #usedMs: number;
  #isTimeUp = false;
  /** The last failure that a server answered with. */
  #failure: WholeAnswer | undefined;
  #reason = "no backend server took it in time";

  private constructor(context: RelayContext, exchange: ProxyExchange) {
    const { request: order } = exchange;
    this.#context = context;
    this.#exchange = exchange;
    this.#order = order;
    this.#attempts = AttemptHistory.create(order);
    const givenMs = order.callerDeadlineMs - order.receivedMs;
    this.#usedMs = context.callerWaits.record(order.route, givenMs);
  }

  static create(context: RelayContext, exchange: ProxyExchange): CallRelay {
    return new CallRelay(context, exchange);
  }

  async run(): Promise<RequestOutcome> {
    const { caller } = this.#exchange;
    while (!caller.signal.aborted && this.#maySend()) {
      const place = await this.#place();
      if (place === undefined) break;
      const answer = await this.#sendOnce(place);
      if (answer === undefined) continue;
      const isFailure = answer.head.status >= SERVER_ERROR;
      if (!isFailure || !isRetryable(this.#order)) return this.#passOn(answer);
      this.#failure = answer;
    }
    if (caller.signal.aborted) return RequestOutcome.CallerGone;
    if (this.#failure !== undefined) return this.#passOn(this.#failure);
    throw this.#attempts.refusal(this.#reason, this.#context.now());
  }

  #passOn({ head, body }: WholeAnswer): RequestOutcome {
    this.#exchange.caller.send(head, body);
    return head.status < SERVER_ERROR
      ? RequestOutcome.Answered
      : RequestOutcome.ServerFailed;
  }

  #maySend(): boolean {
    const { now, retryBudget: budget } = this.#context;
    if (this.#isTimeUp || effectiveDeadlineMs(this.#order) <= now()) {
      return false;
    }
    if (this.#attempts.count === 0) return true;
    return this.#attempts.canRetry &&
      !isPoisonRequest(this.#context, this.#order) &&
      budget.takeRetry(this.#order.service);
  }

  /** Waits for a place; `undefined` when there is none in time. */
  async #place(): Promise<Reservation | undefined> {
    const { now, servers } = this.#context;
    const waitMs = callQueueTimeoutMs(this.#order, {
      priorWaitMs: this.#usedMs,
      hasEligibleServer: this.#hasServer() || this.#hasServerAgain(),
      wasAtCapacity: servers.wasRecentlyFull(this.#order.service),
      nowMs: now(),
    });
    if (waitMs === undefined) {
      this.#reason = "its answer would be late, and the servers are full";
      return undefined;
    }
    try {
      return await acquireSlot(this.#context, this.#order, {
        excluded: this.#excluded,
        waitMs,
        signal: this.#exchange.caller.signal,
        isResumed: this.#attempts.count > 0,
      });
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      this.#reason = error.message;
      return undefined;
    }
  }

  #hasServer(): boolean {
    const { service, kvCacheTokens: memoryTokens } = this.#order;
    return this.#context.servers.canServe({
      service,
      tokens: memoryTokens,
      excluded: this.#excluded,
    });
  }

  /** The same when servers that were full or failed may be tried once more. */
  #hasServerAgain(): boolean {
    this.#tried.clear();
    return this.#hasServer();
  }

  get #excluded(): ReadonlySet<string> {
    return new Set([...this.#lost, ...this.#tried]);
  }

  /** Sends the call to one server; `undefined` when that gave no answer. */
  async #sendOnce(place: Reservation): Promise<WholeAnswer | undefined> {
    const { caller, open } = this.#exchange;
    const server = place.server as LiveServer;
    const order = this.#order;
    const entry = this.#attempts.add(server.name);
    this.#tried.add(server.name);
    logAttempt(this.#context, { request: order, server, details: {} });
    const limit = new AbortController();
    const timer = this.#startPatience(limit);
    try {
      const answer = await open({
        server,
        timeoutMs: effectiveDeadlineMs(order) - this.#context.now(),
        lastEventId: undefined,
        copy: undefined,
        backup: undefined,
        signal: AbortSignal.any([caller.signal, limit.signal]),
        onSent: () => entry.progress = AttemptProgress.Sent,
      });
      return await this.#take(answer, { entry, server });
    } catch (error) {
      if (!(error instanceof AttemptError)) throw error;
      this.#lost.add(server.name);
      this.#reason = error.message;
      this.#isTimeUp = error.failureCause === FailureCause.DeadlineExceeded;
      if (!caller.signal.aborted) {
        recordAttemptFailure(this.#context, {
          request: order,
          record: entry,
          server,
          error,
        });
      }
      return undefined;
    } finally {
      clearTimeout(timer);
      place.release();
    }
  }

  /** Ends a sending through `limit` when its answer has been waited for enough. */
  #startPatience(limit: AbortController): NodeJS.Timeout {
    const order = this.#order;
    const patience = responseTimeout(order, {
      nowMs: this.#context.now(),
      canRetryElsewhere: isRetryable(order) && this.#hasServer() &&
        this.#attempts.mayHaveRunCount + 1 < order.maxAttempts,
    });
    return setTimeout(() => {
      limit.abort(new AttemptError(patience.cause, "no answer in time"));
    }, patience.timeoutMs);
  }

  async #take(
    answer: BackendResponse,
    { entry, server }: {
      readonly entry: AttemptRecord;
      readonly server: LiveServer;
    },
  ): Promise<WholeAnswer | undefined> {
    const { servers } = this.#context;
    if (answer.hasNotRun) {
      entry.progress = AttemptProgress.KnownNotRun;
      if (answer.isMisdirected) {
        servers.eject(server.name, ServerFailure.Replaced);
      } else servers.markFull(server.name);
      return undefined;
    }
    entry.progress = AttemptProgress.KnownRun;
    const body = await collectBody(answer);
    servers.recordActivity(server.name);
    return { head: answer.head, body };
  }
}
