/**
 * Stand-in for the platform's published object API: objects by kind with
 * revisions, lists in pages, conditional writes, watches with a bounded history,
 * call counts, a rate limit, and switches for outage, slowness, lost answers
 * and forgotten history.
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { readBody, sendJson } from "../src/connection/http_server.ts";
import { SERVER_KIND } from "../platform/parse_server.ts";
import { type Instance, InstanceState } from "../src/connection/instance.ts";
import { ENTRY_KIND } from "../src/process/membership.ts";
import { PLATFORM_VALUE_MAX_BYTES } from "../src/constants.ts";
import { runStandin, writeStandinError } from "./standin.ts";

/** An object as the API shows it. */
interface StoredObject {
  readonly metadata: {
    readonly name: string;
    readonly revision: number;
    readonly created: number;
    readonly finalizers: readonly string[];
    readonly deleting: boolean;
  };
  readonly spec: unknown;
  readonly status: unknown;
}

/** One change, as a watch returns it. */
interface Change {
  readonly kind: string;
  readonly revision: number;
  readonly object: StoredObject;
  readonly deleted: boolean;
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
  /** How late changes of the instance list take effect, in ms. */
  listLagMs: number;
  /** Calls of each sort that are answered in one second. */
  readsPerSecond: number;
  writesPerSecond: number;
  /** Objects in one page of a list. */
  pageSize: number;
  /** Changes older than this revision are forgotten. */
  historyFrom: number;
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
  pageSize: 500,
  historyFrom: 0,
  instances: [],
};
const counts: Counts = { reads: 0, writes: 0, watches: 0, refused: 0 };
const kinds = new Map<string, Map<string, StoredObject>>();
const history: Change[] = [];
const watchers = new Set<() => void>();
const open = new Set<ServerResponse>();
let revision = 0;
let second = 0;
let readsThisSecond = 0;
let writesThisSecond = 0;

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://platform");
  const [, first = "", group = "", kind = "", encoded = ""] = url.pathname
    .split("/");
  if (first === "standin") return await handleStandin(group, request, response);
  open.add(response);
  response.once("close", () => open.delete(response));
  const isWrite = request.method !== "GET";
  if (!admit(isWrite)) {
    counts.refused++;
    return sendJson(response, 429, { error: "rate limit" });
  }
  if (switches.delayMs > 0) await sleep(switches.delayMs);
  if (switches.outage) return void response.destroy();
  const name = decodeURIComponent(encoded);
  if (isWrite) return await write({ kind, name, url }, request, response);
  if (url.searchParams.has("watch")) return watch(kind, url, response);
  counts.reads++;
  if (name === "") return list(kind, url, response);
  const stored = kinds.get(kind)?.get(name);
  sendJson(response, stored === undefined ? 404 : 200, stored ?? {});
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

function list(kind: string, url: URL, response: ServerResponse): void {
  const after = url.searchParams.get("after") ?? "";
  const rest = [...kinds.get(kind)?.values() ?? []]
    .filter(({ metadata }) => metadata.name > after)
    .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
  sendJson(response, 200, {
    items: rest.slice(0, switches.pageSize),
    hasMore: rest.length > switches.pageSize,
    currentRev: revision,
  });
}

/** What a write names. */
interface WriteTarget {
  readonly kind: string;
  /** Empty where the body names the object. */
  readonly name: string;
  readonly url: URL;
}

async function write(
  { kind, name: named, url }: WriteTarget,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const text = (await readBody(request, PLATFORM_VALUE_MAX_BYTES)).toString();
  const body = text === "" ? {} : JSON.parse(text);
  const name = named === "" ? body.metadata.name as string : named;
  const key = `${kind.replace(/^gypsumridge-/, "")}/${name}`;
  const slow = switches.slowWrites;
  if (applies(slow, key)) await sleep(slow.delayMs);
  counts.writes++;
  const stored = kinds.get(kind)?.get(name);
  if (request.method !== "POST" && stored === undefined) {
    return sendJson(response, 404, {});
  }
  const query = url.searchParams.get("revision");
  const expected = body.metadata?.revision ?? (query && Number(query));
  const conflicts = request.method === "POST"
    ? stored !== undefined
    : expected !== null && expected !== undefined &&
      expected !== stored?.metadata.revision;
  if (conflicts) return sendJson(response, 409, stored);
  const isDeletion = request.method === "DELETE";
  const object = store({ kind, name, spec: body.spec, isDeletion });
  if (applies(switches.loseAnswers, key)) return void response.destroy();
  sendJson(response, 200, object);
}

/** Takes a change in, and wakes those that watch. */
function store(
  { kind, name, spec, isDeletion }: {
    readonly kind: string;
    readonly name: string;
    readonly spec: unknown;
    readonly isDeletion: boolean;
  },
): StoredObject | undefined {
  const objects = kinds.get(kind) ?? new Map<string, StoredObject>();
  kinds.set(kind, objects);
  const stored = objects.get(name);
  const isSame = JSON.stringify(stored?.spec) === JSON.stringify(spec);
  if (!isDeletion && stored !== undefined && isSame) return stored;
  if (isDeletion && stored === undefined) return undefined;
  revision++;
  const object: StoredObject = {
    metadata: {
      name,
      revision,
      created: stored?.metadata.created ?? revision,
      finalizers: [],
      deleting: false,
    },
    spec: isDeletion ? stored?.spec : spec,
    status: null,
  };
  if (isDeletion) objects.delete(name);
  else objects.set(name, object);
  history.push({ kind, revision, object, deleted: isDeletion });
  for (const wake of watchers) wake();
  return object;
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

function watch(kind: string, url: URL, response: ServerResponse): void {
  counts.watches++;
  const from = Number(url.searchParams.get("watch"));
  const waitMs = Number(url.searchParams.get("waitMs"));
  if (from < switches.historyFrom) {
    return sendJson(response, 410, { error: "history is gone" });
  }
  const answer = (isOver: boolean) => {
    const events = history
      .filter((change) => change.kind === kind && change.revision > from)
      .map(({ object, deleted }) => ({ object, deleted }));
    if (events.length === 0 && !isOver) return;
    finish();
    sendJson(response, 200, { events, currentRev: revision });
  };
  const wake = () => answer(false);
  const timer = setTimeout(() => answer(true), waitMs);
  const finish = () => {
    clearTimeout(timer);
    watchers.delete(wake);
  };
  response.once("close", finish);
  watchers.add(wake);
  wake();
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
  if (switches.listLagMs === 0) return storeInstances(instances);
  setTimeout(() => storeInstances(instances), switches.listLagMs);
}

/** Writes the instances as they would register themselves, and drops others. */
function storeInstances(instances: Instance[]): void {
  const listed = new Map(
    instances.map((instance) => [instance.name, instance]),
  );
  for (const kind of [SERVER_KIND, ENTRY_KIND]) {
    for (const name of kinds.get(kind)?.keys() ?? []) {
      if (listed.has(name)) continue;
      store({ kind, name, spec: undefined, isDeletion: true });
    }
  }
  for (const { name, role, address, state } of instances) {
    const spec = role === "entry" ? { address } : {
      service: "listed",
      address,
      zone: "listed",
      slots: 1,
      state: state === InstanceState.Live ? "ready" : "draining",
    };
    const kind = role === "entry" ? ENTRY_KIND : SERVER_KIND;
    store({ kind, name, spec, isDeletion: false });
  }
}

const server = createServer((request, response) => {
  handle(request, response).catch(writeStandinError(response));
});
await runStandin(server);
