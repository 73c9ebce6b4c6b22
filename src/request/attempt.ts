/** One attempt of a generation: a stream on one backend server. */

import { randomUUID } from "node:crypto";
import type { StreamEvent } from "../connection/engine_protocol.ts";
import {
  readStream,
  type StreamReattach,
  type StreamStart,
} from "../connection/engine_stream.ts";
import {
  AttemptError,
  createInterruptedError,
  FailureCause,
} from "../errors.ts";
import type { RequestId, StreamId } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import {
  type CompletionRequest,
  estimateCost,
  type Resumption,
} from "./completion_request.ts";
import type { Journal } from "./journal.ts";
import { isolate, isSuspect } from "./suspect.ts";

/** What tells a stream from all others. */
export interface StreamLocation {
  /** Name of the backend server. */
  readonly server: string;
  /** IP and port of the backend server. */
  readonly address: string;
  readonly stream: StreamId;
  /** Position of the stream's first token. */
  readonly streamStart: number;
}

/** A stream that this entry reads. */
export interface Attempt extends StreamLocation {
  readonly source: StreamStart | StreamReattach;
  /** Takes the attempt back. */
  readonly controller: AbortController;
  /** Ends the isolation of a suspected request. */
  readonly endIsolation: () => void;
  /** Gives the place on the server back, and ends the isolation. */
  readonly close: () => void;
}

/** What an attempt is started for. */
export interface AttemptOptions {
  readonly requestId: RequestId;
  readonly request: CompletionRequest;
  readonly modelVersion: string;
  readonly journal: Journal;
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Longest wait for a place, in ms. */
  readonly waitMs: number;
  readonly isResumed: boolean;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** How an attempt is read. */
export interface ReadAttemptOptions {
  readonly attempt: Attempt;
  readonly modelVersion: string;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/**
 * Waits for a place and prepares a stream there.
 *
 * Errors: a `RequestError` of type not run.
 */
export async function startAttempt(
  context: EntryContext,
  wish: AttemptOptions,
): Promise<Attempt> {
  const { request: order, journal } = wish;
  const controller = new AbortController();
  const preempted = new AttemptError(FailureCause.Preempted);
  const place = await context.dispatcher.reserve({
    rank: order.rank,
    customer: order.customer.name,
    weight: order.customer.weight,
    cost: estimateCost(order) - journal.position,
    ...serverWish(context, wish),
    waitMs: wish.waitMs,
    signal: wish.signal,
    isResumed: wish.isResumed,
    onPreempt: () => controller.abort(preempted),
  });
  const stream = randomUUID() as string as StreamId;
  const server = place.server.name;
  const { fingerprint } = order;
  const prove = isolate(context, { server, fingerprint });
  return {
    server,
    address: place.server.address,
    stream,
    streamStart: journal.position,
    source: { request: createStreamOrder(stream, wish) },
    controller,
    endIsolation: prove,
    close: () => {
      prove();
      place.release();
    },
  };
}

/** Returns an attempt that reads on in a stream which may still run. */
export function reattach(
  { serverPool: fleet }: EntryContext,
  { place, from }: { readonly place: StreamLocation; readonly from: number },
): Attempt {
  const { server, address, stream, streamStart } = place;
  fleet.begin(server);
  return {
    server,
    address,
    stream,
    streamStart,
    source: { stream, from },
    controller: new AbortController(),
    endIsolation: () => undefined,
    close: () => fleet.end(server),
  };
}

/**
 * Returns the stream that a caller's cursor names, or `undefined` when its
 * server is gone and the caller's text can go on elsewhere.
 *
 * Errors: a `RequestError` of type interrupted when only that stream could go on.
 */
export function findCursorStream(
  { serverPool: fleet }: EntryContext,
  { cursor, text }: Resumption,
): StreamLocation | undefined {
  const mustRebuild = text === undefined;
  if (mustRebuild && cursor.streamStart > 0) {
    throw createInterruptedError(
      "send the text received as resume_text to go on",
    );
  }
  const { server, stream, streamStart } = cursor;
  const view = fleet.view(server);
  if (view !== undefined) {
    return { server, address: view.server.address, stream, streamStart };
  }
  if (mustRebuild) throw createInterruptedError("the backend server is gone");
  return undefined;
}

/** Yields an attempt's events. Errors: `AttemptError`. */
export function readAttempt(
  { settings }: EntryContext,
  { attempt, modelVersion, signal }: ReadAttemptOptions,
): AsyncGenerator<readonly StreamEvent[]> {
  return readStream({
    address: attempt.address,
    modelVersion,
    source: attempt.source,
    firstTokenStallMs: settings.firstTokenStallTimeoutMs,
    firstTokenLimitMs: settings.firstTokenTimeoutMs,
    tokenStallMs: settings.tokenStallTimeoutMs,
    signal: AbortSignal.any([signal, attempt.controller.signal]),
  });
}

/** Whether any server could take the attempt, now or after a wait. */
export function canStart(context: EntryContext, wish: AttemptOptions): boolean {
  return context.serverPool.canServe(serverWish(context, wish));
}

function serverWish(
  context: EntryContext,
  { request: order, modelVersion, excluded }: AttemptOptions,
) {
  return {
    service: order.service.name,
    modelVersion,
    excluded,
    preferred: "",
    isSuspect: isSuspect(context, order.fingerprint),
  };
}

function createStreamOrder(
  stream: StreamId,
  { requestId: request, request: order, modelVersion, journal }: AttemptOptions,
) {
  return {
    stream,
    request,
    model: order.model.name,
    modelVersion,
    prompt: order.prompt,
    journal: journal.text,
    position: journal.position,
    maxTokens: order.maxTokens,
    priority: order.rank.order,
  };
}
