/** Starts, reads and cancels streams of tokens from a model engine. */

import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { createParser } from "eventsource-parser";
import { match } from "ts-pattern";
import { AttemptError, FailureCause, messageOf } from "../errors.ts";
import type { StreamId } from "../ids.ts";
import {
  MODEL_VERSION_HEADER,
  type StartStreamRequest,
  type StreamCancelled,
  type StreamEvent,
  STREAMS_PATH,
} from "./engine_protocol.ts";
import { splitAddress } from "./address.ts";
import { callHttp } from "./http_call.ts";
import { FramingLimit } from "./response_limits.ts";
import { BatchQueue } from "./batch_queue.ts";
import { StallTimer } from "./stall_timer.ts";

/** Starts a new stream. */
export interface StreamStart {
  readonly request: StartStreamRequest;
}

/** Reattaches to a running stream. */
export interface StreamReattach {
  readonly stream: StreamId;
  /** Position of the first token to read. */
  readonly from: number;
}

/** Which stream is read, and when it counts as stalled. */
export interface ReadStreamOptions {
  /** IP and port of the engine. */
  readonly address: string;
  readonly modelVersion: string;
  readonly source: StreamStart | StreamReattach;
  /** Longest time without an event or comment before the first token, in ms. */
  readonly firstTokenStallMs: number;
  /** Timeout of the first token, in ms, even while comments arrive. */
  readonly firstTokenLimitMs: number;
  /** Longest time without an event or comment after that, in ms. */
  readonly tokenStallMs: number;
  /** Aborts reading; an `AttemptError` as its reason sets the failure cause. */
  readonly signal: AbortSignal;
}

/** Bytes that may arrive without an event, which has some hundred. */
const WITHOUT_EVENT_MAX_BYTES = 131_072;
const CANCEL_TIMEOUT_MS = 300;
/** Largest response to a cancellation, in bytes; it has one field. */
const CANCEL_RESPONSE_MAX_BYTES = 65_536;

/**
 * Yields the events of a stream in the batches in which they arrived.
 *
 * Errors: `AttemptError` when the stream ends before its end event.
 */
export async function* readStream(
  options: ReadStreamOptions,
): AsyncGenerator<readonly StreamEvent[]> {
  const outgoing = openRequest(options);
  let abortedBy: AttemptError | undefined;
  const abort = (cause: FailureCause, detail: string) => {
    abortedBy ??= new AttemptError(cause, detail);
    outgoing.destroy();
  };
  const framing = FramingLimit.create(
    outgoing,
    () => abort(FailureCause.Closed, "response has too few bytes of content"),
  );
  const stall = StallTimer.create(
    options.firstTokenStallMs,
    () => abort(FailureCause.Stalled, "no event within the stall limit"),
  );
  const firstToken = setTimeout(
    () =>
      abort(FailureCause.Stalled, "no token within the first-token timeout"),
    options.firstTokenLimitMs,
  );
  const onAbort = () => {
    const { reason } = options.signal;
    const cause = reason instanceof AttemptError
      ? reason.failureCause
      : FailureCause.Closed;
    abort(cause, "reading was aborted");
  };
  options.signal.addEventListener("abort", onAbort);
  if (options.signal.aborted) onAbort();
  try {
    const response = await receiveResponse(outgoing);
    requireAccepted(response, options.modelVersion);
    const queue = receiveEvents(response, {
      onContent: (bytes) => framing.addContent(bytes),
      onActivity: () => stall.reset(),
      onDamaged: (detail) => abort(FailureCause.Closed, detail),
    });
    while (true) {
      const events = await queue.take();
      if (events.length === 0) break;
      clearTimeout(firstToken);
      stall.setLimit(options.tokenStallMs);
      stall.suspend();
      yield events;
      stall.resume();
    }
    throw abortedBy ??
      new AttemptError(
        FailureCause.Closed,
        "stream ended before its end event",
      );
  } catch (error) {
    if (abortedBy !== undefined) throw abortedBy;
    if (error instanceof AttemptError) throw error;
    throw new AttemptError(FailureCause.Closed, messageOf(error));
  } finally {
    stall.close();
    clearTimeout(firstToken);
    options.signal.removeEventListener("abort", onAbort);
    outgoing.destroy();
  }
}

/** What is known of a cancelled stream. */
export enum CancelResult {
  /** The engine states that no part of it ran. */
  NeverRan = "never_ran",
  Cancelled = "cancelled",
  NoResponse = "unanswered",
}

/** Cancels a stream unless another reader is attached. */
export async function cancelStream(
  address: string,
  stream: StreamId,
): Promise<CancelResult> {
  try {
    const response = await callHttp({
      address,
      method: "DELETE",
      path: `${STREAMS_PATH}/${stream}`,
      timeoutMs: CANCEL_TIMEOUT_MS,
      bodyMaxBytes: CANCEL_RESPONSE_MAX_BYTES,
    });
    if (response.status !== 200) return CancelResult.Cancelled;
    return parseCancelResult(JSON.parse(response.body.toString()));
  } catch {
    return CancelResult.NoResponse;
  }
}

/** Only an explicit statement proves that no part of the stream ran. */
function parseCancelResult(
  body: Partial<Record<keyof StreamCancelled, unknown>> | null,
): CancelResult {
  if (body?.ran === true) return CancelResult.Cancelled;
  return body?.ran === false ? CancelResult.NeverRan : CancelResult.NoResponse;
}

function openRequest({ address, source }: ReadStreamOptions): ClientRequest {
  const { host, port } = splitAddress(address);
  const target = { host, port, agent: false as const };
  if ("stream" in source) {
    const path = `${STREAMS_PATH}/${source.stream}?from=${source.from}`;
    return request({ ...target, method: "GET", path }).end();
  }
  const body = JSON.stringify(source.request);
  return request({
    ...target,
    method: "POST",
    path: STREAMS_PATH,
    headers: {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    },
  }).end(body);
}

function receiveResponse(outgoing: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    let isConnected = false;
    outgoing.once("socket", (socket) => {
      socket.once("connect", () => isConnected = true);
    });
    outgoing.once("response", resolve);
    outgoing.on("error", (error) => {
      const cause = isConnected
        ? FailureCause.Closed
        : FailureCause.Unreachable;
      reject(new AttemptError(cause, error.message));
    });
    outgoing.once("close", () => {
      reject(
        new AttemptError(
          FailureCause.Closed,
          "connection closed before a response",
        ),
      );
    });
  });
}

function requireAccepted(
  response: IncomingMessage,
  modelVersion: string,
): void {
  const status = response.statusCode ?? 0;
  if (status !== 200) {
    response.resume();
    const cause = match(status)
      .with(409, () => FailureCause.VersionMismatch)
      .with(404, 416, 429, 503, () => FailureCause.Rejected)
      .otherwise(() => FailureCause.Closed);
    throw new AttemptError(cause, `expected status 200, got ${status}`);
  }
  const actualVersion = response.headers[MODEL_VERSION_HEADER];
  if (actualVersion !== modelVersion) {
    throw new AttemptError(
      FailureCause.VersionMismatch,
      `expected the requested model version, got ${actualVersion}`,
    );
  }
}

function receiveEvents(
  response: IncomingMessage,
  { onContent, onActivity, onDamaged }: {
    readonly onContent: (bytes: number) => void;
    /** Called for each event and comment. */
    readonly onActivity: () => void;
    /** Called once when the stream can't be read further. */
    readonly onDamaged: (detail: string) => void;
  },
): BatchQueue<StreamEvent> {
  const queue = BatchQueue.create<StreamEvent>(response);
  let events: StreamEvent[] = [];
  let isDamaged = false;
  let bytesWithoutEvent = 0;
  const parser = createParser({
    onEvent: ({ data }) => {
      events.push(parseEvent(data));
      bytesWithoutEvent = 0;
      onActivity();
    },
    onComment: onActivity,
  });
  response.setEncoding("utf8");
  response.on("data", (text: string) => {
    if (isDamaged) return;
    const length = Buffer.byteLength(text);
    onContent(length);
    events = [];
    bytesWithoutEvent += length;
    try {
      parser.feed(text);
      checkEventArrives(bytesWithoutEvent);
    } catch (error) {
      isDamaged = true;
      onDamaged(messageOf(error));
    }
    queue.push(events);
  });
  response.once("error", () => queue.end());
  response.once("close", () => queue.end());
  return queue;
}

/** Errors: throws if too many bytes arrived since the last event. */
function checkEventArrives(bytes: number): void {
  if (bytes <= WITHOUT_EVENT_MAX_BYTES) return;
  throw new Error(`no event in ${WITHOUT_EVENT_MAX_BYTES} bytes`);
}

/** Errors: throws if `data` is no event. */
function parseEvent(data: string): StreamEvent {
  const event: unknown = JSON.parse(data);
  if (!isStreamEvent(event)) throw new Error("event has an unexpected shape");
  return event;
}

function isStreamEvent(value: unknown): value is StreamEvent {
  if (typeof value !== "object" || value === null) return false;
  const { p, t, end } = value as Partial<Record<keyof StreamEvent, unknown>>;
  return Number.isSafeInteger(p) &&
    (t === undefined || typeof t === "string") &&
    (end === undefined || typeof end === "string");
}
