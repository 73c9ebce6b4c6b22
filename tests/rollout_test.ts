/**
 * Tests roll-outs with entries, servers of two versions and the stand-in of the
 * store: the state in the store, and which servers get requests.
 */

import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { callHttp } from "../src/connection/http_call.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import type { ObjectRevision } from "../src/ids.ts";
import { LIMITS } from "./local_platform.ts";
import {
  HOST,
  type LocalEntry,
  startLocalEntry,
} from "./local_platform_entry.ts";

const SERVICE = "bookings";
const EXPOSURE_LIMITS = { share: 0.3, allowance: 20 };
const DURATION_S = 6;
const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "calls",
    host: "a.example",
    pathPrefix: "/",
    service: SERVICE,
    routeKind: "idempotent",
    timeoutMs: 2_000,
    maxAttempts: 1,
  }],
  services: [{ name: SERVICE }],
  limits: LIMITS,
};

/** A backend server of one version. */
interface VersionedServer {
  readonly server: Server;
  readonly version: string;
  runs: number;
}

let cluster: LocalCluster;
let store: HttpObjectStore;
let entries: LocalEntry[];
let servers: VersionedServer[];
let isNewVersionBad: boolean;
let logged: Map<number, number>;

beforeEach(async () => {
  cluster = await LocalCluster.create({ engines: 0, entries: 0 });
  const { address } = cluster.platform;
  store = HttpObjectStore.create({ address, timeoutMs: 1_000 });
  isNewVersionBad = false;
  logged = new Map();
  await store.create("config", { name: "main", spec: CONFIGURATION });
  servers = [];
  for (const version of ["1", "1", "2", "2"]) await startServer(version);
  entries = [];
  for (const name of ["entry-1", "entry-2"]) {
    entries.push(
      await startLocalEntry(name, address, {
        exposureLimits: EXPOSURE_LIMITS,
        log: ({ number }) => logged.set(number, (logged.get(number) ?? 0) + 1),
      }),
    );
  }
  await expect.poll(() => entries.every(({ entry }) => entry.isReady), {
    timeout: 5_000,
  }).toBe(true);
});

afterEach(async () => {
  for (const { entry } of entries) await entry.close();
  for (const { server } of servers) server.close();
  store.close();
  await cluster.close();
});

async function startServer(version: string): Promise<void> {
  const server = createServer((request, response) => {
    request.resume();
    if (request.url === "/v1/report") return void response.end("{}");
    versioned.runs++;
    const isFailure = version === "2" && isNewVersionBad;
    response.writeHead(isFailure ? 500 : 200, {
      "x-request-id": String(request.headers["x-request-id"]),
      "x-server-stamp": "stamp",
    });
    setTimeout(() => response.end("done"), 5);
  });
  const versioned: VersionedServer = { server, version, runs: 0 };
  servers.push(versioned);
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await store.create("servers", {
    name: `server-${servers.length}`,
    spec: {
      service: SERVICE,
      address: `${HOST}:${port}`,
      zone: "zone-a",
      version,
      slots: 6,
      state: "ready",
      born: servers.length,
    },
  });
}

/** Orders the new version. */
function order(target: unknown = "2"): Promise<unknown> {
  return store.create("rollouts", {
    name: SERVICE,
    spec: { service: SERVICE, target, durationS: DURATION_S },
  });
}

async function stateInStore(): Promise<unknown> {
  const status = (await store.read("rollouts", SERVICE))?.status;
  return (status as { readonly state?: unknown } | null)?.state;
}

/** Sends requests to all entries for a time in ms. */
async function sendFor(durationMs: number): Promise<void> {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs) {
    for (const { address } of entries) {
      callHttp({
        address,
        method: "GET",
        path: "/x",
        headers: {
          host: "a.example",
          "x-request-id": crypto.randomUUID(),
          "x-deadline-ms": "2000",
        },
        timeoutMs: 3_000,
      }).catch(() => undefined);
    }
    await sleep(10);
  }
}

function runsOf(version: string): number {
  return servers.filter((server) => server.version === version)
    .reduce((sum, { runs }) => sum + runs, 0);
}

test(
  "a good version gets a share of the requests, then all, and is completed",
  async () => {
    await order();
    // Until an entry knows the order, versions count for nothing.
    await expect.poll(() => logged.get(LOG_EVENTS.rolloutOrdered.number))
      .toBe(entries.length);
    await sendFor(2_000);
    await expect.poll(stateInStore).toBe("active");
    expect(runsOf("2")).toBeGreaterThan(0);
    expect(runsOf("2")).toBeLessThanOrEqual(
      EXPOSURE_LIMITS.share * (runsOf("1") + runsOf("2")) +
        EXPOSURE_LIMITS.allowance,
    );
    await sendFor(DURATION_S * 1_000 - 2_000);
    await expect.poll(stateInStore).toBe("completed");
    const before = runsOf("1");
    await sendFor(300);
    expect(runsOf("1")).toBe(before);
  },
  60_000,
);

test(
  "a bad version is rolled back, and gets no requests from then on",
  async () => {
    isNewVersionBad = true;
    await order();
    await sendFor(3_000);
    await expect.poll(stateInStore).toBe("rolled_back");
    const before = runsOf("2");
    await sendFor(500);
    expect(runsOf("2")).toBe(before);
    expect(logged.get(LOG_EVENTS.rolloutAdvanced.number)).toBe(2);
  },
  60_000,
);

test(
  "the other entry ends the order when the one that decides is gone",
  async () => {
    await order();
    await sendFor(1_500);
    expect(await stateInStore()).toBe("active");
    // Closing both in turn would end the test's entries; one of them decided.
    const [first] = entries.splice(0, 1);
    await first?.entry.close();
    await sendFor(DURATION_S * 1_000 - 1_500);
    await expect.poll(stateInStore, { timeout: 5_000 }).toBe("completed");
  },
  60_000,
);

test(
  "a bad version is left while the store is away, and its state written later",
  async () => {
    await order();
    await sendFor(1_000);
    await cluster.platform.control({ outage: true });
    isNewVersionBad = true;
    const advances = () => logged.get(LOG_EVENTS.rolloutAdvanced.number) ?? 0;
    for (let at = 0; at < 16 && advances() < entries.length; at++) {
      await sendFor(250);
    }
    expect(advances()).toBe(entries.length);
    const before = runsOf("2");
    await sendFor(500);
    expect(runsOf("2")).toBe(before);
    await cluster.platform.control({ outage: false });
    await expect.poll(stateInStore, { timeout: 8_000 }).toBe("rolled_back");
  },
  60_000,
);

test("unusable orders are logged and change nothing", async () => {
  await order({ version: "2" });
  await expect.poll(() => logged.get(LOG_EVENTS.rolloutUnusable.number))
    .toBeGreaterThan(0);
  await sendFor(300);
  expect(await stateInStore()).toBeUndefined();
  expect(runsOf("1")).toBeGreaterThan(0);
});

test("a state of another writer that names no known one is logged and replaced", async () => {
  await order();
  await expect.poll(stateInStore).toBe("active");
  const object = await store.read("rollouts", SERVICE);
  await store.replaceStatus("rollouts", {
    name: SERVICE,
    status: { state: "paused", target: "2" },
    revision: object?.revision as ObjectRevision,
  });
  await expect.poll(() => logged.get(LOG_EVENTS.rolloutUnusable.number))
    .toBeGreaterThan(0);
  await expect.poll(stateInStore).toBe("active");
});

test("a version whose order is removed gets no requests", async () => {
  await order();
  await sendFor(1_000);
  await store.remove("rollouts", { name: SERVICE });
  await sleep(500);
  const before = runsOf("2");
  await sendFor(500);
  expect(runsOf("2")).toBe(before);
});
