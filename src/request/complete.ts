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
  const pieces = measure(context, { order, pieces: generation.run() });
  let outcome = "complete";
  try {
    if (order.isStreamed) {
      await sendStream({ context, exchange, generation, order }, pieces);
    } else {
      await sendWhole({ context, exchange, generation, order }, pieces);
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
  pieces: AsyncGenerator<Piece>,
): Promise<void> {
  let stream: AnswerStream | undefined;
  const open = () =>
    stream ??= AnswerStream.create(exchange.response, {
      request: exchange.id,
      generation: generation.id,
      model: order.service.name,
    });
  try {
    for await (const piece of pieces) {
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
  { exchange, generation, order }: Sending,
  pieces: AsyncGenerator<Piece>,
): Promise<void> {
  let text = "";
  let finish: Piece["finish"];
  for await (const piece of pieces) {
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

/** Passes pieces on and observes the time to the first one. */
async function* measure(
  { metrics, now }: EntryContext,
  { order, pieces }: {
    readonly order: CompletionOrder;
    readonly pieces: AsyncGenerator<Piece>;
  },
): AsyncGenerator<Piece> {
  const startMs = now();
  let isFirst = true;
  for await (const piece of pieces) {
    if (isFirst) {
      const rank = order.rank.name;
      metrics.firstToken.observe({ rank }, (now() - startMs) / 1_000);
    }
    isFirst = false;
    metrics.tokens.inc();
    yield piece;
  }
}
