/** Tests requests that callers send before the response to the one before. */

import type { ServerResponse } from "node:http";
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

test("a caller that disconnects aborts all requests that it has pipelined", async () => {
  platform = await ScriptedPlatform.create({});
  const open: ServerResponse[] = [];
  platform.respond = (_, response) => open.push(response);
  const caller = platform.connect();
  caller.socket.write(formatRequest("/call/1") + formatRequest("/call/2"));
  await expect.poll(() => open.length).toBe(2);
  caller.socket.destroy();
  await expect.poll(() => open.map(({ destroyed }) => destroyed))
    .toEqual([true, true]);
});

test("a shutdown answers all requests that a caller has pipelined", async () => {
  platform = await ScriptedPlatform.create({});
  const finish: (() => void)[] = [];
  platform.respond = (request, response) => {
    finish.push(() => respondShortly(request, response));
  };
  const caller = platform.connect();
  caller.socket.write(formatRequest("/call/1") + formatRequest("/call/2"));
  await expect.poll(() => finish.length).toBe(2);
  const stopped = platform.entry.stop();
  for (const end of finish) end();
  await expect.poll(() => caller.isClosed).toBe(true);
  expect(caller.received.match(/HTTP\/1\.1 200 /g)?.length).toBe(2);
  expect(caller.received.match(/Connection: close/g)?.length).toBe(1);
  await stopped;
});

test("a request behind a response that announces the end of its connection is not passed on", async () => {
  platform = await ScriptedPlatform.create({});
  let finish = () => {};
  platform.respond = (request, response) => {
    platform.respond = respondShortly;
    response.writeHead(200, signedHeaders(request));
    response.write("id: 1\ndata: x\n\n");
    finish = () => response.end();
  };
  const stopped = platform.entry.stop();
  const caller = platform.connect();
  const head = await caller.exchange(formatRequest("/stream/1"));
  expect(head).toMatch(/ 200 [^]*Connection: close/);
  caller.socket.write(formatRequest("/call/2"));
  await sleep(200);
  finish();
  await expect.poll(() => caller.isClosed).toBe(true);
  expect(platform.receivedIds).toEqual(["/stream/1"]);
  await stopped;
});

test("a refused body that was read to its end does not close the connection on the request behind it", async () => {
  platform = await ScriptedPlatform.create({ maxBodyBytes: 300 });
  const caller = platform.connect();
  await platform.configure(2, { maxBodyBytes: 100 });
  platform.respond = async (request, response) => {
    await sleep(300);
    respondShortly(request, response);
  };
  const tooLarge = formatRequest("/call/2", ["Content-Length: 200"]) +
    "x".repeat(200);
  caller.socket.write(
    formatRequest("/call/1") + tooLarge + formatRequest("/call/3"),
  );
  await expect.poll(() => caller.received.match(/HTTP\/1\.1 \d+/g), {
    timeout: 3_000,
  }).toEqual(["HTTP/1.1 200", "HTTP/1.1 413", "HTTP/1.1 200"]);
});

test(
  "the end of a shutdown keeps complete responses behind a request that it refuses",
  async () => {
    platform = await ScriptedPlatform.create({});
    platform.respond = (request, response) => {
      if (request.url !== "/call/1") respondShortly(request, response);
    };
    const caller = platform.connect();
    caller.socket.write(formatRequest("/call/1") + formatRequest("/call/2"));
    await expect.poll(() => platform.receivedIds.length).toBe(2);
    await sleep(200);
    await platform.entry.stop();
    expect(caller.received.match(/HTTP\/1\.1 \d+/g))
      .toEqual(["HTTP/1.1 504", "HTTP/1.1 200"]);
  },
  12_000,
);
