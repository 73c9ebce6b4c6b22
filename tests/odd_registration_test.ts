/**
 * Calls through a platform entry while the store holds an invalid registration of
 * a backend server.
 */

import { createServer, type Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { listen } from "../src/connection/http_server.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { ENTRY_KIND } from "../src/gossip/membership.ts";
import { LIMITS, LocalPlatform } from "./local_platform.ts";
import { HOST, startLocalEntry } from "./local_platform_entry.ts";

const CONFIGURATION = {
  version: 1,
  routes: ["idempotent", "non_idempotent"].map((routeKind) => ({
    name: routeKind,
    host: "a.example",
    pathPrefix: `/${routeKind}/`,
    routeKind,
    service: "engines",
    timeoutMs: 5_000,
    targetLatencyMs: 500,
    priority: 1,
    maxAttempts: 2,
  })),
  services: ["engines", "other"].map((name) => ({
    name,
    healthPath: "/healthz",
  })),
  limits: LIMITS,
};

/** Calls to this path are answered once `holdsCalls` is false. */
const HELD_PATH = "/non_idempotent/held";
const INVALID_NAME = "i-invalid";
const USABLE = {
  service: "engines",
  address: "127.0.0.1:9",
  zone: "zone-b",
  slots: 8,
  state: "ready",
  born: 1,
};

let platform: LocalPlatform;
let servers: Server[];
let holdsCalls: boolean;

beforeEach(async () => {
  platform = await LocalPlatform.create();
  servers = [];
  holdsCalls = false;
  await addServer("i-1");
  await platform.startEntry(CONFIGURATION);
});

afterEach(async () => {
  await platform.close();
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
});

/** Starts a backend server and registers it; it answers with its name. */
async function addServer(name: string): Promise<void> {
  const server = createServer(async (request, response) => {
    request.resume();
    while (request.url === HELD_PATH && holdsCalls) await sleep(10);
    response.writeHead(200, {
      "x-request-id": request.headers["x-request-id"],
      "x-server-stamp": "stamp",
    });
    response.end(request.url === "/v1/report" ? "{}" : name);
  });
  servers.push(server);
  const port = await listen(server, HOST, 0);
  await platform.store.create("servers", {
    name,
    spec: { ...USABLE, address: `${HOST}:${port}` },
  });
}

/** Makes a call; returns its status and the name of the server. */
async function call(path: string): Promise<string> {
  const { status, body } = await platform.call(path, { deadlineMs: 4_000 });
  return `${status} ${body}`;
}

/** Makes calls until `isOver`; returns all distinct responses. */
async function callRepeatedly(
  isOver: () => boolean,
): Promise<ReadonlySet<string>> {
  const responses = new Set<string>();
  while (!isOver()) {
    const paths = ["/idempotent/a", "/non_idempotent/a", "/non_idempotent/b"];
    const batch = await Promise.all(paths.map(call));
    for (const response of batch) responses.add(response);
    await sleep(20);
  }
  return responses;
}

function callRepeatedlyFor(durationMs: number): Promise<ReadonlySet<string>> {
  const endMs = performance.now() + durationMs;
  return callRepeatedly(() => performance.now() >= endMs);
}

/** Adds an item to the list of registrations; a string is sent unchanged. */
async function injectRegistration(item: string | object): Promise<void> {
  const rawServers = [typeof item === "string" ? item : JSON.stringify(item)];
  await platform.cluster.platform.control({ rawServers });
}

function registration(changes: object, metadata: object = {}): object {
  return {
    metadata: { name: INVALID_NAME, revision: 1, ...metadata },
    spec: { ...USABLE, ...changes },
    status: null,
  };
}

const DEEP = "[".repeat(100_000) + "]".repeat(100_000);
const VALID_TEXT = JSON.stringify(registration({}));

test.for<readonly [string, string | object, string?]>([
  [
    "a port out of range",
    registration({ address: "127.0.0.1:99999" }),
    "address",
  ],
  ["port 0", registration({ address: "127.0.0.1:0" }), "address"],
  [
    "an octet out of range",
    registration({ address: "999.0.0.1:80" }),
    "address",
  ],
  ["slots of 1e308", registration({ slots: 1e308 }), "slots"],
  [
    "a number too large",
    VALID_TEXT.replace('"born":1', '"born":1e999'),
    "born",
  ],
  [
    "deep nesting in a field",
    VALID_TEXT.replace('"zone-b"', DEEP),
    "zone",
  ],
  [
    "deep nesting in all parts",
    `{"metadata":{"name":"${INVALID_NAME}","revision":1,"finalizers":${DEEP}},"spec":${DEEP},"status":${DEEP}}`,
    "service",
  ],
  [
    "a name with a line break",
    registration({}, { name: "a\nb" }),
    "metadata.name",
  ],
  ["a name beyond Latin-1", registration({}, { name: "名" }), "metadata.name"],
  ["a lone surrogate in the name", registration({}, { name: "\ud800" })],
  ["no name", registration({}, { name: undefined })],
  ["no metadata", { spec: USABLE }],
  ["a string", '"text"'],
  ["null", "null"],
  ["NaN", VALID_TEXT.replace('"born":1', '"born":NaN'), "service"],
  ["Infinity", VALID_TEXT.replace('"born":1', '"born":Infinity'), "service"],
  ["a NUL byte", VALID_TEXT.replace("zone-b", "zone\0b"), "service"],
  ["an invalid escape", VALID_TEXT.replace("zone-b", "zone\\xb"), "service"],
  ["a huge revision", registration({ slots: 0 }, { revision: 1e308 }), "slots"],
  ["a very long name", registration({}, { name: "n".repeat(100_000) })],
  ["a very long zone", registration({ zone: "z".repeat(900_000) }), "zone"],
])(
  "calls are answered and list changes apply despite %s",
  async ([, item, field]) => {
    let isOver = false;
    const responses = callRepeatedly(() => isOver);
    try {
      await injectRegistration(item);
      await sleep(400);
      await addServer("i-2");
      await platform.store.remove("servers", { name: "i-1" });
      await expect.poll(() => call("/idempotent/c"), { timeout: 5_000 })
        .toBe("200 i-2");
      await sleep(200);
    } finally {
      isOver = true;
      await responses;
    }
    const statuses = [...await responses].map((text) => text.slice(0, 3));
    expect([...new Set(statuses)]).toEqual(["200"]);
    expect(await call("/non_idempotent/c")).toBe("200 i-2");
    const fields = platform.detailsOf(LOG_EVENTS.registrationUnusable)
      .map(({ field }) => field);
    expect(fields).toEqual(field === undefined ? [] : [field]);
  },
);

test("entries exchange digests despite an entry registered at a port out of range", async () => {
  for (const invalid of ["127.0.0.1:99999", "", "no address"]) {
    const name = `entry-invalid-${invalid}`;
    await platform.store.create(ENTRY_KIND, {
      name,
      spec: { address: invalid },
    });
  }
  const second = await startLocalEntry(
    "entry-2",
    platform.cluster.platform.address,
  );
  try {
    await expect.poll(
      () => platform.detailsOf(LOG_EVENTS.peerConnected).length,
      { timeout: 8_000 },
    ).toBeGreaterThan(0);
    await addServer("i-2");
    await platform.store.remove("servers", { name: "i-1" });
    await expect.poll(() => call("/idempotent/c"), { timeout: 5_000 })
      .toBe("200 i-2");
  } finally {
    await second.entry.close();
  }
});

test("a server whose registration becomes unusable gets no new calls until it is usable again", async () => {
  await addServer("i-2");
  await expect.poll(() => callRepeatedlyFor(200), { timeout: 5_000 })
    .toEqual(new Set(["200 i-1", "200 i-2"]));
  const { spec } = await platform.store.read("servers", "i-2") ?? {};
  for (
    const invalid of [{ slots: "x" }, { address: "127.0.0.1:99999" }, null]
  ) {
    const changed = invalid === null
      ? invalid
      : { ...spec as object, ...invalid };
    holdsCalls = true;
    const held = Promise.all(Array.from({ length: 4 }, () => call(HELD_PATH)));
    await sleep(200);
    await platform.store.replace("servers", { name: "i-2", spec: changed });
    await sleep(400);
    expect(await callRepeatedlyFor(300)).toEqual(new Set(["200 i-1"]));
    // Calls that it had begun before are answered.
    holdsCalls = false;
    expect(new Set(await held)).toEqual(new Set(["200 i-1", "200 i-2"]));
    await platform.store.replace("servers", { name: "i-2", spec });
    await expect.poll(() => callRepeatedlyFor(200), { timeout: 5_000 })
      .toEqual(new Set(["200 i-1", "200 i-2"]));
  }
});

test("a server is used again once a later registration at its address is gone", async () => {
  const { spec } = await platform.store.read("servers", "i-1") ?? {};
  const later = { ...spec as object, service: "other", born: 9e15 };
  for (const name of ["i-later", "i-latest"]) {
    await platform.store.create("servers", { name, spec: later });
  }
  // A server that has just responded isn't replaced.
  await sleep(1_500);
  await expect.poll(() => call("/idempotent/c"), { timeout: 8_000 })
    .toMatch(/^503/);
  await platform.store.remove("servers", { name: "i-later" });
  await platform.store.replace("servers", {
    name: "i-latest",
    spec: { slots: 0 },
  });
  await expect.poll(() => call("/idempotent/c"), { timeout: 3_000 })
    .toBe("200 i-1");
});

test("copies of registrations under a service that isn't configured leave all servers in use", async () => {
  await addServer("i-2");
  await expect.poll(() => callRepeatedlyFor(200), { timeout: 5_000 })
    .toEqual(new Set(["200 i-1", "200 i-2"]));
  for (const name of ["i-1", "i-2"]) {
    const { spec } = await platform.store.read("servers", name) ?? {};
    for (const changes of [{}, { born: 9e15 }, { version: "9" }]) {
      await platform.store.create("servers", {
        name: `${name}-copy-${Object.keys(changes)}`,
        spec: { ...spec as object, ...changes, service: "inventory" },
      });
    }
  }
  expect(await callRepeatedlyFor(600))
    .toEqual(new Set(["200 i-1", "200 i-2"]));
});

test("a list that could not be read at all is followed once it can be read", async () => {
  await callRepeatedlyFor(800);
  await injectRegistration('{"metadata":{"name":"i-invalid"},"spec":[');
  await sleep(300);
  // The configuration, which can be read, is still followed.
  const [route] = CONFIGURATION.routes;
  const added = { ...route, name: "added", pathPrefix: "/added/" };
  const routes = [...CONFIGURATION.routes, added];
  const spec = { ...CONFIGURATION, version: 2, routes };
  await platform.store.replace("config", { name: "main", spec });
  await expect.poll(() => call("/added/a"), { timeout: 5_000 })
    .toBe("200 i-1");
  await addServer("i-2");
  await platform.store.remove("servers", { name: "i-1" });
  expect(await callRepeatedlyFor(500)).toEqual(new Set(["200 i-1"]));
  await platform.cluster.platform.control({ rawServers: [] });
  await expect.poll(() => call("/idempotent/c"), { timeout: 5_000 })
    .toBe("200 i-2");
});
