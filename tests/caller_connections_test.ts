/** Tests how long an entry keeps callers' connections, and how it closes them. */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import {
  formatRequest,
  respondShortly,
  ScriptedPlatform,
  signedHeaders,
} from "./scripted_platform.ts";

let platform: ScriptedPlatform;

afterEach(() => platform.close());

test("a configuration that shortens the idle limit during a response does not close the connection before the time announced to its caller", async () => {
  platform = await ScriptedPlatform.create({ idleTimeoutMs: 3_000 });
  let finish = () => {};
  platform.respond = (request, response) => {
    platform.respond = respondShortly;
    finish = () => respondShortly(request, response);
  };
  const caller = platform.connect();
  const first = caller.exchange(formatRequest("/call/1"));
  await expect.poll(() => platform.receivedIds.length).toBe(1);
  await platform.configure(2, { idleTimeoutMs: 300 });
  finish();
  expect(await first).toMatch(/Keep-Alive: timeout=3\r\n/);
  // Callers reuse connections up to four fifths of the limit.
  await sleep(2_400);
  expect(await caller.exchange(formatRequest("/call/2"))).toMatch(/ 200 /);
});

test("an idle limit that expires while the event loop is busy does not discard a request that waits to be read", async () => {
  platform = await ScriptedPlatform.create({ idleTimeoutMs: 1_000 });
  const caller = platform.connect();
  await caller.exchange(formatRequest("/call/1"));
  await sleep(900);
  // Timers that are due after this phase run before the next read.
  const second = await new Promise<Promise<string>>((resolve) => {
    setImmediate(() => {
      resolve(caller.exchange(formatRequest("/call/2")));
      const busyUntilMs = performance.now() + 1_200;
      while (performance.now() < busyUntilMs);
    });
  });
  expect(await second).toMatch(/ 200 /);
});

test("a connection that stays idle past its limit is closed", async () => {
  platform = await ScriptedPlatform.create({ idleTimeoutMs: 300 });
  const caller = platform.connect();
  await caller.exchange(formatRequest("/call/1"));
  expect(caller.isClosed).toBe(false);
  await expect.poll(() => caller.isClosed, { timeout: 3_000 }).toBe(true);
});

test("a kept connection is answered for as long as a shutdown lasts", async () => {
  platform = await ScriptedPlatform.create({});
  let finish = () => {};
  platform.respond = (request, response) => {
    platform.respond = respondShortly;
    response.writeHead(200, signedHeaders(request));
    response.write("id: 1\ndata: x\n\n");
    finish = () => response.end();
  };
  const streaming = platform.connect();
  await streaming.exchange(formatRequest("/stream/1"));
  const early = platform.connect();
  await early.exchange(formatRequest("/call/1"));
  const late = platform.connect();
  await late.exchange(formatRequest("/call/2"));
  const stopped = platform.entry.stop();
  await sleep(3_500);
  const served = await early.exchange(formatRequest("/call/3"));
  expect(served).toMatch(/ 200 [^]*Connection: close/);
  await sleep(1_700);
  const refused = await late.exchange(formatRequest("/call/4"));
  expect(refused).toMatch(/ 503 [^]*Retry-After: [^]*Connection: close/);
  expect(platform.receivedIds).not.toContain("/call/4");
  finish();
  await stopped;
});

test("a response that ends during a shutdown leaves its connection open for the next request", async () => {
  platform = await ScriptedPlatform.create({});
  let finish = () => {};
  platform.respond = (request, response) => {
    platform.respond = respondShortly;
    response.writeHead(200, signedHeaders(request));
    response.write("id: 1\ndata: x\n\n");
    finish = () => response.end();
  };
  const caller = platform.connect();
  const head = await caller.exchange(formatRequest("/stream/1"));
  expect(head).toMatch(/Connection: keep-alive/);
  const stopped = platform.entry.stop();
  finish();
  await sleep(200);
  const received = await caller.exchange(formatRequest("/call/2"));
  expect(received).toMatch(/ 200 [^]*Connection: close/);
  expect(caller.isClosed).toBe(true);
  await stopped;
});

test("a request that is open at the end of a shutdown gets a response", async () => {
  platform = await ScriptedPlatform.create({});
  platform.respond = () => undefined;
  const caller = platform.connect();
  caller.socket.write(formatRequest("/call/1"));
  await expect.poll(() => platform.receivedIds.length).toBe(1);
  await platform.entry.stop();
  await sleep(50);
  expect(caller.received).toMatch(/ 504 [^]*Connection: close/);
});

/** Sends a text and 2 MB after it, and reads only afterwards. */
async function sendLargeRequest(head: string): Promise<string> {
  const { socket } = platform.connect();
  let received = "";
  socket.removeAllListeners("data");
  socket.pause();
  socket.write(head);
  for (let sent = 0; sent < 40; sent++) {
    socket.write("x".repeat(50_000));
    await sleep(5);
  }
  socket.on("data", (data) => received += data.toString("latin1"));
  socket.resume();
  await sleep(300);
  return received;
}

test("a refusal reaches a caller that is still sending", async () => {
  platform = await ScriptedPlatform.create({});
  const length = "Content-Length: 2000000";
  const long = `X-Long: ${"x".repeat(3_000)}`;
  const tooLarge = formatRequest("/call/1", [length]);
  expect(await sendLargeRequest(tooLarge)).toMatch(/^HTTP\/1\.1 413 /);
  const tooLong = formatRequest("/call/2", [length, long]);
  expect(await sendLargeRequest(tooLong)).toMatch(/^HTTP\/1\.1 431 /);
  const endless = formatRequest("/call/3").replace("\r\n\r\n", "\r\nX-Long: ");
  expect(await sendLargeRequest(endless)).toMatch(/^HTTP\/1\.1 431 /);
  expect(await sendLargeRequest("GARBAGE\r\n\r\n")).toMatch(/^HTTP\/1\.1 400 /);
  expect(platform.receivedIds).toEqual([]);
});

test("a configuration that lowers the body limit lets requests in progress complete", async () => {
  platform = await ScriptedPlatform.create({ maxBodyBytes: 4_000_000 });
  const head = formatRequest("/call/1", ["Content-Length: 2000000"]);
  const sent = sendLargeRequest(head);
  await platform.configure(2, { maxBodyBytes: 100 });
  expect(await sent).toMatch(/^HTTP\/1\.1 200 /);
  expect(await sendLargeRequest(head)).toMatch(/^HTTP\/1\.1 413 /);
});

test("a caller that goes on sending after a refusal is disconnected", async () => {
  platform = await ScriptedPlatform.create({});
  const caller = platform.connect();
  caller.socket.write(formatRequest("/call/1", ["Content-Length: 9000000000"]));
  const sending = setInterval(() => caller.socket.write("x".repeat(10)), 20);
  try {
    await expect.poll(() => caller.received).toMatch(/^HTTP\/1\.1 413 /);
    await expect.poll(() => caller.isClosed, { timeout: 5_000 }).toBe(true);
  } finally {
    clearInterval(sending);
  }
});

test("bytes that are no request do not replace the answer to the request before them", async () => {
  platform = await ScriptedPlatform.create({});
  const caller = platform.connect();
  platform.respond = async (request, response) => {
    caller.socket.write("GARBAGE\r\n\r\n");
    await sleep(200);
    respondShortly(request, response);
  };
  const received = await caller.exchange(formatRequest("/call/1"));
  expect(received).toMatch(/^HTTP\/1\.1 200 [^]*bodyHTTP\/1\.1 400 /);
  await expect.poll(() => caller.isClosed).toBe(true);
});

test("a body that can't be parsed is answered with 400", async () => {
  platform = await ScriptedPlatform.create({});
  const caller = platform.connect();
  const head = formatRequest("/call/1", ["Transfer-Encoding: chunked"]);
  const received = await caller.exchange(`${head}no chunk\r\n`);
  expect(received).toMatch(/^HTTP\/1\.1 400 /);
});

test("a configuration that shortens the limits does not close connections that were opened before and have sent nothing", async () => {
  platform = await ScriptedPlatform.create({ headerTimeoutMs: 2_000 });
  const caller = platform.connect();
  await platform.configure(2, { headerTimeoutMs: 100, idleTimeoutMs: 100 });
  await sleep(1_500);
  expect(await caller.exchange(formatRequest("/call/1"))).toMatch(/ 200 /);
});

test("a header timeout that expires while the event loop is busy does not discard a request that waits to be read", async () => {
  const limits = { headerTimeoutMs: 700, idleTimeoutMs: 300 };
  platform = await ScriptedPlatform.create(limits);
  const caller = platform.connect();
  await sleep(800);
  const answered = await new Promise<Promise<string>>((resolve) => {
    setImmediate(() => {
      resolve(caller.exchange(formatRequest("/call/1")));
      const busyUntilMs = performance.now() + 1_500;
      while (performance.now() < busyUntilMs);
    });
  });
  expect(await answered).toMatch(/ 200 /);
});

test("a caller that sends its header section too slowly gets 408", async () => {
  const limits = { headerTimeoutMs: 300, idleTimeoutMs: 200 };
  platform = await ScriptedPlatform.create(limits);
  const caller = platform.connect();
  caller.socket.write(
    formatRequest("/call/1").replace("\r\n\r\n", "\r\nX-Slow: "),
  );
  const sending = setInterval(() => caller.socket.write("x"), 20);
  try {
    await expect.poll(() => caller.received, { timeout: 5_000 })
      .toMatch(/^HTTP\/1\.1 408 /);
    await expect.poll(() => caller.isClosed, { timeout: 5_000 }).toBe(true);
  } finally {
    clearInterval(sending);
  }
});
