/**
 * Entries beside a store that comes back from an older copy: what they know stays
 * in force, and what the system wrote is written again.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { storeRevisionOf } from "../src/connection/store_era.ts";
import { ENTRY_KIND } from "../src/gossip/membership.ts";
import type { ObjectRevision } from "../src/ids.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { LIMITS } from "./local_platform.ts";
import {
  HOST,
  type LocalEntry,
  startLocalEntry,
} from "./local_platform_entry.ts";

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "calls",
    host: "a.example",
    pathPrefix: "/",
    service: "bookings",
    routeKind: "idempotent",
    timeoutMs: 2_000,
  }],
  services: [{ name: "bookings" }],
  limits: LIMITS,
};

let cluster: LocalCluster;
let store: HttpObjectStore;
let entries: LocalEntry[];
let logged: { readonly number: number; readonly details: object }[];

beforeEach(async () => {
  cluster = await LocalCluster.create({ engines: 0, entries: 0 });
  await cluster.platform.control({ era: 1 });
  const { address } = cluster.platform;
  store = HttpObjectStore.create({ address, timeoutMs: 1_000 });
  await store.create("config", { name: "main", spec: CONFIGURATION });
  entries = [];
  logged = [];
  for (const name of ["entry-1", "entry-2"]) {
    const log = ({ number }: { readonly number: number }, details = {}) =>
      void logged.push({ number, details });
    entries.push(await startLocalEntry(name, address, { log }));
  }
  await expect.poll(() => entries.every(({ entry }) => entry.isReady), {
    timeout: 5_000,
  }).toBe(true);
});

afterEach(async () => {
  for (const { entry } of entries) await entry.close();
  store.close();
  await cluster.close();
});

/** Writes an object of any kind; returns its revision. */
async function write(
  kind: string,
  name: string,
  spec: unknown,
): Promise<ObjectRevision> {
  const replaced = await store.replace(kind, { name, spec });
  const { revision } = replaced ?? await store.create(kind, { name, spec });
  return revision;
}

async function restore(revision: ObjectRevision): Promise<void> {
  await cluster.platform.control({
    restoreRevision: storeRevisionOf(revision),
  });
  await store.list({ kind: "config" }).catch(() => undefined);
}

function createServerSpec(state: string) {
  return {
    service: "bookings",
    address: `${HOST}:9`,
    zone: "zone-a",
    slots: 4,
    state,
    born: 5,
  };
}

function countLogged(number: number): number {
  return logged.filter((line) => line.number === number).length;
}

test("a configuration that the store has lost stays in force, and the next one is adopted", async () => {
  const before = await write("marks", "mark", 1);
  await write("config", "main", { ...CONFIGURATION, version: 2 });
  const adoptions = () =>
    logged.filter(({ number }) => number === LOG_EVENTS.revisionAdopted.number)
      .map(({ details }) => (details as { revision: number }).revision);
  await expect.poll(() => adoptions().filter((version) => version === 2))
    .toHaveLength(2);
  await restore(before);
  await sleep(1_500);
  await write("config", "main", { ...CONFIGURATION, version: 3 });
  await expect.poll(() => adoptions().filter((version) => version === 3), {
    timeout: 4_000,
  }).toHaveLength(2);
  expect(Math.max(...adoptions())).toBe(3);
  expect(adoptions().toSorted()).toEqual([1, 1, 2, 2, 3, 3]);
});

test("a server that is draining is not used again when an older copy lists it as ready", async () => {
  const before = await write("servers", "i-1", createServerSpec("ready"));
  await write("servers", "i-1", createServerSpec("draining"));
  await expect.poll(() => countLogged(LOG_EVENTS.serverDraining.number))
    .toBeGreaterThanOrEqual(2);
  await restore(before);
  await expect.poll(() => countLogged(LOG_EVENTS.storeRestored.number), {
    timeout: 4_000,
  }).toBeGreaterThan(0);
  await sleep(500);
  const latestView = () =>
    logged.findLast(({ number }) => number === LOG_EVENTS.entryView.number)
      ?.details;
  await expect.poll(latestView, { timeout: 15_000 })
    .toMatchObject({ serving: 0, leaving: ["i-1"] });
});

test(
  "registrations of entries that the store has lost are written again",
  async () => {
    const names = async () =>
      (await store.list({ kind: ENTRY_KIND })).objects.map(({ name }) => name);
    await expect.poll(names, { timeout: 5_000 }).toHaveLength(2);
    await restore(1 as ObjectRevision);
    await expect.poll(names, { timeout: 30_000, interval: 200 })
      .toEqual(["entry-1", "entry-2"]);
  },
  60_000,
);
