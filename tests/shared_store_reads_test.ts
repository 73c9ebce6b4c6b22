/**
 * Tests several platform entries with a stand-in for the object store: elected
 * readers read it for all entries, and changes are in force everywhere in time.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { callHttp } from "../src/connection/http_call.ts";
import { type LocalEntry, startLocalEntry } from "./local_platform_entry.ts";

const ENTRIES = 6;
/** Time in which a new configuration is in force in every entry, in ms. */
const APPLY_LIMIT_MS = 2_000;
/**
 * Calls to the store per second of an entry that watches two kinds itself while
 * nothing changes: a new watch of each kind every 0.8 s.
 */
const UNSHARED_CALLS_PER_S = 2 / 0.8;
const IDLE_S = 4;

interface StoreCounts {
  readonly watches: number;
  readonly reads: number;
}

let cluster: LocalCluster;
let store: HttpObjectStore;
let entries: LocalEntry[];

function createConfiguration(version: number, key: string) {
  return {
    version,
    routes: [{
      name: "call",
      host: "a.example",
      pathPrefix: "/call/",
      routeKind: "idempotent",
      service: "plain",
      timeoutMs: 500,
    }],
    services: [{ name: "plain" }],
    limits: { idleTimeoutMs: 15_000, headerTimeoutMs: 3_000 },
    tenants: [{ name: "alpha", apiKeys: [key] }],
  };
}

/** Status of a call with a key: 401 if the key is not in force, else 503. */
async function callStatus(address: string, key: string): Promise<number> {
  const response = await callHttp({
    address,
    method: "GET",
    path: "/call/x",
    headers: {
      host: "a.example",
      "x-request-id": "id",
      "x-deadline-ms": "200",
      authorization: `Bearer ${key}`,
    },
    timeoutMs: 2_000,
  });
  return response.status;
}

function callStatuses(key: string): Promise<number[]> {
  return Promise.all(entries.map(({ address }) => callStatus(address, key)));
}

beforeEach(async () => {
  cluster = await LocalCluster.create({ engines: 0, entries: 0 });
  store = HttpObjectStore.create({
    address: cluster.platform.address,
    timeoutMs: 1_000,
  });
  await store.create("config", {
    name: "main",
    spec: createConfiguration(1, "old-key"),
  });
  entries = await Promise.all(
    Array.from(
      { length: ENTRIES },
      (_, at) => startLocalEntry(`entry-${at}`, cluster.platform.address),
    ),
  );
  await expect.poll(() => entries.every(({ entry }) => entry.isReady), {
    timeout: 5_000,
  }).toBe(true);
  // Entries connect to each other after their second read of the member list.
  await sleep(4_000);
});

afterEach(async () => {
  await Promise.all(entries.map(({ entry }) => entry.close()));
  store.close();
  await cluster.close();
});

test("idle entries make less than half the store calls of entries without shared reads, and a new configuration is in force everywhere in time", async () => {
  const before = await cluster.platform.get<StoreCounts>("/standin/counts");
  await sleep(IDLE_S * 1_000);
  const after = await cluster.platform.get<StoreCounts>("/standin/counts");
  const unshared = ENTRIES * UNSHARED_CALLS_PER_S * IDLE_S;
  expect(after.watches - before.watches).toBeGreaterThan(0);
  expect(after.watches - before.watches).toBeLessThan(unshared / 2);
  await store.replace("config", {
    name: "main",
    spec: createConfiguration(2, "new-key"),
  });
  await sleep(APPLY_LIMIT_MS);
  expect(await callStatuses("old-key")).toEqual(Array(ENTRIES).fill(401));
  expect(await callStatuses("new-key")).toEqual(Array(ENTRIES).fill(503));
});

test("when all other entries close, the last one still reads the store", async () => {
  for (const { entry } of entries.slice(1)) await entry.close();
  entries = entries.slice(0, 1);
  await store.replace("config", {
    name: "main",
    spec: createConfiguration(2, "new-key"),
  });
  await sleep(APPLY_LIMIT_MS);
  expect(await callStatuses("old-key")).toEqual([401]);
});

test("a configuration too large for a peer message reaches every entry", async () => {
  const spec = createConfiguration(2, "new-key");
  const [route] = spec.routes;
  const routes = Array.from({ length: 1_400 }, (_, at) => ({
    ...route,
    name: `route-${at}`,
    pathPrefix: `/other-${at}/`,
  }));
  await store.replace("config", {
    name: "main",
    spec: { ...spec, routes: [...spec.routes, ...routes] },
  });
  await sleep(APPLY_LIMIT_MS);
  expect(await callStatuses("old-key")).toEqual(Array(ENTRIES).fill(401));
});
