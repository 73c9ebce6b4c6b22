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

test("a configuration that shortens the idle limit during a response does not close the connection before the time its caller was told", async () => {
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
