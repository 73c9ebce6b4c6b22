/**
 * An entry on the platform, against the stand-in of its store and a scripted
 * server: what callers get for good and bad requests, and around a stop.
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import type { PlatformEntry } from "../platform/entry.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { splitAddress } from "../src/connection/http_call.ts";
import { listMembers } from "../src/process/membership.ts";
import { HOST, startLocalEntry } from "./local_platform_entry.ts";

const KEY = "key-of-alpha";

let cluster: LocalCluster;
let store: HttpObjectStore;
let entry: PlatformEntry;
let server: Server;
let port: number;
let serve: (request: IncomingMessage, response: ServerResponse) => void;
let seen: IncomingMessage[];

function configuration(version: number, changes = {}) {
  const route = {
    host: "a.example",
    service: "engines",
    timeoutMs: 9_000,
    targetLatencyMs: 1_000,
    priority: 1,
    maxAttempts: 2,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: "stream",
        pathPrefix: "/stream/",
        routeKind: "streaming",
        resumable: true,
      },
      {
        ...route,
        name: "call",
        pathPrefix: "/call/",
        routeKind: "non_idempotent",
      },
    ],
    services: [{ name: "engines", healthPath: "/healthz" }],
    limits: {
      maxHeaderBytes: 2_000,
      maxBodyBytes: 100,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "alpha", apiKeys: [KEY] }],
    ...changes,
  };
}

async function listen(listening: Server): Promise<number> {
  await new Promise<void>((resolve) => listening.listen(0, HOST, resolve));
  return (listening.address() as AddressInfo).port;
}

async function startEntry(): Promise<void> {
  const started = await startLocalEntry("entry-1", cluster.platform.address);
  entry = started.entry;
  ({ port } = splitAddress(started.address));
}

beforeEach(async () => {
  cluster = await LocalCluster.create({ engines: 0, entries: 0 });
  store = HttpObjectStore.create({
    address: cluster.platform.address,
    timeoutMs: 1_000,
  });
  seen = [];
  serve = (request, response) => {
    response.writeHead(200, {
      "x-request-id": request.headers["x-request-id"],
      "x-server-stamp": "stamp",
    });
    response.end("body");
  };
  server = createServer((request, response) => {
    // The entry asks a silent server for its report.
    if (request.url === "/v1/report") return void response.end("{}");
    seen.push(request);
    serve(request, response);
  });
  const address = `${HOST}:${await listen(server)}`;
  await store.create("servers", {
    name: "i-1",
    spec: {
      service: "engines",
      address,
      zone: "zone-a",
      slots: 4,
      state: "ready",
      born: 1,
    },
  });
  await store.create("servers", { name: "damaged", spec: { service: 5 } });
});

afterEach(async () => {
  await entry.close();
  store.close();
  server.close();
  server.closeAllConnections();
  await cluster.close();
});

async function startConfigured(): Promise<void> {
  await store.create("config", { name: "main", spec: configuration(1) });
  await startEntry();
  await expect.poll(() => entry.isReady, { timeout: 5_000 }).toBe(true);
}

/** Sends raw bytes and returns what came back until the connection is quiet. */
async function exchange(socket: Socket, text: string): Promise<string> {
  let received = "";
  const collect = (data: Buffer) => received += data.toString("latin1");
  socket.on("data", collect);
  if (!socket.destroyed) socket.write(text);
  for (let waited = 0; waited < 40; waited++) {
    await sleep(50);
    if (received.includes("\r\n\r\n") || socket.destroyed) break;
  }
  await sleep(50);
  socket.off("data", collect);
  return received;
}

async function send(text: string): Promise<string> {
  const socket = connect(port, HOST);
  socket.on("error", () => socket.destroy());
  const received = await exchange(socket, text);
  socket.destroy();
  return received;
}

function request(path: string, headers: readonly string[] = []): string {
  const lines = [
    `POST ${path} HTTP/1.1`,
    "Host: a.example",
    "X-Request-Id: id-1",
    `Authorization: Bearer ${KEY}`,
    "Content-Length: 0",
    ...headers,
  ];
  return `${lines.join("\r\n")}\r\n\r\n`;
}

test("a call is served, with the customer's name in place of the key", async () => {
  await startConfigured();
  const answer = await send(request("/call/x?y=1", ["X-Tenant: forged"]));
  expect(answer).toMatch(/^HTTP\/1\.1 200 /);
  expect(answer.endsWith("body")).toBe(true);
  expect(seen[0]?.url).toBe("/call/x?y=1");
  expect(seen[0]?.headers["x-tenant"]).toBe("alpha");
  expect(seen[0]?.headers.authorization).toBeUndefined();
  expect(seen[0]?.headers["x-expect-instance"]).toBe("i-1");
});

test("bad requests get a clear answer and reach no server", async () => {
  await startConfigured();
  const cases: readonly (readonly [string, number])[] = [
    [request("/nowhere/"), 404],
    [request("/call/").replace("a.example", "b.example"), 404],
    [request("/call/").replace(KEY, "another-key"), 401],
    [request("/call/").replace("X-Request-Id: id-1\r\n", ""), 400],
    [
      request("/call/").replace("Content-Length: 0", "Content-Length: 200") +
      "x".repeat(200),
      413,
    ],
    [request("/call/", [`X-Long: ${"x".repeat(3_000)}`]), 431],
    [request("/call/", ["Content-Length: 5"]), 400],
    [request("/call/", ["Transfer-Encoding: chunked"]), 400],
    ["GARBAGE\r\n\r\n", 400],
  ];
  for (const [text, status] of cases) {
    const answer = await send(text);
    expect(answer.slice(0, 12)).toBe(`HTTP/1.1 ${status}`);
  }
  expect(seen.length).toBe(0);
});

test("before a configuration is known the answer is 503, never 401, 404 or 413", async () => {
  await startEntry();
  expect(await send(request("/call/"))).toMatch(/^HTTP\/1\.1 503 /);
  const long = request("/call/").replace("Length: 0", "Length: 200") +
    "x".repeat(200);
  expect(await send(long)).toMatch(/^HTTP\/1\.1 503 /);
});

test("a request that comes before the configuration is served once it is known", async () => {
  await startEntry();
  const answer = send(request("/call/", ["X-Deadline-Ms: 8000"]));
  await sleep(200);
  await store.create("config", { name: "main", spec: configuration(1) });
  expect(await answer).toMatch(/^HTTP\/1\.1 200 /);
});

test("a damaged configuration leaves the one in force", async () => {
  await startConfigured();
  await store.replace("config", { name: "main", spec: { version: 9 } });
  await sleep(300);
  expect(await send(request("/call/"))).toMatch(/^HTTP\/1\.1 200 /);
  const next = configuration(10, { tenants: [] });
  await store.replace("config", { name: "main", spec: next });
  await expect.poll(() => send(request("/call/")), { timeout: 5_000 })
    .toMatch(/^HTTP\/1\.1 401 /);
  await store.replace("config", { name: "main", spec: configuration(3) });
  await sleep(500);
  expect(await send(request("/call/"))).toMatch(/^HTTP\/1\.1 401 /);
});

test("after a stop was asked for, a kept connection ends with its answer, and a late stream is refused as not run", async () => {
  await startConfigured();
  let finish = () => {};
  serve = (incoming, response) => {
    response.writeHead(200, {
      "x-request-id": incoming.headers["x-request-id"],
      "x-server-stamp": "stamp",
      "content-type": "text/event-stream",
    });
    response.write("id: 1\ndata: x\n\n");
    finish = () => response.end();
  };
  const kept = connect(port, HOST);
  kept.on("error", () => kept.destroy());
  const busy = connect(port, HOST);
  busy.on("error", () => busy.destroy());
  expect(await exchange(kept, request("/stream/a"))).toMatch(/ 200 /);
  const finishKept = finish;
  expect(await exchange(busy, request("/stream/b"))).toMatch(/ 200 /);
  const stopped = entry.stop();
  expect(entry.isReady).toBe(false);
  // Entries that start meanwhile still find it, and learn what it runs where.
  expect(await listMembers(store)).toHaveLength(1);
  finishKept();
  await expect.poll(() => kept.destroyed, { timeout: 2_000 }).toBe(true);
  // The other connection still carries a stream; a new caller comes late.
  const late = connect(port, HOST);
  late.on("error", () => late.destroy());
  await sleep(2_900);
  const answer = await exchange(late, request("/stream/c"));
  expect(answer).toMatch(/^HTTP\/1\.1 503 /);
  expect(answer).toMatch(/retry-after/i);
  expect(seen.length).toBe(2);
  finish();
  await stopped;
  expect(await listMembers(store)).toHaveLength(0);
  busy.destroy();
  late.destroy();
});
