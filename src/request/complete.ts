/** `POST /v1/completions`: generates a completion, streamed or in full. */

import { RequestError } from "../errors.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import { SseResponse } from "./sse_response.ts";
import {
  type CompletionRequest,
  parseCompletionRequest,
} from "./completion_request.ts";
import { receiveBody } from "./entry_admission.ts";
import {
  authenticate,
  callerSignal,
  type Exchange,
  respondJson,
  type Route,
  singleHeader,
} from "./exchange.ts";
import { type CompletionChunk, Generation } from "./generation.ts";

/** The route of completions. */
export const COMPLETIONS_ROUTE: Route = {
  method: "POST",
  path: "/v1/completions",
  handle: complete,
};

async function complete(
  context: EntryContext,
  exchange: Exchange,
): Promise<void> {
  const signal = callerSignal(exchange);
  const { body, receivedMs } = await receiveBody(context, exchange);
  const request = await parseRequest(context, { exchange, body });
  const generation = Generation.create(context, {
    requestId: exchange.id,
    request,
    receivedMs,
    signal,
  });
  exchange.ending.update({ type: () => generation.endingType });
  const completion = { context, exchange, generation, request };
  let outcome = "complete";
  try {
    if (request.isStreamed) {
      await sendStream(completion);
    } else {
      await sendFull(completion);
    }
  } catch (error) {
    outcome = error instanceof RequestError ? error.type : "error";
    throw error;
  } finally {
    context.metrics.requests.inc({
      service: request.service.name,
      rank: request.rank.name,
      outcome: signal.aborted ? "caller_gone" : outcome,
    });
  }
}

async function parseRequest(
  context: EntryContext,
  { exchange, body }: { readonly exchange: Exchange; readonly body: Buffer },
): Promise<CompletionRequest> {
  const { settings, pauseDetector, revisionStore } = context;
  await pauseDetector.ready();
  return parseCompletionRequest({
    body,
    customer: authenticate(context, exchange),
    deployment: revisionStore.deployment,
    lastEventId: singleHeader(exchange, "last-event-id"),
    cursorKey: settings.cursorKey,
  });
}

interface CompletionExchange {
  readonly context: EntryContext;
  readonly exchange: Exchange;
  readonly generation: Generation;
  readonly request: CompletionRequest;
}

async function sendStream(
  { context, exchange, generation, request }: CompletionExchange,
): Promise<void> {
  const observeChunk = createChunkObserver(context, request);
  let stream: SseResponse | undefined;
  const openStream = () => {
    if (stream !== undefined) return stream;
    const opened = SseResponse.create(exchange, {
      generation: generation.id,
      model: request.service.name,
    });
    exchange.ending.update({ respond: (error) => fail(opened, error) });
    return stream = opened;
  };
  const fail = (opened: SseResponse, error: RequestError) => {
    context.log(LOG_EVENTS.generationInterrupted, {
      request: exchange.id,
      generation: generation.id,
      reason: error.message,
      position: generation.position,
    });
    opened.fail(error);
  };
  try {
    for await (const chunk of generation.run()) {
      observeChunk();
      const drained = openStream().write(chunk);
      if (drained !== undefined) await drained;
    }
    openStream().close();
  } catch (error) {
    if (stream === undefined || !(error instanceof RequestError)) throw error;
    fail(stream, error);
  }
}

async function sendFull(
  { context, exchange, generation, request }: CompletionExchange,
): Promise<void> {
  const observeChunk = createChunkObserver(context, request);
  let text = "";
  let finishReason: CompletionChunk["finishReason"];
  for await (const chunk of generation.run()) {
    observeChunk();
    text += chunk.text;
    finishReason = chunk.finishReason ?? finishReason;
  }
  exchange.response.setHeader("x-request-id", exchange.id);
  const value = {
    id: generation.id,
    object: "text_completion",
    created: Math.floor(Date.now() / 1_000),
    model: request.service.name,
    choices: [{ index: 0, text, logprobs: null, finish_reason: finishReason }],
    usage: { completion_tokens: generation.position },
  };
  respondJson(exchange, { status: 200, value });
}

/** Returns a function that counts chunks and records the time to the first. */
function createChunkObserver(
  { metrics, now }: EntryContext,
  { rank }: CompletionRequest,
): () => void {
  const startMs = now();
  let isFirst = true;
  return () => {
    if (isFirst) {
      const seconds = (now() - startMs) / 1_000;
      metrics.firstTokenSeconds.observe({ rank: rank.name }, seconds);
    }
    isFirst = false;
    metrics.deliveredEvents.inc();
  };
}
