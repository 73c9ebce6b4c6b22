/**
 * Stand-in for the platform's object API: objects by kind with revisions, paged
 * lists, conditional writes, watches on a limited history, call counts, a rate
 * limit, and switches for outages, delays, lost responses and lost history.
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
import { ENTRY_KIND } from "../src/gossip/membership.ts";
import { PLATFORM_VALUE_MAX_BYTES } from "../src/constants.ts";
import { runStandin, writeStandinError } from "./standin.ts";

/** An object as the API returns it. */
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
  /** The object as JSON, or a raw item. */
  readonly objectText: string;
  readonly deleted: boolean;
}

/** Switches of the stand-in, set by `POST /standin/control`. */
interface Switches {
  /** Closes every connection without a response. */
  outage: boolean;
  /** Delay of each call, in ms. */
  delayMs: number;
  /**
   * After `skip` writes of objects whose kind and name start with the prefix,
   * `count` of them take effect but get no response.
   */
  loseAnswers: { prefix: string; skip: number; count: number };
  /** Selects writes as `loseAnswers` does, and delays them by `delayMs`. */
  slowWrites: { prefix: string; skip: number; count: number; delayMs: number };
  /** Delay until a change of the instances takes effect, in ms. */
  listLagMs: number;
  /** Rate limits; further reads and writes in a second are refused. */
  readsPerSecond: number;
  writesPerSecond: number;
  /** Most objects in one page of a list. */
  pageSize: number;
  /** Watches from before this revision fail, as with an expired history. */
  historyFrom: number;
  /** Era of the store, sent with all its answers; 0 sends none. */
  era: number;
  /**
   * Brings back the objects of this revision, with the next era; set once. The
   * revisions after it are given out again.
   */
  restoreRevision: number | null;
  /**
   * Items of the servers' lists as text, which may be no valid JSON; sent at
   * the end of each page, and once as changes.
   */
  rawServers: string[];
  /** Addresses under which entries are listed, by those they register. */
  entryAddresses: Record<string, string>;
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
  era: 0,
  restoreRevision: null,
  rawServers: [],
  entryAddresses: {},
  instances: [],
};
const counts: Counts = { reads: 0, writes: 0, watches: 0, refused: 0 };
const kinds = new Map<string, Map<string, StoredObject>>();
const history: Change[] = [];
const watchers = new Set<() => void>();
const openResponses = new Set<ServerResponse>();
let revision = 0;
let currentSecond = 0;
let readsThisSecond = 0;
let writesThisSecond = 0;

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://platform");
  const [, root = "", group = "", kind = "", encoded = "", part = ""] = url
    .pathname.split("/");
  if (root === "standin") return await handleStandin(group, request, response);
  openResponses.add(response);
  if (switches.era > 0) response.setHeader("store-era", switches.era);
  response.once("close", () => openResponses.delete(response));
  const isWrite = request.method !== "GET";
  if (!admit(isWrite)) {
    counts.refused++;
    return sendJson(response, 429, { error: "rate limit exceeded" });
  }
  if (switches.delayMs > 0) await sleep(switches.delayMs);
  if (switches.outage) return void response.destroy();
  const name = decodeURIComponent(encoded);
  const isStatus = part === "status";
  if (isWrite) {
    return await write({ kind, name, url, isStatus }, request, response);
  }
  if (url.searchParams.has("watch")) return watch(kind, url, response);
  counts.reads++;
  if (name === "") return list(kind, url, response);
  const stored = kinds.get(kind)?.get(name);
  sendJson(response, stored === undefined ? 404 : 200, stored ?? {});
}

function admit(isWrite: boolean): boolean {
  const now = Math.floor(performance.now() / 1_000);
  if (now !== currentSecond) {
    currentSecond = now;
    readsThisSecond = 0;
    writesThisSecond = 0;
  }
  if (isWrite) return ++writesThisSecond <= switches.writesPerSecond;
  return ++readsThisSecond <= switches.readsPerSecond;
}

function list(kind: string, url: URL, response: ServerResponse): void {
  const after = url.searchParams.get("after") ?? "";
  const remaining = [...kinds.get(kind)?.values() ?? []]
    .filter(({ metadata }) => metadata.name > after)
    .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
  const items = remaining.slice(0, switches.pageSize)
    .map((object) => JSON.stringify(object));
  if (kind === SERVER_KIND) items.push(...switches.rawServers);
  const hasMore = remaining.length > switches.pageSize;
  sendText(
    response,
    `{"items":[${items}],"hasMore":${hasMore},"currentRev":${revision}}`,
  );
}

function sendText(response: ServerResponse, text: string): void {
  response.writeHead(200, { "content-type": "application/json" }).end(text);
}

/** The object that a write addresses. */
interface WriteTarget {
  readonly kind: string;
  /** Empty if the body names the object. */
  readonly name: string;
  readonly url: URL;
  /** Whether the write replaces the object's status, not its spec. */
  readonly isStatus: boolean;
}

async function write(
  { kind, name: pathName, url, isStatus }: WriteTarget,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const text = (await readBody(request, PLATFORM_VALUE_MAX_BYTES)).toString();
  const body = text === "" ? {} : JSON.parse(text);
  const name = pathName === "" ? body.metadata.name as string : pathName;
  const key = `${kind.replace(/^gypsumridge-/, "")}/${name}`;
  const slowWrites = switches.slowWrites;
  if (consumeFailure(slowWrites, key)) await sleep(slowWrites.delayMs);
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
  const spec = kind === ENTRY_KIND ? listedEntry(body.spec) : body.spec;
  const object = isStatus
    ? store({ kind, name, spec: stored?.spec, status: body.status, isDeletion })
    : store({ kind, name, spec, status: stored?.status, isDeletion });
  if (consumeFailure(switches.loseAnswers, key)) return void response.destroy();
  sendJson(response, 200, object);
}

/** Replaces the address of an entry by the one that is switched on for it. */
function listedEntry(spec: { readonly address: string } | undefined) {
  if (spec === undefined) return undefined;
  const { address } = spec;
  return { ...spec, address: switches.entryAddresses[address] ?? address };
}

/** Applies a write to the store and notifies its watches. */
function store(
  { kind, name, spec, status = null, isDeletion }: {
    readonly kind: string;
    readonly name: string;
    readonly spec: unknown;
    readonly status?: unknown;
    readonly isDeletion: boolean;
  },
): StoredObject | undefined {
  const objects = kinds.get(kind) ?? new Map<string, StoredObject>();
  kinds.set(kind, objects);
  const stored = objects.get(name);
  const isSame = JSON.stringify(stored?.spec) === JSON.stringify(spec) &&
    JSON.stringify(stored?.status) === JSON.stringify(status);
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
    status,
  };
  if (isDeletion) objects.delete(name);
  else objects.set(name, object);
  const objectText = JSON.stringify(object);
  history.push({ kind, revision, objectText, deleted: isDeletion });
  for (const wake of watchers) wake();
  return object;
}

function addRawServers(items: readonly string[]): void {
  for (const objectText of items) {
    revision++;
    history.push({ kind: SERVER_KIND, revision, objectText, deleted: false });
  }
  for (const wake of watchers) wake();
}

/** Counts a write for a failure switch; returns whether the switch applies. */
function consumeFailure(
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
  if (from < switches.historyFrom || from > revision) {
    return sendJson(response, 410, {
      error: "changes since this revision are no longer kept",
    });
  }
  const respond = (isTimedOut: boolean) => {
    const events = history
      .filter((change) => change.kind === kind && change.revision > from)
      .map(({ objectText, deleted }) =>
        `{"object":${objectText},"deleted":${deleted}}`
      );
    if (events.length === 0 && !isTimedOut) return;
    cleanUp();
    sendText(response, `{"events":[${events}],"currentRev":${revision}}`);
  };
  const wake = () => respond(false);
  const timer = setTimeout(() => respond(true), waitMs);
  const cleanUp = () => {
    clearTimeout(timer);
    watchers.delete(wake);
  };
  response.once("close", cleanUp);
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
  const newSwitches = JSON.parse(body.toString()) as Partial<Switches>;
  Object.assign(switches, newSwitches);
  addRawServers(newSwitches.rawServers ?? []);
  if (newSwitches.instances !== undefined) {
    updateInstances(newSwitches.instances);
  }
  if (switches.restoreRevision !== null) restore(switches.restoreRevision);
  if (switches.outage) {
    for (const pending of openResponses) pending.destroy();
  }
  sendJson(response, 200, switches);
}

/** Brings back the objects of an earlier revision, and cuts all calls. */
function restore(restored: number): void {
  switches.restoreRevision = null;
  switches.era++;
  const kept = history.filter((change) => change.revision <= restored);
  history.splice(0, history.length, ...kept);
  kinds.clear();
  for (const { kind, objectText, deleted } of kept) {
    const object = JSON.parse(objectText) as StoredObject;
    const objects = kinds.get(kind) ?? new Map<string, StoredObject>();
    kinds.set(kind, objects);
    if (deleted) objects.delete(object.metadata.name);
    else objects.set(object.metadata.name, object);
  }
  revision = restored;
  for (const pending of openResponses) pending.destroy();
}

function updateInstances(instances: Instance[]): void {
  if (switches.listLagMs === 0) return storeInstances(instances);
  setTimeout(() => storeInstances(instances), switches.listLagMs);
}

/** Replaces all registered servers and entries by the given instances. */
function storeInstances(instances: Instance[]): void {
  const instancesByName = new Map(
    instances.map((instance) => [instance.name, instance]),
  );
  for (const kind of [SERVER_KIND, ENTRY_KIND]) {
    for (const name of kinds.get(kind)?.keys() ?? []) {
      if (instancesByName.has(name)) continue;
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
