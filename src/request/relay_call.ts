/**
 * Relays a call whose answer is passed on only once it is whole: the sending,
 * the retries that its kind allows, and the truthful refusal.
 */

import {
  type AnswerHead,
  type BackendAnswer,
  collectBody,
} from "../connection/backend_answer.ts";
import { AttemptLoss, LossCause, Refusal } from "../errors.ts";
import type { Place } from "../process/dispatcher.ts";
import type { LiveServer } from "../process/live_server.ts";
import { ServerLoss } from "../process/server_avoidance.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { AttemptProgress } from "./attempt_record.ts";
import { answerPatience, placeWaitMs } from "./call_wait.ts";
import { isHarmful } from "./crash_blame.ts";
import { logAttempt, noteLoss } from "./note_attempt.ts";
import { endMs, mayRepeat, type Order } from "./order.ts";
import { type AttemptEntry, OrderAttempts } from "./order_attempts.ts";
import { placeOrder } from "./place_order.ts";
import { type OrderExchange, OrderOutcome } from "./serve_order.ts";

const SERVER_ERROR = 500;

/** A whole answer of a server. */
interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Relays one call. Errors: `Refusal`. */
export function relayCall(
  context: RelayContext,
  exchange: OrderExchange,
): Promise<OrderOutcome> {
  return CallRelay.create(context, exchange).run();
}

/** The state of one call between its caller and its servers. */
class CallRelay {
  readonly #context: RelayContext;
  readonly #exchange: OrderExchange;
  readonly #order: Order;
  readonly #attempts: OrderAttempts;
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

  private constructor(context: RelayContext, exchange: OrderExchange) {
    const { order } = exchange;
    this.#context = context;
    this.#exchange = exchange;
    this.#order = order;
    this.#attempts = OrderAttempts.create(order);
    const givenMs = order.deadlineMs - order.receivedMs;
    this.#usedMs = context.callerTimes.note(order.route, givenMs);
  }

  static create(context: RelayContext, exchange: OrderExchange): CallRelay {
    return new CallRelay(context, exchange);
  }

  async run(): Promise<OrderOutcome> {
    const { caller } = this.#exchange;
    while (!caller.signal.aborted && this.#maySend()) {
      const place = await this.#place();
      if (place === undefined) break;
      const answer = await this.#sendOnce(place);
      if (answer === undefined) continue;
      const isFailure = answer.head.status >= SERVER_ERROR;
      if (!isFailure || !mayRepeat(this.#order)) return this.#passOn(answer);
      this.#failure = answer;
    }
    if (caller.signal.aborted) return OrderOutcome.CallerGone;
    if (this.#failure !== undefined) return this.#passOn(this.#failure);
    throw this.#attempts.refusal(this.#reason, this.#context.now());
  }

  #passOn({ head, body }: WholeAnswer): OrderOutcome {
    this.#exchange.caller.answer(head, body);
    return head.status < SERVER_ERROR
      ? OrderOutcome.Answered
      : OrderOutcome.ServerFailed;
  }

  #maySend(): boolean {
    const { now, budget } = this.#context;
    if (this.#isTimeUp || endMs(this.#order) <= now()) return false;
    if (this.#attempts.count === 0) return true;
    return this.#attempts.maySendAgain &&
      !isHarmful(this.#context, this.#order) &&
      budget.takeRetry(this.#order.service);
  }

  /** Waits for a place; `undefined` when there is none in time. */
  async #place(): Promise<Place | undefined> {
    const { now, servers } = this.#context;
    const waitMs = placeWaitMs(this.#order, {
      usedMs: this.#usedMs,
      hasServer: this.#hasServer() || this.#hasServerAgain(),
      wasFull: servers.wasFull(this.#order.service),
      nowMs: now(),
    });
    if (waitMs === undefined) {
      this.#reason = "its answer would be late, and the servers are full";
      return undefined;
    }
    try {
      return await placeOrder(this.#context, this.#order, {
        excluded: this.#excluded,
        waitMs,
        signal: this.#exchange.caller.signal,
        isResumed: this.#attempts.count > 0,
      });
    } catch (error) {
      if (!(error instanceof Refusal)) throw error;
      this.#reason = error.message;
      return undefined;
    }
  }

  #hasServer(): boolean {
    const { service, memoryTokens } = this.#order;
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
  async #sendOnce(place: Place): Promise<WholeAnswer | undefined> {
    const { caller, open } = this.#exchange;
    const server = place.server as LiveServer;
    const order = this.#order;
    const entry = this.#attempts.add(server.name);
    this.#tried.add(server.name);
    logAttempt(this.#context, { order, server, details: {} });
    const limit = new AbortController();
    const timer = this.#startPatience(limit);
    try {
      const answer = await open({
        server,
        leftMs: endMs(order) - this.#context.now(),
        resumeAfter: undefined,
        copy: undefined,
        backup: undefined,
        signal: AbortSignal.any([caller.signal, limit.signal]),
        onSent: () => entry.progress = AttemptProgress.Sent,
      });
      return await this.#take(answer, { entry, server });
    } catch (error) {
      if (!(error instanceof AttemptLoss)) throw error;
      this.#lost.add(server.name);
      this.#reason = error.message;
      this.#isTimeUp = error.lossCause === LossCause.TimeUp;
      if (!caller.signal.aborted) {
        noteLoss(this.#context, { order, entry, server, error });
      }
      return undefined;
    } finally {
      clearTimeout(timer);
      place.close();
    }
  }

  /** Ends a sending through `limit` when its answer has been waited for enough. */
  #startPatience(limit: AbortController): NodeJS.Timeout {
    const order = this.#order;
    const patience = answerPatience(order, {
      nowMs: this.#context.now(),
      mayTryElsewhere: mayRepeat(order) && this.#hasServer() &&
        this.#attempts.ranCount + 1 < order.sendsMax,
    });
    return setTimeout(() => {
      limit.abort(new AttemptLoss(patience.cause, "no answer in time"));
    }, patience.ms);
  }

  async #take(
    answer: BackendAnswer,
    { entry, server }: {
      readonly entry: AttemptEntry;
      readonly server: LiveServer;
    },
  ): Promise<WholeAnswer | undefined> {
    const { servers } = this.#context;
    if (answer.hasNotRun) {
      entry.progress = AttemptProgress.KnownNotRun;
      if (answer.isReplaced) servers.lose(server.name, ServerLoss.Replaced);
      else servers.noteFull(server.name);
      return undefined;
    }
    entry.progress = AttemptProgress.KnownRun;
    const body = await collectBody(answer);
    servers.hear(server.name);
    return { head: answer.head, body };
  }
}
