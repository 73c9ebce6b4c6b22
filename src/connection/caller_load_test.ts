/** What connections of a metered server hold. */

import { createServer, type IncomingMessage } from "node:http";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { CallerAccount } from "../admission/caller_account.ts";
import { ReadingTurns } from "../admission/reading_turns.ts";
import { CallerLoad } from "./caller_load.ts";
import { listen, readBody } from "./http_server.ts";

const HOST = "127.0.0.1";
const MAX_BYTES = 1_000_000;
/** Node drops fields after about the 1,000th by default. */
const FIELDS = 1_900;
const SHORT_FIELDS = Array.from(
  { length: FIELDS },
  (_, at) => `${at.toString(36)}:1`,
);

const now = () => performance.now();
let requests: IncomingMessage[];
let yielded: number;
let account: CallerAccount;
let load: CallerLoad;
let caller: Socket;
const server = { close: () => undefined as unknown, port: 0 };

beforeEach(async () => {
  requests = [];
  yielded = 0;
  account = CallerAccount.create({ maxBytes: MAX_BYTES, now });
  load = CallerLoad.create({
    account,
    turns: ReadingTurns.create(now),
    now,
    onYield: () => yielded++,
  });
  const http = createServer(async (request, response) => {
    requests.push(request);
    const held = load.request(request);
    const status = await readBody(request, MAX_BYTES, held)
      .then(() => 200, () => 503);
    response.writeHead(status).end();
  });
  load.watch(http);
  server.port = await listen(http, HOST, 0);
  server.close = () => {
    http.close();
    http.closeAllConnections();
  };
  caller = connect(server.port, HOST);
  caller.on("error", () => caller.destroy());
});

afterEach(() => {
  caller.destroy();
  server.close();
});

function head(...fields: readonly string[]): string {
  return `${["POST / HTTP/1.1", "Host: a", ...fields].join("\r\n")}\r\n\r\n`;
}

test("fields after the 1,000th are not dropped", async () => {
  caller.write(head("Content-Length: 0", ...SHORT_FIELDS, "X-Last: kept"));
  await expect.poll(() => requests[0]?.headers["x-last"]).toBe("kept");
});

test("a head that is not complete counts with its fields", async () => {
  caller.write(`POST / HTTP/1.1\r\n${SHORT_FIELDS.join("\r\n")}`);
  await expect.poll(() => account.totalBytes).toBeGreaterThan(100_000);
});

test("a request that was answered counts for nothing", async () => {
  caller.write(`${head("Content-Length: 5", ...SHORT_FIELDS)}hello`);
  const [response] = await new Promise<readonly Buffer[]>((resolve) =>
    caller.once("data", (bytes) => resolve([bytes]))
  );
  expect(response?.toString()).toMatch(/^HTTP\/1\.1 200 /);
  await expect.poll(() => account.totalBytes).toBe(0);
});

test("a body that holds too much is refused, and its connection closed", async () => {
  let received = "";
  caller.on("data", (bytes) => received += bytes);
  caller.write(head(`Content-Length: ${MAX_BYTES}`));
  caller.write(Buffer.alloc(MAX_BYTES - 1, "a"));
  await expect.poll(() => caller.destroyed).toBe(true);
  expect(received).toMatch(/^HTTP\/1\.1 503 /);
  expect(yielded).toBe(1);
  expect(account.totalBytes).toBe(0);
});

test("a connection that closes releases what it holds", async () => {
  caller.write(`${head("Content-Length: 100000")}half`);
  await expect.poll(() => account.totalBytes).toBeGreaterThan(0);
  caller.destroy();
  await expect.poll(() => account.totalBytes).toBe(0);
});
