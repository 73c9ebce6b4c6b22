/**
 * Stand-in for the platform's object API: versions, conditional updates,
 * watches, a lagging list of instances, call counts, a rate limit, and switches
 * for outage, slowness and lost answers.
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { readBody, sendJson } from "../src/connection/http_server.ts";
import type { Instance } from "../src/connection/platform_client.ts";
import { PLATFORM_VALUE_MAX_BYTES } from "../src/constants.ts";
import { runStandin, writeStandinError } from "./standin.ts";

interface Stored {
  readonly version: number;
  readonly value: string;
  readonly updatedMs: number;
}

/** Switches of the stand-in, set by `POST /standin/control`. */
interface Switches {
  /** Every call's connection is closed without an answer. */
  outage: boolean;
  /** Delay of each answer, in ms. */
  delayMs: number;
  /** After some writes under the prefix, so many get no answer. */
  loseAnswers: { prefix: string; skip: number; count: number };
  /** After some writes under the prefix, so many wait before they take effect. */
  slowWrites: { prefix: string; skip: number; count: number; delayMs: number };
  /** How late changes of the instance list are shown, in ms. */
  listLagMs: number;
  /** Calls of each sort that are answered in one second. */
  readsPerSecond: number;
  writesPerSecond: number;
  instances: Instance[];
}

interface Counts {
  reads: number;
  writes: number;
  watches: number;
  refused: number;
}

const switches: Switches = {
  outage: false,
  delayMs: 0,
  loseAnswers: { prefix: "", skip: 0, count: 0 },
  slowWrites: { prefix: "", skip: 0, count: 0, delayMs: 0 },
  listLagMs: 0,
  readsPerSecond: 2_000,
  writesPerSecond: 400,
  instances: [],
};
const counts: Counts = { reads: 0, writes: 0, watches: 0, refused: 0 };
const objects = new Map<string, Stored>();
const waiting = new Map<string, Set<() => void>>();
const open = new Set<ServerResponse>();
let version = 0;
let shownInstances: Instance[] = [];
let second = 0;
let readsThisSecond = 0;
let writesThisSecond = 0;

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://platform");
  const [, group = "", encoded = ""] = url.pathname.split("/");
  const name = decodeURIComponent(encoded);
  if (group === "standin") return await handleStandin(name, request, response);
  open.add(response);
  response.once("close", () => open.delete(response));
  const isWrite = request.method !== "GET";
  if (!admit(isWrite)) {
    counts.refused++;
    return sendJson(response, 429, { error: "rate limit" });
  }
  if (switches.delayMs > 0) await sleep(switches.delayMs);
  if (switches.outage) return void response.destroy();
  if (isWrite) return await write(name, request, response);
  if (group === "watch") return watch(name, url, response);
  counts.reads++;
  if (group === "instances") return sendJson(response, 200, shownInstances);
  if (name === "") return list(url.searchParams.get("prefix") ?? "", response);
  const stored = objects.get(name);
  if (stored === undefined) return sendJson(response, 404, {});
  sendJson(response, 200, stored);
}

function admit(isWrite: boolean): boolean {
  const now = Math.floor(performance.now() / 1_000);
  if (now !== second) {
    second = now;
    readsThisSecond = 0;
    writesThisSecond = 0;
  }
  if (isWrite) return ++writesThisSecond <= switches.writesPerSecond;
  return ++readsThisSecond <= switches.readsPerSecond;
}

function list(prefix: string, response: ServerResponse): void {
  const rows = [...objects]
    .filter(([name]) => name.startsWith(prefix))
    .map(([name, { version, updatedMs }]) => ({ name, version, updatedMs }));
  sendJson(response, 200, rows);
}

async function write(
  name: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = (await readBody(request, PLATFORM_VALUE_MAX_BYTES)).toString();
  const slow = switches.slowWrites;
  if (applies(slow, name)) await sleep(slow.delayMs);
  counts.writes++;
  const stored = objects.get(name);
  const expected = request.headers["if-match"];
  const mustBeNew = request.headers["if-none-match"] === "*";
  if (request.method === "DELETE" && stored === undefined) {
    return sendJson(response, 404, {});
  }
  const conflicts = mustBeNew
    ? stored !== undefined
    : expected !== undefined && Number(expected) !== stored?.version;
  if (conflicts) return sendJson(response, 412, {});
  version++;
  if (request.method === "DELETE") objects.delete(name);
  else objects.set(name, { version, value: body, updatedMs: Date.now() });
  for (const wake of waiting.get(name) ?? []) wake();
  if (applies(switches.loseAnswers, name)) return void response.destroy();
  sendJson(response, 200, { version });
}

/** Counts a write down; says whether the failure is its turn. */
function applies(
  failure: { readonly prefix: string; skip: number; count: number },
  name: string,
): boolean {
  if (failure.count === 0 || !name.startsWith(failure.prefix)) return false;
  if (failure.skip > 0) {
    failure.skip--;
    return false;
  }
  failure.count--;
  return true;
}

function watch(name: string, url: URL, response: ServerResponse): void {
  counts.watches++;
  const after = Number(url.searchParams.get("after"));
  const waitMs = Number(url.searchParams.get("wait"));
  const wakers = waiting.get(name) ?? new Set();
  waiting.set(name, wakers);
  const tryAnswer = () => {
    const stored = objects.get(name);
    if (stored === undefined || stored.version === after) return;
    finish();
    sendJson(response, 200, stored);
  };
  const timer = setTimeout(() => {
    finish();
    response.writeHead(204).end();
  }, waitMs);
  const finish = () => {
    clearTimeout(timer);
    wakers.delete(tryAnswer);
  };
  response.once("close", finish);
  wakers.add(tryAnswer);
  tryAnswer();
}

async function handleStandin(
  action: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (action === "counts") return sendJson(response, 200, counts);
  const body = await readBody(request, PLATFORM_VALUE_MAX_BYTES);
  const change = JSON.parse(body.toString()) as Partial<Switches>;
  Object.assign(switches, change);
  if (change.instances !== undefined) showInstances(change.instances);
  if (switches.outage) {
    for (const pending of open) pending.destroy();
  }
  sendJson(response, 200, switches);
}

function showInstances(instances: Instance[]): void {
  if (switches.listLagMs === 0) {
    shownInstances = instances;
    return;
  }
  setTimeout(() => {
    shownInstances = instances;
  }, switches.listLagMs);
}

const server = createServer((request, response) => {
  handle(request, response).catch(writeStandinError(response));
});
await runStandin(server);
