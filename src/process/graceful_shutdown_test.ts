/** Tests that a graceful shutdown waits for what callers are still owed. */

import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { afterEach, expect, test } from "vitest";
import { CallerConnections } from "../connection/caller_connections.ts";
import { OpenRequests, shutDownGracefully } from "./graceful_shutdown.ts";

const HOST = "127.0.0.1";
/** More than the socket buffers of both ends hold. */
const LARGE_BODY = Buffer.alloc(32 * 1_024 * 1_024, "x");
const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

let server: Server;
let socket: Socket;

afterEach(() => {
  socket.destroy();
  server.close();
  server.closeAllConnections();
});

/** Starts a server with one connection to it. */
async function start(
  respond: RequestListener,
  { allowHalfOpen = false } = {},
): Promise<OpenRequests> {
  const openRequests = OpenRequests.create();
  server = createServer((request, response) => {
    openRequests.track(response);
    respond(request, response);
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  socket = connect({ port, host: HOST, allowHalfOpen });
  socket.on("error", () => undefined);
  return openRequests;
}

test("a shutdown does not cut off a response that its caller still reads", async () => {
  const openRequests = await start((_, response) => response.end(LARGE_BODY));
  socket.write(REQUEST);
  await expect.poll(() => openRequests.count).toBe(1);
  const stopped = shutDownGracefully({
    openRequests,
    log: () => undefined,
    noticeMs: 50,
    deadlineMs: 5_000,
  });
  await sleep(200);
  let length = 0;
  socket.on("data", (data) => length += data.length);
  expect(await stopped).toBe(true);
  await expect.poll(() => length).toBeGreaterThanOrEqual(LARGE_BODY.length);
});

test("a request that arrives while the entry deregisters is answered", async () => {
  let isDone = false;
  const openRequests = await start(async (_, response) => {
    await sleep(300);
    isDone = true;
    response.end();
  });
  await shutDownGracefully({
    openRequests,
    log: () => undefined,
    noticeMs: 50,
    deadlineMs: 5_000,
    onDrained: async () => {
      socket.write(REQUEST);
      await sleep(100);
    },
  });
  expect(isDone).toBe(true);
});

test("a shutdown ends requests at a deadline that was moved forward meanwhile", async () => {
  const openRequests = await start(() => undefined);
  socket.write(REQUEST);
  await expect.poll(() => openRequests.count).toBe(1);
  const limits = { noticeMs: 5_000, deadlineMs: 10_000 };
  const startMs = performance.now();
  const stopped = shutDownGracefully(
    Object.assign(limits, { openRequests, log: () => undefined }),
  );
  await sleep(50);
  limits.deadlineMs = 200;
  expect(await stopped).toBe(false);
  expect(performance.now() - startMs).toBeLessThan(1_000);
});

test("a failed deregistration does not keep the shutdown from ending", async () => {
  const openRequests = await start((_, response) => response.end());
  const isClean = await shutDownGracefully({
    openRequests,
    log: () => undefined,
    noticeMs: 50,
    deadlineMs: 5_000,
    onDrained: () => Promise.reject(new Error("store unreachable")),
  });
  expect(isClean).toBe(true);
});

test("a shutdown does not cut off a caller that still sends the body of a refused request", async () => {
  const openRequests = await start((_, response) => {
    response.writeHead(503, { connection: "close" }).end("refused");
  }, { allowHalfOpen: true });
  CallerConnections.create({ server, now: () => performance.now() });
  let received = "";
  socket.on("data", (data) => received += data);
  socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  await expect.poll(() => received).toContain("refused");
  const stopped = shutDownGracefully({
    openRequests,
    log: () => undefined,
    noticeMs: 50,
    deadlineMs: 5_000,
  });
  expect(await Promise.race([stopped, sleep(300, "open")])).toBe("open");
  socket.write("cd");
  expect(await stopped).toBe(true);
  expect(socket.errored).toBeNull();
});

/** A request that another thread sends. */
interface ThreadRequest {
  /** Blocks the event loop of this thread until the request was written. */
  readonly waitUntilWritten: () => void;
  readonly received: Promise<string>;
}

function requestFromThread(port: number): ThreadRequest {
  const flag = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(
    `const { connect } = require("node:net");
    const { parentPort, workerData } = require("node:worker_threads");
    const { host, port, text, flag } = workerData;
    let received = "";
    const socket = connect(port, host, () => {
      socket.write(text, () => {
        Atomics.store(flag, 0, 1);
        Atomics.notify(flag, 0);
      });
    });
    socket.on("data", (data) => received += data);
    socket.on("error", () => undefined);
    socket.on("close", () => parentPort.postMessage(received));`,
    { eval: true, workerData: { host: HOST, port, text: REQUEST, flag } },
  );
  return {
    waitUntilWritten: () => void Atomics.wait(flag, 0, 0, 5_000),
    received: new Promise((resolve) => worker.once("message", resolve)),
  };
}

test("a request that connects in the last busy iteration is answered", async () => {
  const openRequests = await start((_, response) => response.end("answer"));
  const sent = requestFromThread((server.address() as AddressInfo).port);
  await shutDownGracefully({
    openRequests,
    log: () => undefined,
    noticeMs: 0,
    deadlineMs: 5_000,
    onDrained: () => Promise.resolve(sent.waitUntilWritten()),
  });
  server.closeAllConnections();
  expect(await sent.received).toMatch(/ 200 [^]*answer$/);
});
