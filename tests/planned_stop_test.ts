/**
 * Tests that a planned stop passes no request on to a server too late to be
 * answered, whatever the request waited for.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import {
  formatRequest,
  type RawCaller,
  respondShortly,
  ScriptedPlatform,
  signedHeaders,
} from "./scripted_platform.ts";

/** Time after SIGTERM after which a request in time must have begun, in ms. */
const STREAM_START_MAX_MS = 2_600;
const CALL_START_MAX_MS = 4_760;
/** Allowed delay of a refusal, in ms. */
const SLACK_MS = 700;
const BODY_LENGTH = 4;
/** Requests that the entry sends to the server of its plain service at once. */
const SERVER_CAPACITY = 8;

let platform: ScriptedPlatform;

afterEach(() => platform.close());

/** Sends the head of a request, and its body in two parts. */
function sendSlowly(path: string): RawCaller {
  const caller = platform.connect();
  caller.socket.write(
    formatRequest(path, [
      "X-Deadline-Ms: 9000",
      `Content-Length: ${BODY_LENGTH}`,
    ]) + "ab",
  );
  return caller;
}

/** A stream that lasts until its connection closes. */
function streamEndlessly(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(200, {
    ...signedHeaders(request),
    "content-type": "text/event-stream",
  });
  let id = 0;
  const timer = setInterval(
    () => response.write(`id: ${++id}\ndata: x\n\n`),
    100,
  );
  response.once("close", () => clearInterval(timer));
}

const REFUSED = / 503 [^]*Retry-After: [^]*Connection: close[^]*"not_run"/;

test.each([
  ["stream", STREAM_START_MAX_MS, streamEndlessly],
  ["call", CALL_START_MAX_MS, respondShortly],
])(
  "a %s whose body ends late in a planned stop is not passed on, and refused at once",
  async (kind, startMaxMs, respond) => {
    platform = await ScriptedPlatform.create({});
    platform.respond = respond;
    const early = sendSlowly(`/${kind}/early`);
    await sleep(100);
    const stopped = platform.entry.stop();
    const late = sendSlowly(`/${kind}/late`);
    await sleep(startMaxMs + SLACK_MS);
    const receivedInTime = [early, late].map(({ received }) => received);
    for (const { socket } of [early, late]) {
      if (socket.writable) socket.write("cd");
    }
    await stopped;
    expect(platform.receivedIds).toEqual([]);
    for (const received of receivedInTime) expect(received).toMatch(REFUSED);
  },
);

test("a request whose body ends in time in a planned stop is served", async () => {
  platform = await ScriptedPlatform.create({});
  platform.respond = (request, response) => {
    response.writeHead(200, signedHeaders(request)).end("id: 1\ndata: x\n\n");
  };
  const callers = ["/stream/1", "/call/1"].map(sendSlowly);
  await sleep(100);
  const stopped = platform.entry.stop();
  await sleep(1_000);
  for (const { socket } of callers) socket.write("cd");
  await stopped;
  for (const { received } of callers) {
    expect(received).toMatch(/ 200 [^]*Connection: close[^]*data: x/);
  }
});

test("a stream that gets a slot late in a planned stop is not passed on, and refused at once", async () => {
  platform = await ScriptedPlatform.create({}, { targetLatencyMs: 12_000 });
  const finishers: (() => void)[] = [];
  platform.respond = (request, response) => {
    streamEndlessly(request, response);
    finishers.push(() => response.end());
  };
  for (let at = 0; at < SERVER_CAPACITY; at++) {
    await platform.connect().exchange(formatRequest(`/stream/${at}`));
  }
  const waiting = platform.connect();
  waiting.socket.write(formatRequest("/stream/waiting"));
  await sleep(50);
  const stopped = platform.entry.stop();
  await sleep(STREAM_START_MAX_MS + SLACK_MS);
  const receivedInTime = waiting.received;
  for (const finish of finishers) finish();
  await stopped;
  expect(platform.receivedIds).not.toContain("/stream/waiting");
  expect(receivedInTime).toMatch(REFUSED);
});

test.each([
  ["stream", STREAM_START_MAX_MS],
  ["call", CALL_START_MAX_MS],
])(
  "a %s that its server declines late in a planned stop is not passed on again, and refused",
  async (kind, startMaxMs) => {
    platform = await ScriptedPlatform.create({}, { targetLatencyMs: 12_000 });
    platform.respond = async (request, response) => {
      await sleep(startMaxMs + SLACK_MS);
      const headers = { ...signedHeaders(request), "x-not-executed": "1" };
      response.writeHead(503, headers).end();
    };
    const caller = platform.connect();
    caller.socket.write(formatRequest(`/${kind}/1`));
    await expect.poll(() => platform.receivedIds.length).toBe(1);
    await platform.entry.stop();
    expect(platform.receivedIds).toEqual([`/${kind}/1`]);
    expect(caller.received).toMatch(REFUSED);
  },
);

test("an error of its server to a stream that is not passed on again is forwarded", async () => {
  platform = await ScriptedPlatform.create({}, { targetLatencyMs: 12_000 });
  platform.respond = async (request, response) => {
    await sleep(STREAM_START_MAX_MS + SLACK_MS);
    response.writeHead(500, signedHeaders(request)).end("failed");
  };
  const caller = platform.connect();
  caller.socket.write(formatRequest("/stream/1"));
  await expect.poll(() => platform.receivedIds.length).toBe(1);
  await platform.entry.stop();
  expect(platform.receivedIds).toEqual(["/stream/1"]);
  expect(caller.received).toMatch(/ 500 [^]*failed$/);
});

test("a request without a configuration is refused as not run in a planned stop", async () => {
  platform = await ScriptedPlatform.create();
  const caller = platform.connect();
  caller.socket.write(
    formatRequest("/call/1", ["X-Deadline-Ms: 60000", "Content-Length: 0"]),
  );
  await sleep(50);
  await platform.entry.stop();
  await sleep(50);
  expect(caller.received).toMatch(REFUSED);
});
