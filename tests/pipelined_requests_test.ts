/** Tests requests that callers send before the response to the one before. */

import type { ServerResponse } from "node:http";
import { afterEach, expect, test } from "vitest";
import {
  formatRequest,
  respondShortly,
  ScriptedPlatform,
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
