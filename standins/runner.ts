/**
 * Stand-in for a backend server of the users' platform: streams that can resume
 * after an event id, calls, reports, and a line on standard output per run. Each
 * event and response body contains the path of its request.
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import process from "node:process";
import { CallerHeader, ServerHeader } from "../platform/headers.ts";
import { readBody, sendJson } from "../src/connection/http_server.ts";
import type { Arrival } from "./arrival.ts";
import { CRASH_EXIT_CODE, hasDeadlyPart } from "./deadly_part.ts";
import {
  refuseOrRepeat,
  sendEndlessBody,
  sendEndlessHead,
  sendResetPart,
  ServerAnswers,
} from "./server_answers.ts";
import { announceRun, runStandin, writeStandinError } from "./standin.ts";

/** Switches of the stand-in, set by `POST /standin/control`. */
interface Switches {
  /** Id, new after each restart; requests for another id are rejected. */
  id: string;
  /** Time between two events, in ms. */
  eventMs: number;
  /** Duration of a call, in ms. */
  callMs: number;
  answers: ServerAnswers;
  /** Rejects all requests with 503 and this `Retry-After`, unless empty. */
  retryAfter: string;
  /** Announces in all responses that the server is leaving. */
  isLeaving: boolean;
}

const BODY_MAX_BYTES = 1_000_000;
const HTTP_MISDIRECTED = 421;
const HTTP_UNAVAILABLE = 503;
const switches: Switches = {
  id: "",
  eventMs: 20,
  callMs: 20,
  answers: ServerAnswers.Complete,
  retryAfter: "",
  isLeaving: false,
};
const startedMs = Date.now();
const arrivals: Arrival[] = [];
/** Id of the last event of each open stream, by request id. */
const runs = new Map<string, number>();

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://runner");
  const body = await readBody(request, BODY_MAX_BYTES);
  if (url.pathname === "/standin/control") {
    Object.assign(switches, JSON.parse(body.toString()));
    return sendJson(response, 200, switches);
  }
  if (url.pathname === "/standin/arrivals") {
    return sendJson(response, 200, arrivals);
  }
  const { retryAfter } = switches;
  arrivals.push({ atMs: Date.now(), path: url.pathname, retryAfter });
  if (switches.isLeaving) response.setHeader("server-leaving", "1");
  if (retryAfter !== "") {
    response.writeHead(HTTP_UNAVAILABLE, {
      "x-request-id": headerOf(request, "x-request-id"),
      "x-not-executed": "1",
      "retry-after": retryAfter,
    });
    return void response.end();
  }
  if (url.pathname === "/v1/report") {
    const reportedRuns = [...runs].map(([id, events]) => [id, 1, events, 5]);
    return sendJson(response, 200, {
      born: startedMs,
      waiting: 0,
      running: reportedRuns.length,
      runs: reportedRuns,
    });
  }
  const id = headerOf(request, "x-request-id");
  response.setHeader("x-request-id", id);
  if (headerOf(request, ServerHeader.ExpectInstance) !== switches.id) {
    response.writeHead(HTTP_MISDIRECTED, { "x-not-executed": "1" });
    return void response.end();
  }
  const { answers } = switches;
  const isRefused = answers === ServerAnswers.RepeatedRefusals &&
    refuseOrRepeat({ id, response });
  if (isRefused) return;
  announceRun(`${Date.now()} ${switches.id} ${id}`);
  if (answers === ServerAnswers.EndlessHeads) {
    return await sendEndlessHead({ id, response });
  }
  if (answers === ServerAnswers.EndlessBodies) {
    return await sendEndlessBody({ id, response });
  }
  if (answers === ServerAnswers.ResetParts) {
    return sendResetPart({ id, response });
  }
  response.setHeader("x-server-stamp", "stamp");
  if (url.pathname.startsWith("/stream/")) {
    return await stream(url, request, response);
  }
  await sleep(switches.callMs);
  response.end(`answer to ${url.pathname}`);
}

async function stream(
  url: URL,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const id = headerOf(request, "x-request-id");
  const first = Number(headerOf(request, ServerHeader.LastEventId)) + 1;
  const last = Number(url.searchParams.get("events"));
  response.writeHead(200, { "content-type": "text/event-stream" });
  if (hasDeadlyPart(headerOf(request, CallerHeader.PromptPrefix))) {
    response.flushHeaders();
    await sleep(switches.eventMs);
    process.exit(CRASH_EXIT_CODE);
  }
  for (let at = first; at <= last && !response.destroyed; at++) {
    await sleep(switches.eventMs);
    runs.set(id, at);
    response.write(`id: ${at}\ndata: ${url.pathname} ${at}\n\n`);
  }
  runs.delete(id);
  response.end();
}

function headerOf(request: IncomingMessage, name: string): string {
  return String(request.headers[name.toLowerCase()] ?? "");
}

const server = createServer((request, response) => {
  handle(request, response).catch(writeStandinError(response));
});
await runStandin(server);
