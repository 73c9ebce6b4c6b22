/** Tests that every whole request gets a response, or a visible end of one. */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import {
  formatRequest,
  ScriptedPlatform,
  signedHeaders,
} from "./scripted_platform.ts";

let platform: ScriptedPlatform;

afterEach(() => platform.close());

test("callers that read nothing do not keep the slots of their server past their deadline", async () => {
  platform = await ScriptedPlatform.create({});
  const respondShort = platform.respond;
  platform.respond = (request, response) => {
    response.writeHead(200, signedHeaders(request));
    const data = "x".repeat(100_000);
    for (let id = 1; id <= 100; id++) {
      response.write(`id: ${id}\ndata: ${data}\n\n`);
    }
  };
  for (let at = 0; at < 16; at++) {
    const { socket } = platform.connect();
    socket.pause();
    socket.write(
      formatRequest(`/stream/${at}`, [
        "X-Deadline-Ms: 1000",
        "Content-Length: 0",
      ]),
    );
  }
  await sleep(2_000);
  platform.respond = respondShort;
  const received = await platform.connect().exchange(
    formatRequest("/call/1", ["X-Deadline-Ms: 3000", "Content-Length: 0"]),
  );
  expect(received).toMatch(/^HTTP\/1\.1 200 /);
});
