/** `POST /v1/completions`: generates an answer, streamed or whole. */

import { readBody, sendJson } from "../connection/http_server.ts";
import { Refusal } from "../errors.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { EVENTS } from "../process/event_catalog.ts";
import { AnswerStream } from "./answer_stream.ts";
import { type CompletionOrder, restoreCompletion } from "./completion_order.ts";
import {
  authenticate,
  callerSignal,
  type Exchange,
  type Route,
  singleHeader,
} from "./exchange.ts";
import { Generation, type Piece } from "./generation.ts";

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
    request: exchange.id,
    order,
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
    outcome = error instanceof Refusal ? error.type : "error";
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
): Promise<CompletionOrder> {
  const { settings, guard, store } = context;
  const body = await readBody(exchange.request, settings.bodyMaxBytes);
  await guard.ready();
  return restoreCompletion({
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
  readonly order: CompletionOrder;
}

async function sendStream(
  { context, exchange, generation, order }: Sending,
): Promise<void> {
  const observe = createObserver(context, order);
  let stream: AnswerStream | undefined;
  const open = () =>
    stream ??= AnswerStream.create(exchange.response, {
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
    if (stream === undefined || !(error instanceof Refusal)) throw error;
    context.log(EVENTS.generationInterrupted, {
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
  let finish: Piece["finish"];
  for await (const piece of generation.run()) {
    observe();
    text += piece.text;
    finish = piece.finish ?? finish;
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
  { rank }: CompletionOrder,
): () => void {
  const startMs = now();
  let isFirst = true;
  return () => {
    if (isFirst) {
      const seconds = (now() - startMs) / 1_000;
      metrics.firstToken.observe({ rank: rank.name }, seconds);
    }
    isFirst = false;
    metrics.pieces.inc();
  };
}
