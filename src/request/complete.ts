/** `POST /v1/completions`: generates an answer, streamed or whole. */

import { readBody, sendJson } from "../connection/http_server.ts";
import { RequestError } from "../errors.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import { SseResponse } from "./sse_response.ts";
import {
  type CompletionRequest,
  parseCompletionRequest,
} from "./completion_request.ts";
import {
  authenticate,
  callerSignal,
  type Exchange,
  type Route,
  singleHeader,
} from "./exchange.ts";
import { type CompletionChunk, Generation } from "./generation.ts";

/** The route of generations. */
export const COMPLETE_ROUTE: Route = {
  method: "POST",
  path: "/v1/completions",
  handle: complete,
};

async function complete(
  context: EntryContext,
  exchange: Exchange,
): Promise<void> {
  const signal = callerSignal(exchange);
  const order = await restoreOrder(context, exchange);
  const generation = Generation.create(context, {
    requestId: exchange.id,
    request: order,
    signal,
  });
  const sending = { context, exchange, generation, order };
  let outcome = "complete";
  try {
    if (order.isStreamed) {
      await sendStream(sending);
    } else {
      await sendWhole(sending);
    }
  } catch (error) {
    outcome = error instanceof RequestError ? error.type : "error";
    throw error;
  } finally {
    context.metrics.requests.inc({
      service: order.service.name,
      rank: order.rank.name,
      outcome: signal.aborted ? "caller_gone" : outcome,
    });
  }
}

async function restoreOrder(
  context: EntryContext,
  exchange: Exchange,
): Promise<CompletionRequest> {
  const { settings, pauseDetector: guard, revisionStore: store } = context;
  const body = await readBody(exchange.request, settings.bodyMaxBytes);
  await guard.ready();
  return parseCompletionRequest({
    body,
    customer: authenticate(context, exchange),
    deployment: store.deployment,
    lastEventId: singleHeader(exchange, "last-event-id"),
    cursorKey: settings.cursorKey,
  });
}

interface Sending {
  readonly context: EntryContext;
  readonly exchange: Exchange;
  readonly generation: Generation;
  readonly order: CompletionRequest;
}

async function sendStream(
  { context, exchange, generation, order }: Sending,
): Promise<void> {
  const observe = createObserver(context, order);
  let stream: SseResponse | undefined;
  const open = () =>
    stream ??= SseResponse.create(exchange.response, {
      request: exchange.id,
      generation: generation.id,
      model: order.service.name,
    });
  try {
    for await (const piece of generation.run()) {
      observe();
      const written = open().write(piece);
      if (written !== undefined) await written;
    }
    open().close();
  } catch (error) {
    if (stream === undefined || !(error instanceof RequestError)) throw error;
    context.log(LOG_EVENTS.generationInterrupted, {
      request: exchange.id,
      generation: generation.id,
      reason: error.message,
      position: generation.position,
    });
    stream.fail(error, exchange.id);
  }
}

async function sendWhole(
  { context, exchange, generation, order }: Sending,
): Promise<void> {
  const observe = createObserver(context, order);
  let text = "";
  let finish: CompletionChunk["finishReason"];
  for await (const piece of generation.run()) {
    observe();
    text += piece.text;
    finish = piece.finishReason ?? finish;
  }
  exchange.response.setHeader("x-request-id", exchange.id);
  sendJson(exchange.response, 200, {
    id: generation.id,
    object: "text_completion",
    created: Math.floor(Date.now() / 1_000),
    model: order.service.name,
    choices: [{ index: 0, text, logprobs: null, finish_reason: finish }],
    usage: { completion_tokens: generation.position },
  });
}

/** Returns what observes each piece: the time to the first, and the count. */
function createObserver(
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
