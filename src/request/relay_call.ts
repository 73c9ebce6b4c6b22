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
import { ServerLoss } from "../process/live_servers.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { LiveServer } from "../process/live_server.ts";
import { AttemptProgress } from "./attempt_record.ts";
import { isHarmful } from "./crash_blame.ts";
import { endMs, mayRepeat, type Order } from "./order.ts";
import { logAttempt, noteLoss } from "./note_attempt.ts";
import { type AttemptEntry, OrderAttempts } from "./order_attempts.ts";
import { placeOrder } from "./place_order.ts";
import { type OrderExchange, OrderOutcome } from "./serve_order.ts";

/** Part of the target time after which a call that may be repeated is tried elsewhere. */
const PATIENCE_PART = 0.75;
/** Part of the time left that a call waits for a place. */
const WAIT_PART = 0.5;
const SERVER_ERROR = 500;

/** A whole answer of a server. */
interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Relays one call. Errors: `Refusal`. */
export async function relayCall(
  context: RelayContext,
  exchange: OrderExchange,
): Promise<OrderOutcome> {
  const { order, caller } = exchange;
  const attempts = OrderAttempts.create(order);
  const excluded = new Set<string>();
  let failure: WholeAnswer | undefined;
  let reason = "no backend server took it in time";
  while (!caller.signal.aborted) {
    const isAllowed = attempts.count === 0 || attempts.maySendAgain &&
        !isHarmful(context, order) && context.budget.takeRetry(order.service);
    if (!isAllowed || endMs(order) <= context.now()) break;
    try {
      const answer = await sendOnce(context, { exchange, attempts, excluded });
      if (answer === undefined) continue;
      const isFailure = answer.head.status >= SERVER_ERROR;
      if (!isFailure || !mayRepeat(order)) return passOn(exchange, answer);
      failure = answer;
    } catch (error) {
      if (error instanceof AttemptLoss) reason = error.message;
      else if (error instanceof Refusal) {
        reason = error.message;
        break;
      } else throw error;
    }
  }
  if (caller.signal.aborted) return OrderOutcome.CallerGone;
  if (failure !== undefined) return passOn(exchange, failure);
  throw attempts.refusal(reason, context.now());
}

function passOn(
  { caller }: OrderExchange,
  { head, body }: WholeAnswer,
): OrderOutcome {
  caller.answer(head, body);
  return head.status < SERVER_ERROR
    ? OrderOutcome.Answered
    : OrderOutcome.ServerFailed;
}

/** Sends the order to one server; `undefined` when that says it did not run. */
async function sendOnce(
  context: RelayContext,
  { exchange, attempts, excluded }: {
    readonly exchange: OrderExchange;
    readonly attempts: OrderAttempts;
    readonly excluded: Set<string>;
  },
): Promise<WholeAnswer | undefined> {
  const { order, caller } = exchange;
  const place = await placeOrder(context, order, {
    excluded,
    waitMs: (endMs(order) - context.now()) * WAIT_PART,
    signal: caller.signal,
    isResumed: attempts.count > 0,
  });
  const server = place.server as LiveServer;
  const entry = attempts.add(server.name);
  excluded.add(server.name);
  logAttempt(context, { order, server, details: {} });
  const isLast = !mayRepeat(order) || attempts.ranCount + 1 >= order.sendsMax;
  const limit = new AbortController();
  const signal = AbortSignal.any([caller.signal, limit.signal]);
  const timer = setTimeout(() => {
    limit.abort(new AttemptLoss(LossCause.Stalled, "no answer in time"));
  }, patienceMs(order, { nowMs: context.now(), isLast }));
  try {
    const answer = await exchange.open({
      server,
      leftMs: endMs(order) - context.now(),
      resumeAfter: undefined,
      fromCopy: false,
      backup: undefined,
      signal,
      onSent: () => entry.progress = AttemptProgress.Sent,
    });
    return await takeAnswer(context, { answer, entry, server });
  } catch (error) {
    if (!(error instanceof AttemptLoss)) throw error;
    if (!caller.signal.aborted) {
      noteLoss(context, { order, entry, server, error });
    }
    throw error;
  } finally {
    clearTimeout(timer);
    place.close();
  }
}

function patienceMs(
  order: Order,
  { nowMs, isLast }: { readonly nowMs: number; readonly isLast: boolean },
): number {
  const leftMs = endMs(order) - nowMs;
  return isLast
    ? leftMs
    : Math.min(leftMs, order.rank.targetMs * PATIENCE_PART);
}

async function takeAnswer(
  { servers }: RelayContext,
  { answer, entry, server }: {
    readonly answer: BackendAnswer;
    readonly entry: AttemptEntry;
    readonly server: LiveServer;
  },
): Promise<WholeAnswer | undefined> {
  if (answer.hasNotRun) {
    entry.progress = AttemptProgress.KnownNotRun;
    const loss = answer.isReplaced ? ServerLoss.Replaced : ServerLoss.Full;
    servers.lose(server.name, loss);
    return undefined;
  }
  entry.progress = AttemptProgress.KnownRun;
  const body = await collectBody(answer);
  servers.hear(server.name);
  return { head: answer.head, body };
}
