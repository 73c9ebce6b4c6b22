/** Tests how long an entry keeps callers' connections, and how it closes them. */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import {
  formatRequest,
  respondShortly,
  ScriptedPlatform,
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
