/** Tests the soak: its checks, its fault proxy and short runs of processes. */

import { type AddressInfo, connect, createServer, type Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import {
  createFaultSchedule,
  FaultKind,
} from "../bench/soak/fault_schedule.ts";
import { FaultProxy, ProxyFault } from "../bench/soak/fault_proxy.ts";
import { runSoak } from "../bench/soak/run_soak.ts";
import {
  type CallerRecord,
  checkObservations,
  expectedBody,
  type SoakObservations,
  SoakRequestKind,
} from "../bench/soak/soak_checks.ts";
import {
  areEntriesUpToDate,
  EntryState,
  parseLoggedStatus,
} from "../src/process/logged_status.ts";

/** Seed of the soak runs in CI. */
const SEED = 20_261_204;

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as AddressInfo).port;
}

function createRecord(overrides: Partial<CallerRecord> = {}): CallerRecord {
  const { kind = SoakRequestKind.Write, path = "/order/a" } = overrides;
  return {
    id: "a",
    kind,
    path,
    entry: 0,
    startMs: 10_000,
    endMs: 10_100,
    status: 200,
    body: expectedBody(kind, path),
    ...overrides,
  };
}

function brokenRules(
  observations: Partial<SoakObservations>,
): readonly string[] {
  const complete = {
    records: [],
    runs: [],
    faultWindows: [],
    drains: [],
    ...observations,
  };
  return checkObservations(complete).map(({ rule }) => rule);
}

const RUN = { atMs: 10_050, server: "i-1", id: "a" };

test("a complete response to a request that ran once is no finding", () => {
  expect(brokenRules({ records: [createRecord()], runs: [RUN] })).toEqual([]);
});

test("each broken promise is a finding", () => {
  expect(brokenRules({ runs: [RUN] })).toEqual(["unasked"]);
  expect(brokenRules({ records: [createRecord()], runs: [RUN, RUN] })).toEqual([
    "twice",
  ]);
  expect(brokenRules({ records: [createRecord({ body: "other" })] })).toEqual([
    "mixed",
  ]);
  const refused = createRecord({ status: 503 });
  expect(brokenRules({ records: [refused], runs: [RUN] })).toEqual(["refused"]);
  const closed = createRecord({ status: 0, body: "" });
  expect(brokenRules({ records: [closed], runs: [RUN] })).toEqual(["lost"]);
  expect(brokenRules({ records: [createRecord({ endMs: 15_000 })] })).toEqual([
    "late",
  ]);
  const kind = SoakRequestKind.Stream;
  const completeBody = expectedBody(kind, "/stream/a");
  const repeatedEvent = createRecord({
    kind,
    path: "/stream/a",
    body: completeBody.replace(/id: 2\n[^]*?\n\n/, "$&$&"),
  });
  expect(brokenRules({ records: [repeatedEvent] })).toEqual(["mixed"]);
  const misordered = {
    ...repeatedEvent,
    status: 0,
    body: `${completeBody.slice(0, 50)}id: 9`,
  };
  expect(brokenRules({ records: [misordered] })).toEqual(["order"]);
  const drains = [{ id: "i-1", target: 0, acceptedMs: 8_000 }];
  expect(brokenRules({ records: [createRecord()], runs: [RUN], drains }))
    .toEqual(["drain"]);
});

test("a request aborted by a kill of its entry is no finding", () => {
  const closed = createRecord({ status: 0, body: "", endMs: 20_000 });
  const faultWindows = [
    { kind: FaultKind.EntryKill, target: 0, startMs: 10_020, endMs: 10_900 },
  ];
  expect(brokenRules({ records: [closed], runs: [RUN], faultWindows }))
    .toEqual([]);
});

test("the same seed gives the same faults", () => {
  const options = { seed: 5, durationMs: 20_000, entries: 3, servers: 9 };
  expect(createFaultSchedule(options)).toEqual(createFaultSchedule(options));
  expect(createFaultSchedule(options)).not.toEqual(
    createFaultSchedule({ ...options, seed: 6 }),
  );
});

test("a fault proxy keeps the byte order when a delay starts and ends", async () => {
  const sender = createServer((socket) => {
    let index = 0;
    const timer = setInterval(() => {
      socket.write(`${index++} `);
      if (index < 60) return;
      clearInterval(timer);
      socket.end();
    }, 10);
  });
  const port = await listen(sender);
  const proxy = await FaultProxy.create(port);
  const [proxyHost = "", proxyPort] = proxy.address.split(":");
  let received = "";
  const socket = connect(Number(proxyPort), proxyHost);
  socket.on("data", (bytes) => received += bytes.toString());
  await sleep(150);
  proxy.fault = ProxyFault.Delay;
  await sleep(150);
  proxy.fault = ProxyFault.None;
  await new Promise((resolve) => socket.once("close", resolve));
  proxy.close();
  sender.close();
  const expected = Array.from({ length: 60 }, (_, index) => `${index} `).join(
    "",
  );
  expect(received).toBe(expected);
});

test("a short seeded soak has no finding", async () => {
  const { findings, statuses } = await runSoak({
    seed: SEED,
    durationMs: 5_000,
    entries: 3,
    servers: 6,
    lane: 201,
  });
  expect(findings).toEqual([]);
  expect(statuses["stream 200"]).toBeGreaterThan(0);
  expect(statuses["order 200"]).toBeGreaterThan(0);
});

test("a planned restart of each entry in turn aborts no request, and the logs hold each entry's view", async () => {
  const faults = [0, 1, 2].map((target) => ({
    kind: FaultKind.EntryRestart,
    atMs: target * 2_000,
    forMs: 0,
    target,
    proxy: ProxyFault.None,
  }));
  const { findings, logs } = await runSoak({
    seed: SEED,
    durationMs: 0,
    entries: 3,
    servers: 6,
    lane: 202,
    faults,
  });
  expect(findings).toEqual([]);
  const status = parseLoggedStatus(logs);
  expect(status.unreadable).toBe(0);
  expect(status.entries.map(({ life }) => life)).toEqual(
    Array(3).fill(EntryState.Running),
  );
  expect(areEntriesUpToDate(status)).toBe(true);
  expect(new Set(status.entries.map(({ view }) => view?.listed)).size).toBe(1);
});
