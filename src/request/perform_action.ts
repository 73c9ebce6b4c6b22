/** Runs a non-idempotent call at most once, resting on the ledger. */

import { randomUUID } from "node:crypto";
import { match } from "ts-pattern";
import type { HttpResponse } from "../connection/http_call.ts";
import type { ObjectRevision } from "../ids.ts";
import {
  ACTION_CLAIM_MAX_AGE_MS,
  ACTION_OUTCOME_GRACE_MS,
  ACTION_RESPONSE_MAX_BYTES,
} from "../constants.ts";
import { messageOf, RequestError, RequestErrorType } from "../errors.ts";
import { hashParts, hashText } from "../hashing.ts";
import type { ActionAttemptId, Fingerprint } from "../ids.ts";
import type { Reservation } from "../process/dispatcher.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import { ClaimResult } from "../process/action_store.ts";
import {
  type ActionRecord,
  type ActionResponse,
  ActionState,
} from "./action_record.ts";
import {
  contentTypeOf,
  placeCall,
  sendCall,
  sendResponse,
  type ServiceCall,
} from "./call_service.ts";
import { type Exchange, singleHeader } from "./exchange.ts";

/** A non-idempotent call and where its answer goes. */
export interface ActionRequest {
  readonly exchange: Exchange;
  readonly call: ServiceCall;
}

/** An action whose record this attempt created. */
interface OwnAction extends ActionRequest {
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
 * Errors: a `RequestError`; of type not run only if no attempt with this key sent.
 */
export async function performAction(
  context: EntryContext,
  order: ActionRequest,
): Promise<void> {
  const key = actionKey(order);
  const record: ActionRecord = {
    attempt: randomUUID() as string as ActionAttemptId,
    entry: context.settings.id,
    fingerprint: fingerprintOf(order.call),
    state: ActionState.Claimed,
  };
  const claimedMs = context.now();
  const claim = await context.actionStore.claim(key, record);
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
      throw refuse(RequestErrorType.NotRun, "the action could not be recorded");
    })
    .with({ result: ClaimResult.Unreadable }, () => {
      throw refuse(RequestErrorType.NotSent, "the platform can't be read");
    })
    .exhaustive();
}

function actionKey({ call, exchange }: ActionRequest): Fingerprint {
  const key = singleHeader(exchange, "idempotency-key") ?? "";
  if (!KEY.test(key)) {
    throw new RequestError(
      RequestErrorType.InvalidRequest,
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
  let answer: HttpResponse;
  try {
    answer = await sendCall(action.call, {
      address: place.server.address,
      onSent: () => mayHaveRun = true,
    });
  } catch (error) {
    context.serverPool.eject(place.server.name);
    if (mayHaveRun) return await endUnknown(context, action);
    await context.actionStore.releaseClaim(action.key, action.record.attempt);
    throw refuse(RequestErrorType.NotRun, messageOf(error));
  } finally {
    place.release();
  }
  await endAnswered(context, { action, answer });
}

/** Finds a server in time; a claim that grew old is given back unsent. */
async function placeOrRetract(
  context: EntryContext,
  { call, key, record, claimedMs }: OwnAction,
): Promise<Reservation> {
  const remainingMs = () => claimedMs + ACTION_CLAIM_MAX_AGE_MS - context.now();
  let reason = "the claim grew too old before it could be sent";
  try {
    await context.pauseDetector.ready();
    if (remainingMs() > 0) {
      const wait = { waitMs: remainingMs(), excluded: new Set<string>() };
      const place = await placeCall(context, call, wait);
      if (remainingMs() > 0) return place;
      place.release();
    }
  } catch (error) {
    if (!(error instanceof RequestError)) throw error;
    reason = error.message;
  }
  await context.actionStore.releaseClaim(key, record.attempt);
  throw refuse(RequestErrorType.NotRun, reason);
}

async function endUnknown(
  context: EntryContext,
  { key, record, version }: OwnAction,
): Promise<never> {
  context.log(LOG_EVENTS.actionOutcomeUnknown, { key });
  const ended = { ...record, state: ActionState.Unknown };
  await context.actionStore.recordOutcome(key, { record: ended, version });
  throw unknownOutcome();
}

async function endAnswered(
  context: EntryContext,
  { action, answer }: {
    readonly action: OwnAction;
    readonly answer: HttpResponse;
  },
): Promise<void> {
  const { key, record, version, exchange } = action;
  const contentType = contentTypeOf(answer);
  const { status, body } = answer;
  const kept: ActionResponse = body.length > ACTION_RESPONSE_MAX_BYTES
    ? { status, contentType }
    : { status, contentType, body: body.toString("base64") };
  const ended = { ...record, state: ActionState.Answered, answer: kept };
  await context.actionStore.recordOutcome(key, { record: ended, version });
  sendResponse(exchange, { status, contentType, body });
}

async function answerFromLedger(
  context: EntryContext,
  held: {
    readonly order: ActionRequest;
    readonly key: Fingerprint;
    readonly taken: ActionRecord;
    readonly fingerprint: Fingerprint;
  },
): Promise<void> {
  if (held.taken.fingerprint !== held.fingerprint) {
    throw new RequestError(
      RequestErrorType.Conflict,
      "idempotency-key: used before for another call",
    );
  }
  const record = held.taken.state === ActionState.Claimed
    ? await awaitEnd(context, held)
    : held.taken;
  const { answer } = record;
  if (answer === undefined) throw unknownOutcome();
  if (answer.body === undefined) {
    throw new RequestError(
      RequestErrorType.AnswerUnavailable,
      "the action ran once; its answer was too large to keep",
    );
  }
  held.order.exchange.response.setHeader(REPLAYED_HEADER, "true");
  sendResponse(held.order.exchange, {
    status: answer.status,
    contentType: answer.contentType,
    body: Buffer.from(answer.body, "base64"),
  });
}

/** Waits until the claim's holder must have ended, if it still runs. */
async function awaitEnd(
  context: EntryContext,
  { key, order }: { readonly key: Fingerprint; readonly order: ActionRequest },
): Promise<ActionRecord> {
  const waitMs = ACTION_CLAIM_MAX_AGE_MS + order.call.service.callLimitMs +
    ACTION_OUTCOME_GRACE_MS;
  let record: ActionRecord | undefined;
  try {
    record = await context.actionStore.awaitOutcome(key, waitMs);
  } catch (error) {
    throw refuse(RequestErrorType.NotSent, messageOf(error));
  }
  if (record === undefined) {
    throw refuse(RequestErrorType.NotRun, "the other attempt was not sent");
  }
  return record;
}

function unknownOutcome(): RequestError {
  return new RequestError(
    RequestErrorType.OutcomeUnknown,
    "the action may have run and its end was not seen; it is not sent again",
  );
}

function refuse(type: RequestErrorType, message: string): RequestError {
  return new RequestError(type, message, 1);
}
