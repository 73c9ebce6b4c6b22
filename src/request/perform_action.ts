/** Runs a non-idempotent call at most once, resting on the ledger. */

import { randomUUID } from "node:crypto";
import { match } from "ts-pattern";
import type { HttpAnswer } from "../connection/http_call.ts";
import type { ObjectRevision } from "../ids.ts";
import {
  ACTION_ANSWER_MAX_BYTES,
  ACTION_SEND_LIMIT_MS,
  ACTION_SETTLE_MS,
} from "../constants.ts";
import { messageOf, Refusal, RefusalType } from "../errors.ts";
import { hashParts, hashText } from "../hashing.ts";
import type { AttemptId, Fingerprint } from "../ids.ts";
import type { Place } from "../process/dispatcher.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { EVENTS } from "../process/event_catalog.ts";
import { ClaimResult } from "../process/ledger.ts";
import {
  type ActionAnswer,
  type ActionRecord,
  ActionState,
} from "./action_record.ts";
import {
  contentTypeOf,
  placeCall,
  sendAnswer,
  sendCall,
  type ServiceCall,
} from "./call_service.ts";
import { type Exchange, singleHeader } from "./exchange.ts";

/** A non-idempotent call and where its answer goes. */
export interface ActionOrder {
  readonly exchange: Exchange;
  readonly call: ServiceCall;
}

/** An action whose record this attempt created. */
interface OwnAction extends ActionOrder {
  readonly key: Fingerprint;
  readonly record: ActionRecord;
  readonly version: ObjectRevision;
  /** When the claim began, on the monotonic clock in ms. */
  readonly claimedMs: number;
}

const KEY = /^[\x21-\x7e]{1,255}$/;
const REPLAYED_HEADER = "x-gypsumridge-replayed";

/**
 * Claims the action and sends it, or answers from the ledger.
 *
 * Errors: a `Refusal`; of type not run only if no attempt with this key sent.
 */
export async function performAction(
  context: EntryContext,
  order: ActionOrder,
): Promise<void> {
  const key = actionKey(order);
  const record: ActionRecord = {
    attempt: randomUUID() as string as AttemptId,
    entry: context.settings.id,
    fingerprint: fingerprintOf(order.call),
    state: ActionState.Claimed,
  };
  const claimedMs = context.now();
  const claim = await context.ledger.claim(key, record);
  await match(claim)
    .with(
      { result: ClaimResult.Granted },
      ({ version }) =>
        send(context, { ...order, key, record, version, claimedMs }),
    )
    .with({ result: ClaimResult.Taken }, (taken) =>
      answerFromLedger(context, {
        order,
        key,
        taken: taken.record,
        fingerprint: record.fingerprint,
      }))
    .with({ result: ClaimResult.Absent }, () => {
      throw refuse(RefusalType.NotRun, "the action could not be recorded");
    })
    .with({ result: ClaimResult.Unreadable }, () => {
      throw refuse(RefusalType.NotSent, "the platform can't be read");
    })
    .exhaustive();
}

function actionKey({ call, exchange }: ActionOrder): Fingerprint {
  const key = singleHeader(exchange, "idempotency-key") ?? "";
  if (!KEY.test(key)) {
    throw new Refusal(
      RefusalType.InvalidRequest,
      "idempotency-key: this call needs one, of 1 to 255 visible ASCII characters",
    );
  }
  const parts = [call.customer.name, call.service.name, key];
  return hashParts(parts) as string as Fingerprint;
}

function fingerprintOf({ method, path, body }: ServiceCall): Fingerprint {
  const parts = [method, path, hashText(body.toString("base64"))];
  return hashParts(parts) as string as Fingerprint;
}

async function send(context: EntryContext, action: OwnAction): Promise<void> {
  const place = await placeOrRetract(context, action);
  let mayHaveRun = false;
  let answer: HttpAnswer;
  try {
    answer = await sendCall(action.call, {
      address: place.server.address,
      onSending: () => mayHaveRun = true,
    });
  } catch (error) {
    context.fleet.eject(place.server.name);
    if (mayHaveRun) return await endUnknown(context, action);
    await context.ledger.retract(action.key, action.record.attempt);
    throw refuse(RefusalType.NotRun, messageOf(error));
  } finally {
    place.close();
  }
  await endAnswered(context, { action, answer });
}

/** Finds a server in time; a claim that grew old is given back unsent. */
async function placeOrRetract(
  context: EntryContext,
  { call, key, record, claimedMs }: OwnAction,
): Promise<Place> {
  const remainingMs = () => claimedMs + ACTION_SEND_LIMIT_MS - context.now();
  let reason = "the claim grew too old before it could be sent";
  try {
    await context.guard.ready();
    if (remainingMs() > 0) {
      const wait = { waitMs: remainingMs(), excluded: new Set<string>() };
      const place = await placeCall(context, call, wait);
      if (remainingMs() > 0) return place;
      place.close();
    }
  } catch (error) {
    if (!(error instanceof Refusal)) throw error;
    reason = error.message;
  }
  await context.ledger.retract(key, record.attempt);
  throw refuse(RefusalType.NotRun, reason);
}

async function endUnknown(
  context: EntryContext,
  { key, record, version }: OwnAction,
): Promise<never> {
  context.log(EVENTS.actionUnknown, { key });
  const ended = { ...record, state: ActionState.Unknown };
  await context.ledger.settle(key, { record: ended, version });
  throw unknownOutcome();
}

async function endAnswered(
  context: EntryContext,
  { action, answer }: {
    readonly action: OwnAction;
    readonly answer: HttpAnswer;
  },
): Promise<void> {
  const { key, record, version, exchange } = action;
  const contentType = contentTypeOf(answer);
  const { status, body } = answer;
  const kept: ActionAnswer = body.length > ACTION_ANSWER_MAX_BYTES
    ? { status, contentType }
    : { status, contentType, body: body.toString("base64") };
  const ended = { ...record, state: ActionState.Answered, answer: kept };
  await context.ledger.settle(key, { record: ended, version });
  sendAnswer(exchange, { status, contentType, body });
}

async function answerFromLedger(
  context: EntryContext,
  held: {
    readonly order: ActionOrder;
    readonly key: Fingerprint;
    readonly taken: ActionRecord;
    readonly fingerprint: Fingerprint;
  },
): Promise<void> {
  if (held.taken.fingerprint !== held.fingerprint) {
    throw new Refusal(
      RefusalType.Conflict,
      "idempotency-key: used before for another call",
    );
  }
  const record = held.taken.state === ActionState.Claimed
    ? await awaitEnd(context, held)
    : held.taken;
  const { answer } = record;
  if (answer === undefined) throw unknownOutcome();
  if (answer.body === undefined) {
    throw new Refusal(
      RefusalType.AnswerUnavailable,
      "the action ran once; its answer was too large to keep",
    );
  }
  held.order.exchange.response.setHeader(REPLAYED_HEADER, "true");
  sendAnswer(held.order.exchange, {
    status: answer.status,
    contentType: answer.contentType,
    body: Buffer.from(answer.body, "base64"),
  });
}

/** Waits until the claim's holder must have ended, if it still runs. */
async function awaitEnd(
  context: EntryContext,
  { key, order }: { readonly key: Fingerprint; readonly order: ActionOrder },
): Promise<ActionRecord> {
  const waitMs = ACTION_SEND_LIMIT_MS + order.call.service.callLimitMs +
    ACTION_SETTLE_MS;
  let record: ActionRecord | undefined;
  try {
    record = await context.ledger.awaitEnd(key, waitMs);
  } catch (error) {
    throw refuse(RefusalType.NotSent, messageOf(error));
  }
  if (record === undefined) {
    throw refuse(RefusalType.NotRun, "the other attempt was not sent");
  }
  return record;
}

function unknownOutcome(): Refusal {
  return new Refusal(
    RefusalType.OutcomeUnknown,
    "the action may have run and its end was not seen; it is not sent again",
  );
}

function refuse(type: RefusalType, message: string): Refusal {
  return new Refusal(type, message, 1);
}
