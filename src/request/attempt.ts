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
import { type RequestTimes, reserveSlot } from "./entry_admission.ts";
import type { Journal } from "./journal.ts";
import { isolate, isSuspect } from "./suspect.ts";

/** Identifies a stream among those of all backend servers. */
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
  /** Reattachments to its stream in a row; 0 for a started one. */
  readonly reattachments: number;
  /** Aborted to end the attempt, for example on preemption. */
  readonly controller: AbortController;
  /** Ends the isolation of a suspected request on its server. */
  readonly endIsolation: () => void;
  /** Releases the slot on the server and ends the isolation. */
  readonly close: () => void;
}

/** Options of `startAttempt`. */
export interface AttemptOptions {
  readonly requestId: RequestId;
  readonly request: CompletionRequest;
  readonly modelVersion: string;
  readonly journal: Journal;
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Longest wait for a slot, in ms. */
  readonly waitMs: number;
  /** Whether an earlier attempt may have run. */
  readonly isResumed: boolean;
  /** `undefined` if an earlier attempt of this request may have run. */
  readonly times: RequestTimes | undefined;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Options of `readAttempt`. */
export interface ReadAttemptOptions {
  readonly attempt: Attempt;
  readonly modelVersion: string;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/**
 * Waits for a slot on a backend server and returns an attempt that uses it.
 *
 * Errors: a `RequestError` of type not run.
 */
export async function startAttempt(
  context: EntryContext,
  options: AttemptOptions,
): Promise<Attempt> {
  const { request, journal } = options;
  const controller = new AbortController();
  const preempted = new AttemptError(FailureCause.Preempted);
  const reservation = await reserveSlot(context, {
    times: options.times,
    rank: request.rank,
    customer: request.customer.name,
    weight: request.customer.weight,
    cost: estimateCost(request) - journal.position,
    ...serverCriteria(context, options),
    waitMs: options.waitMs,
    signal: options.signal,
    isResumed: options.isResumed,
    onPreempt: () => controller.abort(preempted),
  });
  const stream = randomUUID() as string as StreamId;
  const server = reservation.server.name;
  const { crashFingerprint: fingerprint } = request;
  const endIsolation = isolate(context, { server, fingerprint });
  return {
    server,
    address: reservation.server.address,
    stream,
    streamStart: journal.position,
    source: { request: createStreamRequest(stream, options) },
    reattachments: 0,
    controller,
    endIsolation,
    close: () => {
      endIsolation();
      reservation.release();
    },
  };
}

/** Returns an attempt that continues to read a stream that may still run. */
export function reattach(
  { serverPool }: EntryContext,
  { location, from, reattachments }: {
    readonly location: StreamLocation;
    readonly from: number;
    /** Reattachments in a row, this one included. */
    readonly reattachments: number;
  },
): Attempt {
  const { server, address, stream, streamStart } = location;
  serverPool.begin(server);
  return {
    server,
    address,
    stream,
    streamStart,
    source: { stream, from },
    reattachments,
    controller: new AbortController(),
    endIsolation: () => undefined,
    close: () => serverPool.end(server),
  };
}

/**
 * Returns the stream that a caller's cursor names, or `undefined` when its
 * server was removed and the generation can resume on another server.
 *
 * Errors: a `RequestError` of type interrupted when the generation can resume
 * only with the caller's text, or only on a server that was removed.
 */
export function findCursorStream(
  { serverPool }: EntryContext,
  { cursor, text }: Resumption,
): StreamLocation | undefined {
  const hasNoText = text === undefined;
  if (hasNoText && cursor.streamStart > 0) {
    throw createInterruptedError(
      "resume_text: required to resume from this cursor, but missing",
    );
  }
  const { server, stream, streamStart } = cursor;
  const view = serverPool.view(server);
  if (view !== undefined) {
    return { server, address: view.server.address, stream, streamStart };
  }
  if (hasNoText) throw createInterruptedError("the cursor's server is gone");
  return undefined;
}

/** Yields the events of an attempt's stream. Errors: `AttemptError`. */
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

/** Whether any server could run the attempt, now or after a wait. */
export function canStart(
  context: EntryContext,
  options: AttemptOptions,
): boolean {
  return context.serverPool.canServe(serverCriteria(context, options));
}

function serverCriteria(
  context: EntryContext,
  { request, modelVersion, excluded }: AttemptOptions,
) {
  return {
    service: request.service.name,
    modelVersion,
    excluded,
    preferred: "",
    isSuspect: isSuspect(context, request.crashFingerprint),
  };
}

function createStreamRequest(
  stream: StreamId,
  { requestId, request, modelVersion, journal }: AttemptOptions,
) {
  return {
    stream,
    request: requestId,
    model: request.model.name,
    modelVersion,
    prompt: request.prompt,
    journal: journal.text,
    position: journal.position,
    maxTokens: request.maxTokens,
    priority: request.rank.order,
  };
}
