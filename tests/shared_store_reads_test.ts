/**
 * Several entries on the platform, against the stand-in of its store: a few of
 * them read it for all, and what they learn is in force everywhere in time.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { callHttp } from "../src/connection/http_call.ts";
import { type LocalEntry, startLocalEntry } from "./local_platform_entry.ts";

const ENTRIES = 6;
/** Time in which an accepted configuration is in force everywhere, in ms. */
const APPLY_MS = 2_000;
/** Calls of one entry that watches two kinds alone, in a calm second. */
const CALLS_ALONE_PER_S = 2 / 0.8;
const CALM_S = 4;

interface Counts {
  readonly watches: number;
  readonly reads: number;
}

let cluster: LocalCluster;
let store: HttpObjectStore;
let entries: LocalEntry[];

function configuration(version: number, key: string) {
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

/** Status of a call with a key: 401 where the key is not in force, else 503. */
async function statusOf(address: string, key: string): Promise<number> {
  const answer = await callHttp({
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
  return answer.status;
}

function statuses(key: string): Promise<number[]> {
  return Promise.all(entries.map(({ address }) => statusOf(address, key)));
}

beforeEach(async () => {
  cluster = await LocalCluster.create({ engines: 0, entries: 0 });
  store = HttpObjectStore.create({
    address: cluster.platform.address,
    timeoutMs: 1_000,
  });
  await store.create("config", {
    name: "main",
    spec: configuration(1, "old-key"),
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
  // Links are made once the list of entries has been read a second time.
  await sleep(4_000);
});

afterEach(async () => {
  await Promise.all(entries.map(({ entry }) => entry.close()));
  store.close();
  await cluster.close();
});

test("in calm, less than half of the calls are made that single entries would make, and a new configuration is in force everywhere in time", async () => {
  const before = await cluster.platform.get<Counts>("/standin/counts");
  await sleep(CALM_S * 1_000);
  const after = await cluster.platform.get<Counts>("/standin/counts");
  const alone = ENTRIES * CALLS_ALONE_PER_S * CALM_S;
  expect(after.watches - before.watches).toBeGreaterThan(0);
  expect(after.watches - before.watches).toBeLessThan(alone / 2);
  await store.replace("config", {
    name: "main",
    spec: configuration(2, "new-key"),
  });
  await sleep(APPLY_MS);
  expect(await statuses("old-key")).toEqual(Array(ENTRIES).fill(401));
  expect(await statuses("new-key")).toEqual(Array(ENTRIES).fill(503));
});

test("when entries end one after the other, the last one follows the store", async () => {
  for (const { entry } of entries.slice(1)) await entry.close();
  entries = entries.slice(0, 1);
  await store.replace("config", {
    name: "main",
    spec: configuration(2, "new-key"),
  });
  await sleep(APPLY_MS);
  expect(await statuses("old-key")).toEqual([401]);
});

test("a configuration too large for peers reaches every entry too", async () => {
  const spec = configuration(2, "new-key");
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
  await sleep(APPLY_MS);
  expect(await statuses("old-key")).toEqual(Array(ENTRIES).fill(401));
});
