/**
 * Stand-in for a model engine: continuous batching with a limited number of
 * slots, priorities, a prefix cache, streams that can be resumed and cancelled,
 * a delayed load report, and switches for failures. Tests suspend and kill it
 * with signals.
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
  readonly startRequest: StartStreamRequest;
  readonly tokens: string[];
  readonly readers: Set<ServerResponse>;
  phase: Phase;
  nextDueMs: number;
}

/** Switches of the stand-in, set by `POST /standin/control`. */
interface Switches {
  modelVersion: string;
  slots: number;
  /** Most streams that wait for a slot; further ones are refused. */
  queueLimit: number;
  /** Time between two tokens of a stream, in ms. */
  tokenMs: number;
  /** Prefill time of a token that is not in the prefix cache, in µs. */
  prefillUs: number;
  /** Time between two updates of the load report, in ms. */
  reportLagMs: number;
  /** Refuses new streams and reports that the engine is draining. */
  leaving: boolean;
  /** Reports that the engine is draining, but accepts new streams. */
  reportsLeaving: boolean;
  /** The engine crashes if it runs a prompt with this text; off if empty. */
  crashMarker: string;
  /** Closes every open stream connection once. */
  cut: boolean;
  /** The engine crashes before it sends this token position; -1 is never. */
  crashAtPosition: number;
  /** The text depends on the stream's id, not the prompt, as if sampled. */
  sampled: boolean;
  /** The text of each token is its send time, in µs on the monotonic clock. */
  stamped: boolean;
  /** Prints a line for each run, so that the count survives a kill. */
  announceRuns: boolean;
}

const DECODE_INTERVAL_MS = 2;
const KEEP_ALIVE_INTERVAL_MS = 250;
/** Time until streams without readers end and ended ones are deleted, in ms. */
const STREAM_RETENTION_MS = 5_000;
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
/** Requests that were accepted while `sampled` was set. */
const recordedRequests: StartStreamRequest[] = [];
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
    return sendJson(response, 200, recordedRequests);
  }
  if (url.pathname === "/standin/control") {
    return await handleControl(request, response);
  }
  if (url.pathname === "/v1/cache-events") {
    return sendJson(response, 200, cache.eventsAfter(url.searchParams));
  }
  if (url.pathname === STREAMS_PATH) {
    return await startStream(request, response);
  }
  const stream = streams.get(url.pathname.slice(STREAMS_PATH.length + 1));
  if (stream === undefined) {
    return refuse(response, 404, "no stream with this id");
  }
  if (request.method === "DELETE") return cancel(stream, response);
  attach(stream, Number(url.searchParams.get("from")), response);
}

async function handleControl(
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

async function startStream(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request, BODY_MAX_BYTES);
  const startRequest = JSON.parse(body.toString()) as StartStreamRequest;
  counts.arrivals++;
  if (switches.leaving) return refuse(response, 503, "engine is draining");
  if (startRequest.modelVersion !== switches.modelVersion) {
    return refuse(
      response,
      409,
      `engine serves model version ${switches.modelVersion}`,
    );
  }
  const isFull = running.size >= switches.slots &&
    queue.length >= switches.queueLimit;
  if (isFull) return refuse(response, 429, "all slots and the queue are full");
  counts.accepted++;
  const stream: Stream = {
    startRequest,
    tokens: [],
    readers: new Set(),
    phase: Phase.Queued,
    nextDueMs: 0,
  };
  streams.set(startRequest.stream, stream);
  if (switches.sampled) recordedRequests.push(startRequest);
  attach(stream, startRequest.position, response);
  queue.push(stream);
  queue.sort((a, b) => a.startRequest.priority - b.startRequest.priority);
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
    startRun(stream);
  }
}

function startRun(stream: Stream): void {
  const { startRequest } = stream;
  if (switches.announceRuns) announceRun(startRequest.request);
  const hasCrashMarker = switches.crashMarker !== "" &&
    startRequest.prompt.includes(switches.crashMarker);
  if (hasCrashMarker) process.exit(70);
  const prefillTokens = cache.admit(startRequest.prompt + startRequest.journal);
  counts.prefillTokens += prefillTokens;
  stream.phase = Phase.Running;
  stream.nextDueMs = performance.now() +
    (prefillTokens * switches.prefillUs) / 1_000;
  running.add(stream);
}

function attach(
  stream: Stream,
  fromPosition: number,
  response: ServerResponse,
): void {
  const index = fromPosition - stream.startRequest.position;
  if (index < 0 || index > stream.tokens.length) {
    return refuse(
      response,
      416,
      "this position is outside the stream's tokens",
    );
  }
  response.writeHead(200, {
    "content-type": "text/event-stream",
    [MODEL_VERSION_HEADER]: stream.startRequest.modelVersion,
  });
  response.write(": open\n\n");
  for (const [offset, text] of stream.tokens.slice(index).entries()) {
    response.write(formatEvent({ p: fromPosition + offset, t: text }));
  }
  if (stream.phase === Phase.Ended) {
    return void response.end(finalEvent(stream));
  }
  stream.readers.add(response);
  response.once("close", () => {
    stream.readers.delete(response);
    if (stream.readers.size > 0 || stream.phase === Phase.Ended) return;
    setTimeout(
      () => stream.readers.size === 0 && finish(stream),
      STREAM_RETENTION_MS,
    );
  });
}

/** Ends a stream unless it has more than one reader. */
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
  for (const reader of stream.readers) reader.end(finalEvent(stream));
  setTimeout(
    () => streams.delete(stream.startRequest.stream),
    STREAM_RETENTION_MS,
  );
  fillSlots();
}

function finalEvent(stream: Stream): string {
  const position = stream.startRequest.position + stream.tokens.length;
  if (position < stream.startRequest.maxTokens) return ": cancelled\n\n";
  return formatEvent({ p: position, end: FinishReason.Length });
}

function textSeed({ startRequest }: Stream): TextSeed {
  if (!switches.sampled) return startRequest;
  return {
    prompt: startRequest.stream,
    modelVersion: startRequest.modelVersion,
  };
}

function formatEvent(event: StreamEvent): string {
  return `data: ${JSON.stringify(event)}\n\n`;
}

function decode(stream: Stream, now: number): void {
  while (stream.nextDueMs <= now && stream.phase === Phase.Running) {
    const position = stream.startRequest.position + stream.tokens.length;
    if (position >= stream.startRequest.maxTokens) return finish(stream);
    if (position === switches.crashAtPosition) process.exit(70);
    const text = switches.stamped
      ? ` ${process.hrtime.bigint() / 1_000n}`
      : tokenAt(textSeed(stream), position);
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
}, DECODE_INTERVAL_MS);

setInterval(() => {
  for (const stream of [...queue, ...running]) {
    if (stream.tokens.length > 0) continue;
    for (const reader of stream.readers) reader.write(": waiting\n\n");
  }
}, KEEP_ALIVE_INTERVAL_MS);

function refreshReport(): void {
  report = currentReport();
  setTimeout(refreshReport, switches.reportLagMs);
}
refreshReport();

const server = createServer((request, response) => {
  handle(request, response).catch(writeStandinError(response));
});
await runStandin(server);
