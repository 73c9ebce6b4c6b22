/** Tests requests that callers send before the response to the one before. */

import type { ServerResponse } from "node:http";
import { afterEach, expect, test } from "vitest";
import { formatRequest, ScriptedPlatform } from "./scripted_platform.ts";

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
