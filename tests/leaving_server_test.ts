/**
 * Tests that a platform entry sends no new requests to a backend server that
 * announced leaving in a response, while the store still lists it as ready.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { Child } from "../bench/child.ts";
import { LocalCluster } from "../bench/local_cluster.ts";
import type { PlatformEntry } from "../platform/entry.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { callHttp, type HttpResponse } from "../src/connection/http_call.ts";
import type { LogDetails } from "../src/process/log.ts";
import { LOG_EVENTS, type LogEvent } from "../src/process/log_events.ts";
import { startLocalEntry } from "./local_platform_entry.ts";

const ROUTE = {
  host: "a.example",
  service: "runners",
  timeoutMs: 8_000,
  targetLatencyMs: 1_000,
  priority: 1,
  maxAttempts: 2,
};
const CONFIGURATION = {
  version: 1,
  routes: [
    {
      ...ROUTE,
      name: "stream",
      pathPrefix: "/stream/",
      routeKind: "streaming",
      resumable: true,
    },
    {
      ...ROUTE,
      name: "call",
      pathPrefix: "/call/",
      routeKind: "idempotent",
    },
  ],
  services: [{ name: "runners", healthPath: "/healthz" }],
  limits: {
    maxHeaderBytes: 8_192,
    maxBodyBytes: 65_536,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};
const LEAVING = "i-1";
const STAYING = "i-2";
/** Time for a change of the list to reach the entry, in ms. */
const LIST_DELAY_MS = 800;
const CALLS = 30;

let cluster: LocalCluster;
let store: HttpObjectStore;
let entry: PlatformEntry;
let address: string;
let runners: Map<string, Child>;
let logged: { readonly event: LogEvent; readonly details: LogDetails }[];

function registration(id: string, changes: object = {}) {
  return {
    service: "runners",
    address: runnerOf(id).address,
    zone: "zone-a",
    slots: 8,
    state: "ready",
    born: 1,
    ...changes,
  };
}

function runnerOf(id: string): Child {
  const runner = runners.get(id);
  if (runner === undefined) throw new Error(`no runner ${id}`);
  return runner;
}

beforeEach(async () => {
  cluster = await LocalCluster.create({ engines: 0, entries: 0 });
  store = HttpObjectStore.create({
    address: cluster.platform.address,
    timeoutMs: 1_000,
  });
  await store.create("config", { name: "main", spec: CONFIGURATION });
  runners = new Map();
  for (const id of [LEAVING, STAYING]) {
    const runner = await Child.create({
      module: "standins/runner.js",
      args: [],
    });
    runners.set(id, runner);
    await runner.control({ id, callMs: 5 });
    await store.create("servers", { name: id, spec: registration(id) });
  }
  logged = [];
  const started = await startLocalEntry("entry-1", cluster.platform.address, {
    log: (event, details = {}) => logged.push({ event, details }),
  });
  ({ entry, address } = started);
  await expect.poll(() => entry.isReady, { timeout: 5_000 }).toBe(true);
});

afterEach(async () => {
  await entry.close();
  store.close();
  for (const runner of runners.values()) await runner.kill();
  await cluster.close();
});

function detailsOf(event: LogEvent): readonly LogDetails[] {
  return logged.filter((line) => line.event === event)
    .map(({ details }) => details);
}

function request(path: string): Promise<HttpResponse> {
  return callHttp({
    address,
    method: "GET",
    path,
    headers: {
      host: "a.example",
      "x-request-id": crypto.randomUUID(),
      "x-deadline-ms": "6000",
    },
    timeoutMs: 9_000,
  });
}

async function runCount(id: string): Promise<number> {
  await runnerOf(id).waitForOutput();
  return runnerOf(id).announcedRuns().length;
}

/** Requests `path` until the runner that leaves has answered one of them. */
async function requestUntilLeaving(path: string): Promise<void> {
  await runnerOf(LEAVING).control({ isLeaving: true });
  for (let calls = 0; calls < CALLS; calls++) {
    const { headers } = await request(path);
    if (headers["server-leaving"] !== undefined) return;
  }
  throw new Error("the runner that leaves got no request");
}

/** Sends further requests; returns how many of them reached each runner. */
async function countFurtherRuns(): Promise<Record<string, number>> {
  const before = [await runCount(LEAVING), await runCount(STAYING)] as const;
  const paths = ["/call/x", "/stream/x?events=2"];
  for (let calls = 0; calls < CALLS; calls++) {
    const { status } = await request(paths[calls % paths.length] ?? "");
    expect(status).toBe(200);
  }
  return {
    [LEAVING]: await runCount(LEAVING) - before[0],
    [STAYING]: await runCount(STAYING) - before[1],
  };
}

const ONLY_STAYING = { [LEAVING]: 0, [STAYING]: CALLS };

const CASES: readonly {
  readonly name: string;
  readonly path?: string;
  readonly meanwhile?: () => Promise<unknown>;
}[] = [
  { name: "announces leaving in a call's response" },
  { name: "announces leaving in a stream's head", path: "/stream/x?events=3" },
  {
    name: "announces leaving before the store is down",
    meanwhile: () => cluster.platform.control({ outage: true }),
  },
  {
    name: "is listed as ready once more",
    meanwhile: () =>
      store.replace("servers", {
        name: LEAVING,
        spec: registration(LEAVING, { sequence: 2 }),
      }),
  },
  {
    name: "is removed from the list and returns to it",
    meanwhile: async () => {
      await store.remove("servers", { name: LEAVING });
      await sleep(LIST_DELAY_MS);
      await store.create("servers", {
        name: LEAVING,
        spec: registration(LEAVING),
      });
    },
  },
];

test.for(CASES)(
  "a server gets no new requests when it $name",
  async ({ path = "/call/x", meanwhile }) => {
    await requestUntilLeaving(path);
    await meanwhile?.();
    await sleep(LIST_DELAY_MS);
    expect(await countFurtherRuns()).toEqual(ONLY_STAYING);
    expect(detailsOf(LOG_EVENTS.serverDraining))
      .toEqual([{ server: LEAVING, source: "answer" }]);
  },
);

test("a stream continues whose server announces leaving in another response", async () => {
  const streams = Array.from(
    { length: 6 },
    () => request("/stream/x?events=60"),
  );
  await sleep(300);
  const begun = await runCount(LEAVING);
  await requestUntilLeaving("/call/x");
  const bodies = (await Promise.all(streams)).map(({ body }) =>
    [...body.toString().matchAll(/^id: /gm)].length
  );
  expect(begun).toBeGreaterThan(0);
  expect(bodies).toEqual(Array(6).fill(60));
  expect(detailsOf(LOG_EVENTS.attemptFailed)).toEqual([]);
});

test("a server that has started again gets requests although its last start left", async () => {
  await requestUntilLeaving("/call/x");
  await runnerOf(LEAVING).control({ isLeaving: false });
  await store.replace("servers", {
    name: LEAVING,
    spec: registration(LEAVING, { born: 2 }),
  });
  await sleep(LIST_DELAY_MS);
  const runs = await countFurtherRuns();
  expect(runs[LEAVING]).toBeGreaterThan(0);
});

test("another entry learns from its peer that a server leaves", async () => {
  const learned: LogDetails[] = [];
  const { entry: peer } = await startLocalEntry(
    "entry-2",
    cluster.platform.address,
    {
      log: (event, details = {}) => {
        if (event === LOG_EVENTS.serverDraining) learned.push(details);
      },
    },
  );
  try {
    const hasPeer = () => detailsOf(LOG_EVENTS.peerConnected).length > 0;
    await expect.poll(hasPeer, { timeout: 8_000 }).toBe(true);
    await requestUntilLeaving("/call/x");
    await expect.poll(() => learned, { timeout: 2_000 })
      .toEqual([{ server: LEAVING, source: "peer" }]);
  } finally {
    await peer.close();
  }
});
