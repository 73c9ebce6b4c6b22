/**
 * Stand-in for a model engine: continuous batching in bounded slots, priorities,
 * a prefix cache, streams that can be resumed and cancelled, a lagging load
 * report, and switches for failures. Freeze and kill come by signal.
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import process from "node:process";
import {
  FinishReason,
  LOAD_PATH,
  type LoadReport,
  MODEL_VERSION_HEADER,
  type StartStreamRequest,
  type StreamCancelled,
  type StreamEvent,
  STREAMS_PATH,
} from "../src/connection/engine_protocol.ts";
import { readBody, sendJson } from "../src/connection/http_server.ts";
import { announceRun, runStandin, writeStandinError } from "./standin.ts";
import { PrefixCache } from "./prefix_cache.ts";
import { type TextSeed, tokenAt } from "./text.ts";

enum Phase {
  Queued,
  Running,
  Ended,
}

interface Stream {
  readonly order: StartStreamRequest;
  readonly tokens: string[];
  readonly readers: Set<ServerResponse>;
  phase: Phase;
  nextDueMs: number;
}

/** Switches of the stand-in, set by `POST /standin/control`. */
interface Switches {
  modelVersion: string;
  slots: number;
  /** Streams that may wait for a slot before new ones are refused. */
  queueLimit: number;
  /** Time between two tokens of a stream, in ms. */
  tokenMs: number;
  /** Prefill time of one token that is not cached, in µs. */
  prefillUs: number;
  /** Age of the load report, in ms. */
  reportLagMs: number;
  /** New streams are refused, and the report says so. */
  leaving: boolean;
  /** The report says that the engine leaves, but it refuses nothing. */
  reportsLeaving: boolean;
  /** A prompt that holds this text crashes the engine when it runs. */
  crashMarker: string;
  /** Closes every open connection once. */
  cut: boolean;
  /** The engine crashes before it sends this token position; -1 is never. */
  crashAtPosition: number;
  /** Each stream has a text of its own, as with sampling. */
  sampled: boolean;
  /** The text of each token is the time of its sending, in µs. */
  stamped: boolean;
  /** Prints a line for each run, so that counts outlive a kill. */
  announceRuns: boolean;
}

const TICK_MS = 2;
const KEEP_ALIVE_MS = 250;
const LINGER_MS = 5_000;
const BODY_MAX_BYTES = 4_000_000;

const switches: Switches = {
  modelVersion: "1",
  slots: 8,
  queueLimit: 16,
  tokenMs: 10,
  prefillUs: 20,
  reportLagMs: 100,
  leaving: false,
  reportsLeaving: false,
  crashMarker: "",
  cut: false,
  crashAtPosition: -1,
  sampled: false,
  stamped: false,
  announceRuns: true,
};
const counts = {
  arrivals: 0,
  accepted: 0,
  refused: 0,
  prefillTokens: 0,
  decodedTokens: 0,
};
const streams = new Map<string, Stream>();
const running = new Set<Stream>();
const queue: Stream[] = [];
/** The orders of all streams that were accepted. */
const history: StartStreamRequest[] = [];
const cache = PrefixCache.create(4_096);
let report = currentReport();

function currentReport(): LoadReport {
  return {
    slots: switches.slots,
    running: running.size,
    queued: queue.length,
    leaving: switches.leaving || switches.reportsLeaving,
    modelVersion: switches.modelVersion,
  };
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://engine");
  if (url.pathname === LOAD_PATH) return sendJson(response, 200, report);
  if (url.pathname === "/standin/counts") {
    return sendJson(response, 200, counts);
  }
  if (url.pathname === "/standin/streams") {
    return sendJson(response, 200, history);
  }
  if (url.pathname === "/standin/control") {
    return await control(request, response);
  }
  if (url.pathname === "/v1/cache-events") {
    return sendJson(response, 200, cache.eventsAfter(url.searchParams));
  }
  if (url.pathname === STREAMS_PATH) return await start(request, response);
  const stream = streams.get(url.pathname.slice(STREAMS_PATH.length + 1));
  if (stream === undefined) return refuse(response, 404, "unknown stream");
  if (request.method === "DELETE") return cancel(stream, response);
  attach(stream, Number(url.searchParams.get("from")), response);
}

async function control(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request, BODY_MAX_BYTES);
  Object.assign(switches, JSON.parse(body.toString()));
  if (switches.cut) {
    switches.cut = false;
    for (const stream of streams.values()) {
      for (const reader of stream.readers) reader.destroy();
    }
  }
  sendJson(response, 200, switches);
}

async function start(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request, BODY_MAX_BYTES);
  const order = JSON.parse(body.toString()) as StartStreamRequest;
  counts.arrivals++;
  if (switches.leaving) return refuse(response, 503, "leaving");
  if (order.modelVersion !== switches.modelVersion) {
    return refuse(response, 409, `carries ${switches.modelVersion}`);
  }
  const isFull = running.size >= switches.slots &&
    queue.length >= switches.queueLimit;
  if (isFull) return refuse(response, 429, "no slot");
  counts.accepted++;
  const stream: Stream = {
    order,
    tokens: [],
    readers: new Set(),
    phase: Phase.Queued,
    nextDueMs: 0,
  };
  streams.set(order.stream, stream);
  if (switches.sampled) history.push(order);
  attach(stream, order.position, response);
  queue.push(stream);
  queue.sort((a, b) => a.order.priority - b.order.priority);
  fillSlots();
}

function refuse(
  response: ServerResponse,
  status: number,
  message: string,
): void {
  counts.refused++;
  sendJson(response, status, { error: { type: "not_run", message } });
}

function fillSlots(): void {
  while (running.size < switches.slots) {
    const stream = queue.shift();
    if (stream === undefined) return;
    run(stream);
  }
}

function run(stream: Stream): void {
  const { order } = stream;
  if (switches.announceRuns) announceRun(order.request);
  const isMarked = switches.crashMarker !== "" &&
    order.prompt.includes(switches.crashMarker);
  if (isMarked) process.exit(70);
  const prefill = cache.admit(order.prompt + order.journal);
  counts.prefillTokens += prefill;
  stream.phase = Phase.Running;
  stream.nextDueMs = performance.now() + (prefill * switches.prefillUs) / 1_000;
  running.add(stream);
}

function attach(stream: Stream, from: number, response: ServerResponse): void {
  const index = from - stream.order.position;
  if (index < 0 || index > stream.tokens.length) {
    return refuse(response, 416, "position is not held");
  }
  response.writeHead(200, {
    "content-type": "text/event-stream",
    [MODEL_VERSION_HEADER]: stream.order.modelVersion,
  });
  response.write(": open\n\n");
  for (const [offset, text] of stream.tokens.slice(index).entries()) {
    response.write(formatEvent({ p: from + offset, t: text }));
  }
  if (stream.phase === Phase.Ended) return void response.end(endOf(stream));
  stream.readers.add(response);
  response.once("close", () => {
    stream.readers.delete(response);
    if (stream.readers.size > 0 || stream.phase === Phase.Ended) return;
    setTimeout(() => stream.readers.size === 0 && finish(stream), LINGER_MS);
  });
}

/** Ends a stream unless somebody else still reads it. */
function cancel(stream: Stream, response: ServerResponse): void {
  if (stream.readers.size <= 1) finish(stream);
  const cancelled: StreamCancelled = { ran: stream.nextDueMs > 0 };
  sendJson(response, 200, cancelled);
}

function finish(stream: Stream): void {
  if (stream.phase === Phase.Ended) return;
  const index = queue.indexOf(stream);
  if (index >= 0) queue.splice(index, 1);
  stream.phase = Phase.Ended;
  running.delete(stream);
  for (const reader of stream.readers) reader.end(endOf(stream));
  setTimeout(() => streams.delete(stream.order.stream), LINGER_MS);
  fillSlots();
}

function endOf(stream: Stream): string {
  const position = stream.order.position + stream.tokens.length;
  if (position < stream.order.maxTokens) return ": cancelled\n\n";
  return formatEvent({ p: position, end: FinishReason.Length });
}

function seedOf({ order }: Stream): TextSeed {
  if (!switches.sampled) return order;
  return { prompt: order.stream, modelVersion: order.modelVersion };
}

function formatEvent(event: StreamEvent): string {
  return `data: ${JSON.stringify(event)}\n\n`;
}

function decode(stream: Stream, now: number): void {
  while (stream.nextDueMs <= now && stream.phase === Phase.Running) {
    const position = stream.order.position + stream.tokens.length;
    if (position >= stream.order.maxTokens) return finish(stream);
    if (position === switches.crashAtPosition) process.exit(70);
    const text = switches.stamped
      ? ` ${process.hrtime.bigint() / 1_000n}`
      : tokenAt(seedOf(stream), position);
    stream.tokens.push(text);
    counts.decodedTokens++;
    const event = formatEvent({ p: position, t: text });
    for (const reader of stream.readers) reader.write(event);
    stream.nextDueMs += switches.tokenMs;
  }
}

setInterval(() => {
  const now = performance.now();
  for (const stream of running) decode(stream, now);
}, TICK_MS);

setInterval(() => {
  for (const stream of [...queue, ...running]) {
    if (stream.tokens.length > 0) continue;
    for (const reader of stream.readers) reader.write(": waiting\n\n");
  }
}, KEEP_ALIVE_MS);

function takeReport(): void {
  report = currentReport();
  setTimeout(takeReport, switches.reportLagMs);
}
takeReport();

const server = createServer((request, response) => {
  handle(request, response).catch(writeStandinError(response));
});
await runStandin(server);
