/**
 * Stand-in for a plain service. `GET` calls are idempotent, others are not.
 * Runs are counted by path for `GET`, otherwise by the `key` in the body.
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { LOAD_PATH } from "../src/connection/engine_protocol.ts";
import { readBody, sendJson } from "../src/connection/http_server.ts";
import { announceRun, runStandin, writeStandinError } from "./standin.ts";

/** Switches of the stand-in, set by `POST /standin/control`. */
interface Switches {
  /** Delay between a call's run and its response, in ms. */
  delayMs: number;
  /** Upper limit of a random addition to that delay, in ms. */
  jitterMs: number;
  /** Reports that the server is draining. */
  leaving: boolean;
  /** Length of the padding in each response, in bytes. */
  paddingBytes: number;
}

const BODY_MAX_BYTES = 4_000_000;
const switches: Switches = {
  delayMs: 0,
  jitterMs: 0,
  leaving: false,
  paddingBytes: 0,
};
/** Number of runs by key. */
const runs: Record<string, number> = {};
let calls = 0;

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const path = request.url ?? "/";
  if (path === LOAD_PATH) {
    return sendJson(response, 200, {
      slots: 64,
      running: 0,
      queued: 0,
      leaving: switches.leaving,
      modelVersion: "",
    });
  }
  if (path === "/standin/counts") {
    return sendJson(response, 200, { runs, calls });
  }
  const body = (await readBody(request, BODY_MAX_BYTES)).toString();
  if (path === "/standin/control") {
    Object.assign(switches, JSON.parse(body));
    return sendJson(response, 200, switches);
  }
  calls++;
  const key = request.method === "GET" ? path : JSON.parse(body).key;
  runs[key] = (runs[key] ?? 0) + 1;
  if (request.method !== "GET") announceRun(key);
  await sleep(switches.delayMs + Math.random() * switches.jitterMs);
  sendJson(response, 200, {
    path,
    key,
    run: runs[key],
    padding: "x".repeat(switches.paddingBytes),
  });
}

const server = createServer((request, response) => {
  handle(request, response).catch(writeStandinError(response));
});
await runStandin(server);
