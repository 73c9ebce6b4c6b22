/**
 * Tests that a platform entry sends no new requests to a backend server that
 * announced leaving in a response, while the store still lists it as ready.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { Child } from "../bench/child.ts";
import type { HttpResponse } from "../src/connection/http_call.ts";
import type { LogDetails } from "../src/process/log.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { LIMITS, LocalPlatform } from "./local_platform.ts";
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
  limits: LIMITS,
};
const LEAVING = "i-1";
const STAYING = "i-2";
/** Time for a change of the list to reach the entry, in ms. */
const LIST_DELAY_MS = 800;
const CALLS = 30;

let platform: LocalPlatform;
let runners: Map<string, Child>;

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
  platform = await LocalPlatform.create();
  runners = new Map();
  for (const id of [LEAVING, STAYING]) {
    const runner = await Child.create({
      module: "standins/runner.js",
      args: [],
    });
    runners.set(id, runner);
    await runner.control({ id, callMs: 5 });
    await platform.store.create("servers", {
      name: id,
      spec: registration(id),
    });
  }
  await platform.startEntry(CONFIGURATION);
});

afterEach(async () => {
  await platform.close();
  for (const runner of runners.values()) await runner.kill();
});

function request(path: string): Promise<HttpResponse> {
  return platform.call(path, { method: "GET" });
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
    meanwhile: () => platform.cluster.platform.control({ outage: true }),
  },
  {
    name: "is listed as ready once more",
    meanwhile: () =>
      platform.store.replace("servers", {
        name: LEAVING,
        spec: registration(LEAVING, { sequence: 2 }),
      }),
  },
  {
    name: "is removed from the list and returns to it",
    meanwhile: async () => {
      await platform.store.remove("servers", { name: LEAVING });
      await sleep(LIST_DELAY_MS);
      await platform.store.create("servers", {
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
    expect(platform.detailsOf(LOG_EVENTS.serverDraining))
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
  expect(platform.detailsOf(LOG_EVENTS.attemptFailed)).toEqual([]);
});

test("a server that has started again gets requests although its last start left", async () => {
  await requestUntilLeaving("/call/x");
  await runnerOf(LEAVING).control({ isLeaving: false });
  await platform.store.replace("servers", {
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
    platform.cluster.platform.address,
    {
      log: (event, details = {}) => {
        if (event === LOG_EVENTS.serverDraining) learned.push(details);
      },
    },
  );
  try {
    const hasPeer = () =>
      platform.detailsOf(LOG_EVENTS.peerConnected).length > 0;
    await expect.poll(hasPeer, { timeout: 8_000 }).toBe(true);
    await requestUntilLeaving("/call/x");
    await expect.poll(() => learned, { timeout: 2_000 })
      .toEqual([{ server: LEAVING, source: "peer" }]);
  } finally {
    await peer.close();
  }
});
