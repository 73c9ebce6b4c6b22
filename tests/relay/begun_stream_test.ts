/** Tests that a response that has begun is not ended while time remains. */

import { expect, test } from "vitest";
import {
  createRelay,
  createRouteTable,
  createServer,
  reportsNotRun,
  sendsEvents,
  type ServerScript,
  serveScripts,
} from "./scripted.ts";

const SERVERS = ["a1", "b1", "c1"].map((name) => createServer(name));

test("a begun stream that busy servers decline waits for room beyond the limit of attempts", async () => {
  const declined = Array.from({ length: 6 }, () => reportsNotRun());
  const { caller, targets } = await serveScripts(
    createRelay(SERVERS),
    [sendsEvents(1, 2, "cut"), ...declined, sendsEvents(3, 4, "whole")],
    { maxAttempts: 2 },
  );
  expect(caller.summary).toBe("200 whole: 1 2 3 4 ");
  expect(targets.length).toBe(8);
});

test("a begun stream waits for the retry budget and does not exceed it", async () => {
  const windowMs = 600;
  const relay = createRelay(SERVERS, {
    retryAllowance: 1.25,
    retryWindowMs: windowMs,
  });
  const { caller, tookMs } = await serveScripts(relay, [
    sendsEvents(1, 1, "cut"),
    sendsEvents(2, 2, "cut"),
    sendsEvents(3, 3, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 3 ");
  expect(tookMs).toBeGreaterThan(windowMs);
});

test("a begun stream that finds no retry in the budget ends at its deadline", async () => {
  const { caller, targets, tookMs } = await serveScripts(
    createRelay(SERVERS, { retryAllowance: 0 }),
    [sendsEvents(1, 1, "cut")],
    { routeDeadlineMs: performance.now() + 500 },
  );
  expect(caller.summary).toBe("200 broken off: 1 ");
  expect(targets.length).toBe(1);
  expect(tookMs).toBeGreaterThan(480);
  expect(tookMs).toBeLessThan(800);
});

test("a begun stream runs at most as often as its route permits", async () => {
  const { caller, targets } = await serveScripts(
    createRelay(SERVERS),
    [sendsEvents(1, 1, "cut"), reportsNotRun(), sendsEvents(2, 2, "cut")],
    { maxAttempts: 2 },
  );
  expect(caller.summary).toBe("200 broken off: 1 2 ");
  expect(targets.length).toBe(3);
});

test("a begun stream resumes after a configuration that removes its service and its route", async () => {
  const relay = createRelay(SERVERS);
  const changeThenDisconnect: ServerScript = async (target) => {
    const response = await sendsEvents(1, 2, "cut")(target);
    return {
      ...response,
      body: async function* () {
        relay.adopt(createRouteTable(2, []), { source: "test" });
        yield* response.body();
      },
    };
  };
  const { caller } = await serveScripts(relay, [
    changeThenDisconnect,
    sendsEvents(3, 4, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 3 4 ");
});
