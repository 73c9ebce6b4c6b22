/** Runs a non-idempotent call at most once, by a claim in the action store. */

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
import { toNotSent } from "./entry_admission.ts";
import {
  type Exchange,
  IDEMPOTENCY_KEY_HEADER,
  singleHeader,
} from "./exchange.ts";

/** A non-idempotent call and the exchange that receives its response. */
export interface ActionRequest {
  readonly exchange: Exchange;
  readonly call: ServiceCall;
}

/** An action that this attempt has claimed. */
interface ClaimedAction extends ActionRequest {
  readonly key: Fingerprint;
  readonly record: ActionRecord;
  readonly version: ObjectRevision;
  /** When the claim was requested, on the monotonic clock in ms. */
  readonly claimedMs: number;
}

const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;
const REPLAYED_HEADER = "x-gypsumridge-replayed";

/**
 * Claims the action and sends it, or responds from the stored record.
 *
 * Errors: a `RequestError`; its type is not run only if no attempt with this
 * key was sent.
 */
export async function performAction(
  context: EntryContext,
  request: ActionRequest,
): Promise<void> {
  const key = actionKey(request);
  const record: ActionRecord = {
    attempt: randomUUID() as string as ActionAttemptId,
    entry: context.settings.id,
    fingerprint: fingerprintOf(request.call),
    state: ActionState.Claimed,
  };
  const rejection = context.shutdownAdmission.rejection(request.call.times);
  if (rejection !== undefined) throw toNotSent(rejection);
  const claimedMs = context.now();
  const claim = await context.actionStore.claim(key, record);
  await match(claim)
    .with(
      { result: ClaimResult.Granted },
      ({ version }) =>
        sendAction(context, { ...request, key, record, version, claimedMs }),
    )
    .with({ result: ClaimResult.Taken }, (taken) =>
      respondFromRecord(context, {
        request,
        key,
        existing: taken.record,
        fingerprint: record.fingerprint,
      }))
    .with({ result: ClaimResult.Absent }, () => {
      throw createError(
        RequestErrorType.NotRun,
        "the action's record could not be created",
      );
    })
    .with({ result: ClaimResult.Unreadable }, () => {
      throw createError(
        RequestErrorType.NotSent,
        "the action's record could not be read",
      );
    })
    .exhaustive();
}

function actionKey({ call, exchange }: ActionRequest): Fingerprint {
  const key = singleHeader(exchange, IDEMPOTENCY_KEY_HEADER) ?? "";
  if (!IDEMPOTENCY_KEY.test(key)) {
    throw new RequestError(
      RequestErrorType.InvalidRequest,
      "idempotency-key: required, must be 1 to 255 visible ASCII characters",
    );
  }
  const parts = [call.customer.name, call.service.name, key];
  return hashParts(parts) as string as Fingerprint;
}

function fingerprintOf({ method, path, body }: ServiceCall): Fingerprint {
  const parts = [method, path, hashText(body.toString("base64"))];
  return hashParts(parts) as string as Fingerprint;
}

async function sendAction(
  context: EntryContext,
  action: ClaimedAction,
): Promise<void> {
  const release = () =>
    context.actionStore.releaseClaim(action.key, action.record.attempt);
  const { ending } = action.exchange;
  ending.update({ type: () => RequestErrorType.NotRun, record: release });
  const reservation = await reserveServer(context, action);
  // A connection that is being opened may still be used.
  ending.update({
    type: () => RequestErrorType.OutcomeUnknown,
    record: () => storeUnknownOutcome(context, action),
  });
  let mayHaveRun = false;
  let response: HttpResponse;
  try {
    response = await sendCall(action.call, {
      address: reservation.server.address,
      onSent: () => mayHaveRun = true,
      buffers: context.responseBuffers,
    });
  } catch (error) {
    context.serverPool.eject(reservation.server.name);
    if (mayHaveRun) return await recordUnknownOutcome(context, action);
    ending.update({ type: () => RequestErrorType.NotRun, record: release });
    await release();
    throw createError(RequestErrorType.NotRun, messageOf(error));
  } finally {
    reservation.release();
  }
  await recordResponse(context, { action, response });
}

/**
 * Reserves a server; releases the claim if it expires first or the call may no
 * longer be sent.
 */
async function reserveServer(
  context: EntryContext,
  { call, key, record, claimedMs }: ClaimedAction,
): Promise<Reservation> {
  const remainingMs = () => claimedMs + ACTION_CLAIM_MAX_AGE_MS - context.now();
  let rejection = createError(
    RequestErrorType.NotRun,
    "the claim expired before the call was sent",
  );
  try {
    await context.pauseDetector.ready();
    if (remainingMs() > 0) {
      const reservation = await placeCall(context, call, {
        waitMs: remainingMs(),
        excluded: new Set<string>(),
        mayHaveRun: false,
      });
      if (remainingMs() > 0) return reservation;
      reservation.release();
    }
  } catch (error) {
    if (!(error instanceof RequestError)) throw error;
    rejection = error;
  }
  await context.actionStore.releaseClaim(key, record.attempt);
  throw rejection;
}

async function recordUnknownOutcome(
  context: EntryContext,
  action: ClaimedAction,
): Promise<never> {
  await storeUnknownOutcome(context, action);
  throw createUnknownOutcomeError();
}

async function storeUnknownOutcome(
  { log, actionStore }: EntryContext,
  { key, record, version }: ClaimedAction,
): Promise<void> {
  log(LOG_EVENTS.actionOutcomeUnknown, { key });
  const outcome = { ...record, state: ActionState.Unknown };
  await actionStore.recordOutcome(key, { record: outcome, version });
}

async function recordResponse(
  context: EntryContext,
  { action, response }: {
    readonly action: ClaimedAction;
    readonly response: HttpResponse;
  },
): Promise<void> {
  const { key, record, version, exchange } = action;
  const contentType = contentTypeOf(response);
  const { status, body } = response;
  const stored: ActionResponse = body.length > ACTION_RESPONSE_MAX_BYTES
    ? { status, contentType }
    : { status, contentType, body: body.toString("base64") };
  const outcome = { ...record, state: ActionState.Answered, answer: stored };
  const respond = () => sendResponse(exchange, { status, contentType, body });
  const recorded = context.actionStore.recordOutcome(key, {
    record: outcome,
    version,
  });
  exchange.ending.update({ respond, record: () => recorded });
  await recorded;
  respond();
}

async function respondFromRecord(
  context: EntryContext,
  repeat: {
    readonly request: ActionRequest;
    readonly key: Fingerprint;
    readonly existing: ActionRecord;
    readonly fingerprint: Fingerprint;
  },
): Promise<void> {
  if (repeat.existing.fingerprint !== repeat.fingerprint) {
    throw new RequestError(
      RequestErrorType.Conflict,
      "idempotency-key: already used for a different call",
    );
  }
  const record = repeat.existing.state === ActionState.Claimed
    ? await awaitOtherAttempt(context, repeat)
    : repeat.existing;
  const { answer: response } = record;
  if (response === undefined) throw createUnknownOutcomeError();
  if (response.body === undefined) {
    throw new RequestError(
      RequestErrorType.AnswerUnavailable,
      "the action ran once; its response was too large to store",
    );
  }
  repeat.request.exchange.response.setHeader(REPLAYED_HEADER, "true");
  sendResponse(repeat.request.exchange, {
    status: response.status,
    contentType: response.contentType,
    body: Buffer.from(response.body, "base64"),
  });
}

/** Waits for the attempt that holds the claim, as long as it can run. */
async function awaitOtherAttempt(
  context: EntryContext,
  { key, request }: {
    readonly key: Fingerprint;
    readonly request: ActionRequest;
  },
): Promise<ActionRecord> {
  const waitMs = ACTION_CLAIM_MAX_AGE_MS + request.call.service.callLimitMs +
    ACTION_OUTCOME_GRACE_MS;
  let record: ActionRecord | undefined;
  try {
    record = await context.actionStore.awaitOutcome(key, waitMs);
  } catch (error) {
    throw createError(RequestErrorType.NotSent, messageOf(error));
  }
  if (record === undefined) {
    throw createError(
      RequestErrorType.NotRun,
      "the other attempt with this key was not sent",
    );
  }
  return record;
}

function createUnknownOutcomeError(): RequestError {
  return new RequestError(
    RequestErrorType.OutcomeUnknown,
    "the action may have run, but no response arrived; it is not sent again",
  );
}

function createError(type: RequestErrorType, message: string): RequestError {
  return new RequestError(type, message, 1);
}
