/**
 * Until when an entry sends a request to a backend server during a graceful
 * shutdown: one that came whole within the notice, as long as it can complete
 * before the deadline; any other, never.
 */

import { createHeldRefusal, readBody } from "../connection/http_server.ts";
import { RequestError, RequestErrorType } from "../errors.ts";
import type { DispatchRequest, Reservation } from "../process/dispatcher.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { type Exchange, IDEMPOTENCY_KEY_HEADER } from "./exchange.ts";
import type { Shutdown } from "./shutdown_admission.ts";

/** What the time limits of a request depend on; times in ms. */
export interface RequestTimes {
  /**
   * When its body was complete, on the monotonic clock; `undefined` while it is
   * not.
   */
  readonly receivedMs: number | undefined;
  /** Time that it may need on a server. */
  readonly durationMs: number;
}

/** A request whose body is complete. */
export interface ReceivedBody {
  readonly body: Buffer;
  /** When it was complete, on the monotonic clock in ms. */
  readonly receivedMs: number;
}

/** Times of a request whose body is not complete. */
const INCOMPLETE: RequestTimes = { receivedMs: undefined, durationMs: 0 };

/** Returns until when a request is sent, on the monotonic clock in ms. */
export function entryClosingMs(
  { receivedMs = Infinity, durationMs }: RequestTimes,
  { noticeEndMs, endMs }: Shutdown & { readonly noticeEndMs: number },
): number {
  if (receivedMs > noticeEndMs) return noticeEndMs;
  return Math.max(noticeEndMs, endMs - durationMs);
}

/**
 * Reads a request's body.
 *
 * Errors: `RequestError`; of type not run, or not sent if the request has an
 * idempotency key, when the entry shuts down first.
 */
export async function receiveBody(
  { settings, shutdownAdmission, callerGuard, now }: EntryContext,
  { request }: Exchange,
): Promise<ReceivedBody> {
  const held = callerGuard.load.request(request);
  try {
    const body = await shutdownAdmission.whileAccepted(
      INCOMPLETE,
      readBody(request, settings.bodyMaxBytes, held),
    );
    if (held?.markSent() === false) throw createHeldRefusal();
    return { body, receivedMs: now() };
  } catch (error) {
    const hasKey = request.headers[IDEMPOTENCY_KEY_HEADER] !== undefined;
    throw hasKey && error instanceof RequestError ? toNotSent(error) : error;
  }
}

/**
 * Returns the refusal of a request whose idempotency key was not looked up: an
 * earlier request with it may have run.
 */
export function toNotSent(error: RequestError): RequestError {
  if (error.type !== RequestErrorType.NotRun) return error;
  const { message, retryAfterS } = error;
  return new RequestError(RequestErrorType.NotSent, message, retryAfterS);
}

/**
 * Waits for a slot on a server.
 *
 * Errors: a `RequestError` of type not run; also if the request may no longer be
 * sent because the entry shuts down.
 */
export async function reserveSlot(
  { dispatcher, shutdownAdmission }: EntryContext,
  request: DispatchRequest & {
    /** `undefined` if it may have run, so it can't be refused as not run. */
    readonly times: RequestTimes | undefined;
  },
): Promise<Reservation> {
  const { times } = request;
  const rejection = () =>
    times === undefined ? undefined : shutdownAdmission.rejection(times);
  const refusal = rejection();
  if (refusal !== undefined) throw refusal;
  const reservation = await dispatcher.reserve({ ...request, rejection });
  const lateRefusal = rejection();
  if (lateRefusal === undefined) return reservation;
  reservation.release();
  throw lateRefusal;
}
