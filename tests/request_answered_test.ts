/** Tests that every whole request gets a response, or a visible end of one. */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import {
  formatRequest,
  ScriptedPlatform,
  signedHeaders,
} from "./scripted_platform.ts";

/** Requests that the entry sends to the server of its plain service at once. */
const SERVER_CAPACITY = 8;

let platform: ScriptedPlatform;

afterEach(() => platform.close());

function rawResponse(statusLine: string, headers: string): string {
  return `${statusLine}\r\nX-Request-Id: /call/1\r\nX-Server-Stamp: s\r\n` +
    `${headers}Content-Length: 4\r\n\r\nbody`;
}

test("a server's response that can't be forwarded is answered with an error", async () => {
  platform = await ScriptedPlatform.create({});
  const responses = [
    rawResponse("HTTP/1.1 099 Low", ""),
    rawResponse("HTTP/1.1 101 Switching Protocols", ""),
    rawResponse("HTTP/1.1 200 OK", "X-Bad: a\u0001b\r\n"),
    rawResponse("HTTP/1.1 200 OK", "X-Bad: \u00fc\u007f\r\n"),
    rawResponse("HTTP/1.1 200 OK", "Content-Length: 9\r\n"),
    rawResponse("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 099 Low", ""),
    "\u0000\u0001\r\n\r\n",
  ];
  for (const text of responses) {
    for (const path of ["/call/1", "/stream/1"]) {
      platform.respond = (_, response) => {
        response.socket?.end(text.replace("/call/1", path), "latin1");
      };
      const received = await platform.connect().exchange(formatRequest(path));
      expect(received, text).toMatch(/^HTTP\/1\.1 50[234] /);
    }
  }
});

const FINAL_RESPONSE =
  /^(HTTP\/1\.1 100 Continue\r\n\r\n)?HTTP\/1\.1 [2345]\d\d /;

test("unusual requests are answered", async () => {
  platform = await ScriptedPlatform.create({});
  const requests = [
    formatRequest("/call/1").replace("POST", "CONNECT"),
    "CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n\r\n",
    formatRequest("/call/1", [
      "Connection: Upgrade",
      "Upgrade: websocket",
      "Content-Length: 0",
    ]),
    formatRequest("/call/1", ["Expect: 100-continue", "Content-Length: 0"]),
    formatRequest("/call/1", ["Expect: other", "Content-Length: 0"]),
    formatRequest("/call/1").replace("HTTP/1.1", "HTTP/1.0"),
    formatRequest("http://a.example/call/1"),
    formatRequest("/call/\u00fc"),
    formatRequest("/call/1").replace("POST", "HEAD"),
    formatRequest("*").replace("POST", "OPTIONS"),
    formatRequest("/call/1").replace("Host: a.example\r\n", ""),
    "\r\n\r\n" + formatRequest("/call/1"),
    formatRequest("/call/1", ["X-Request-Id: b", "Content-Length: 0"]),
    formatRequest("/call/1", ["X-Deadline-Ms: 1e999", "Content-Length: 0"]),
    formatRequest("/call/1", ["X-Deadline-Ms: -5", "Content-Length: 0"]),
    formatRequest("/call/1", ["X-Deadline-Ms: 1e12", "Content-Length: 0"]),
  ];
  for (const text of requests) {
    const received = await platform.connect().exchange(text);
    expect(received, text).toMatch(FINAL_RESPONSE);
  }
});

test.each(["stream", "call"])(
  "a %s that gets no slot before its deadline is refused as not run",
  async (kind) => {
    platform = await ScriptedPlatform.create({}, { targetLatencyMs: 6_000 });
    platform.respond = () => undefined;
    for (let at = 0; at < SERVER_CAPACITY; at++) {
      platform.connect().socket.write(formatRequest(`/${kind}/${at}`));
    }
    await expect.poll(() => platform.receivedIds.length).toBe(SERVER_CAPACITY);
    const received = await platform.connect().exchange(
      formatRequest(`/${kind}/late`, [
        "X-Deadline-Ms: 1000",
        "Content-Length: 0",
      ]),
    );
    expect(received).toMatch(/^HTTP\/1\.1 503 [^]*"not_run"/);
    expect(platform.receivedIds.length).toBe(SERVER_CAPACITY);
  },
);

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
