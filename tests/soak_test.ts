/** The soak: what its checks find, and a short seeded run of real processes. */

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

/** Seed of the run in CI. */
const SEED = 20_261_204;

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as AddressInfo).port;
}

function record(change: Partial<CallerRecord> = {}): CallerRecord {
  const { kind: sort = SoakRequestKind.Write, path = "/order/a" } = change;
  return {
    id: "a",
    kind: sort,
    path,
    entry: 0,
    startMs: 10_000,
    endMs: 10_100,
    status: 200,
    body: expectedBody(sort, path),
    ...change,
  };
}

function rulesOf(evidence: Partial<SoakObservations>): readonly string[] {
  const whole = {
    records: [],
    runs: [],
    faultWindows: [],
    drains: [],
    ...evidence,
  };
  return checkObservations(whole).map(({ rule }) => rule);
}

const run = { atMs: 10_050, server: "i-1", id: "a" };

test("a whole answer that ran once is no finding", () => {
  expect(rulesOf({ records: [record()], runs: [run] })).toEqual([]);
});

test("each broken promise is found", () => {
  expect(rulesOf({ runs: [run] })).toEqual(["unasked"]);
  expect(rulesOf({ records: [record()], runs: [run, run] })).toEqual(["twice"]);
  expect(rulesOf({ records: [record({ body: "other" })] })).toEqual(["mixed"]);
  const refused = record({ status: 503 });
  expect(rulesOf({ records: [refused], runs: [run] })).toEqual(["refused"]);
  const closed = record({ status: 0, body: "" });
  expect(rulesOf({ records: [closed], runs: [run] })).toEqual(["lost"]);
  expect(rulesOf({ records: [record({ endMs: 15_000 })] })).toEqual(["late"]);
  const sort = SoakRequestKind.Stream;
  const whole = expectedBody(sort, "/stream/a");
  const doubled = record({
    kind: sort,
    path: "/stream/a",
    body: whole.replace(/id: 2\n[^]*?\n\n/, "$&$&"),
  });
  expect(rulesOf({ records: [doubled] })).toEqual(["mixed"]);
  const joined = { ...doubled, status: 0, body: `${whole.slice(0, 50)}id: 9` };
  expect(rulesOf({ records: [joined] })).toEqual(["order"]);
  const leavings = [{ id: "i-1", target: 0, acceptedMs: 8_000 }];
  expect(rulesOf({ records: [record()], runs: [run], drains: leavings }))
    .toEqual(["drain"]);
});

test("what a kill of the entry breaks off is no finding", () => {
  const closed = record({ status: 0, body: "", endMs: 20_000 });
  const spans = [
    { kind: FaultKind.EntryKill, target: 0, startMs: 10_020, endMs: 10_900 },
  ];
  expect(rulesOf({ records: [closed], runs: [run], faultWindows: spans }))
    .toEqual([]);
});

test("a seed always gives the same faults", () => {
  const options = { seed: 5, durationMs: 20_000, entries: 3, servers: 9 };
  expect(createFaultSchedule(options)).toEqual(createFaultSchedule(options));
  expect(createFaultSchedule(options)).not.toEqual(
    createFaultSchedule({ ...options, seed: 6 }),
  );
});

test("a proxy keeps bytes in their order when a delay begins and ends", async () => {
  const sender = createServer((socket) => {
    let at = 0;
    const timer = setInterval(() => {
      socket.write(`${at++} `);
      if (at < 60) return;
      clearInterval(timer);
      socket.end();
    }, 10);
  });
  const port = await listen(sender);
  const proxy = await FaultProxy.create(port);
  const [host = "", proxyPort] = proxy.address.split(":");
  let received = "";
  const socket = connect(Number(proxyPort), host);
  socket.on("data", (bytes) => received += bytes.toString());
  await sleep(150);
  proxy.fault = ProxyFault.Delay;
  await sleep(150);
  proxy.fault = ProxyFault.None;
  await new Promise((resolve) => socket.once("close", resolve));
  proxy.close();
  sender.close();
  const expected = Array.from({ length: 60 }, (_, at) => `${at} `).join("");
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

test("a planned stop of each entry in turn cuts no request off, and the logs say what each knows", async () => {
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
