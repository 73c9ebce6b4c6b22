/** One stream of tokens from a model engine: starting, reading, cancelling. */

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
import { callHttp, splitAddress } from "./http_call.ts";
import { BatchQueue } from "./batch_queue.ts";
import { StallTimer } from "./stall_timer.ts";

/** Starts a stream. */
export interface StreamStart {
  readonly request: StartStreamRequest;
}

/** Reads on in a stream that runs. */
export interface StreamReattach {
  readonly stream: StreamId;
  /** Position of the first token wanted. */
  readonly from: number;
}

/** What is read and how long silence is borne. */
export interface ReadStreamOptions {
  /** IP and port of the engine. */
  readonly address: string;
  readonly modelVersion: string;
  readonly source: StreamStart | StreamReattach;
  /** Silence before the first token that is borne, in ms. */
  readonly firstTokenStallMs: number;
  /** Time to the first token that is borne without silence, in ms. */
  readonly firstTokenLimitMs: number;
  /** Silence between tokens that is borne, in ms. */
  readonly tokenStallMs: number;
  /** Ends the reading; an `AttemptError` as its reason says how it counts. */
  readonly signal: AbortSignal;
}

const CANCEL_TIMEOUT_MS = 300;

/**
 * Yields the events of a stream, as many at a time as arrived together.
 *
 * Errors: `AttemptError` when the stream ends before its end event.
 */
export async function* readStream(
  read: ReadStreamOptions,
): AsyncGenerator<readonly StreamEvent[]> {
  const outgoing = openRequest(read);
  let loss: AttemptError | undefined;
  const lose = (cause: FailureCause, detail: string) => {
    loss ??= new AttemptError(cause, detail);
    outgoing.destroy();
  };
  const stall = StallTimer.create(
    read.firstTokenStallMs,
    () => lose(FailureCause.Stalled, "silence"),
  );
  const firstToken = setTimeout(
    () => lose(FailureCause.Stalled, "no first token"),
    read.firstTokenLimitMs,
  );
  const onAbort = () => {
    const { reason } = read.signal;
    const cause = reason instanceof AttemptError
      ? reason.failureCause
      : FailureCause.Closed;
    lose(cause, "reader has gone");
  };
  read.signal.addEventListener("abort", onAbort);
  if (read.signal.aborted) onAbort();
  try {
    const response = await receiveResponse(outgoing);
    requireAccepted(response, read.modelVersion);
    const inbox = receiveEvents(response, () => stall.reset());
    while (true) {
      const events = await inbox.take();
      if (events.length === 0) break;
      clearTimeout(firstToken);
      stall.setLimit(read.tokenStallMs);
      stall.suspend();
      yield events;
      stall.resume();
    }
    throw loss ?? new AttemptError(FailureCause.Closed, "stream ended early");
  } catch (error) {
    if (loss !== undefined) throw loss;
    if (error instanceof AttemptError) throw error;
    throw new AttemptError(FailureCause.Closed, messageOf(error));
  } finally {
    stall.close();
    clearTimeout(firstToken);
    read.signal.removeEventListener("abort", onAbort);
    outgoing.destroy();
  }
}

/** What is known of a stream after its cancellation. */
export enum CancelResult {
  /** The engine says that no part of it ran. */
  NeverRan = "never_ran",
  Cancelled = "cancelled",
  NoResponse = "unanswered",
}

/** Cancels a stream unless somebody else reads it. */
export async function cancelStream(
  address: string,
  stream: StreamId,
): Promise<CancelResult> {
  try {
    const answer = await callHttp({
      address,
      method: "DELETE",
      path: `${STREAMS_PATH}/${stream}`,
      timeoutMs: CANCEL_TIMEOUT_MS,
    });
    if (answer.status !== 200) return CancelResult.Cancelled;
    const { ran } = JSON.parse(answer.body.toString()) as StreamCancelled;
    return ran ? CancelResult.Cancelled : CancelResult.NeverRan;
  } catch {
    return CancelResult.NoResponse;
  }
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
      reject(new AttemptError(FailureCause.Closed, "closed without an answer"));
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
    throw new AttemptError(cause, `status ${status}`);
  }
  const carried = response.headers[MODEL_VERSION_HEADER];
  if (carried !== modelVersion) {
    throw new AttemptError(FailureCause.VersionMismatch, `carries ${carried}`);
  }
}

function receiveEvents(
  response: IncomingMessage,
  onText: () => void,
): BatchQueue<StreamEvent> {
  const inbox = BatchQueue.create<StreamEvent>(response);
  let events: StreamEvent[] = [];
  const parser = createParser({
    onEvent: ({ data }) => events.push(JSON.parse(data) as StreamEvent),
  });
  response.setEncoding("utf8");
  response.on("data", (text: string) => {
    onText();
    events = [];
    parser.feed(text);
    inbox.push(events);
  });
  response.once("error", () => inbox.end());
  response.once("close", () => inbox.end());
  return inbox;
}
