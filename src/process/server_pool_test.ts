/** Which responses to a poll count as load reports, and how old they are. */

import { expect, test } from "vitest";
import { RawServer } from "../../tests/raw_server.ts";
import { REPORT_MAX_AGE_MS } from "../constants.ts";
import { NO_REVISION } from "../ids.ts";
import { Deployment } from "../version/deployment.ts";
import { Fencing, ObjectKind } from "../version/types.ts";
import { ServerPool } from "./server_pool.ts";
import { Routing } from "./settings.ts";

const REPORT = {
  slots: 4,
  running: 1,
  queued: 0,
  leaving: false,
  modelVersion: "v1",
};

/** Creates a pool with one server, `e1`. */
function createPool(
  { address, now }: {
    readonly address: string;
    readonly now: () => number;
  },
): ServerPool {
  const pool = ServerPool.create({
    now,
    random: () => 0,
    log: () => undefined,
    routing: Routing.LeastLoaded,
    entryPosition: () => ({ index: 0, count: 1 }),
    onCapacityAvailable: () => undefined,
  });
  const backendServer = {
    kind: ObjectKind.BackendServer,
    name: "e1",
    address,
    zone: "a",
    service: "s",
    slots: 4,
    fencing: Fencing.Ignored,
  } as const;
  pool.setDeployment(Deployment.create(NO_REVISION, [backendServer]));
  return pool;
}

function formatResponse(body: string, status = "200 OK"): string {
  return `HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** Returns the report that the pool keeps after a server's `body`. */
async function reportAfter(body: string, status = "200 OK") {
  let polls = 0;
  const server = await RawServer.create((socket) => {
    socket.on("data", () => {
      polls++;
      socket.write(formatResponse(body, status));
    });
  });
  const pool = createPool({
    address: server.address,
    now: () => performance.now(),
  });
  // The second poll shows that the first one did not end the polling.
  await expect.poll(() => polls, { timeout: 5_000 }).toBeGreaterThan(1);
  const report = pool.view("e1")?.report;
  pool.close();
  server.close();
  return report;
}

test("a valid report is kept", async () => {
  expect(await reportAfter(JSON.stringify(REPORT))).toEqual(REPORT);
});

test.for([
  ["null", "null"],
  ["an array", "[]"],
  ["no JSON", "<html>"],
  ["a text in place of a number", JSON.stringify({ ...REPORT, running: "1" })],
  ["a missing field", JSON.stringify({ ...REPORT, leaving: undefined })],
])("a response with %s is no report", async ([, body = ""]) => {
  expect(await reportAfter(body)).toBeUndefined();
});

test("an error response is no report", async () => {
  const body = JSON.stringify(REPORT);
  expect(await reportAfter(body, "500 Error")).toBeUndefined();
});

test("a busy entry does not take the report of an idle server for old", async () => {
  let nowMs = 0;
  const server = await RawServer.create((socket) => {
    socket.on("data", () => {
      socket.write(formatResponse(JSON.stringify(REPORT)));
    });
  });
  const pool = createPool({ address: server.address, now: () => nowMs });
  // As if the event loop was blocked before it sent the first poll.
  nowMs += REPORT_MAX_AGE_MS + 1;
  await expect.poll(() => pool.view("e1")?.report, { timeout: 5_000 })
    .toBeDefined();
  expect(pool.servingCount()).toBe(1);
  pool.close();
  server.close();
});

test("a report counts as old from the time at which it was requested", async () => {
  let nowMs = 0;
  const server = await RawServer.create((socket) => {
    socket.on("data", () => {
      nowMs += REPORT_MAX_AGE_MS + 1;
      socket.write(formatResponse(JSON.stringify(REPORT)));
    });
  });
  const pool = createPool({ address: server.address, now: () => nowMs });
  await expect.poll(() => pool.view("e1")?.report, { timeout: 5_000 })
    .toBeDefined();
  expect(pool.servingCount()).toBe(0);
  pool.close();
  server.close();
});
