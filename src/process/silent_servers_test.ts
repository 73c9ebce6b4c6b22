/** Tests how long a server that sends nothing for a while is avoided. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { createRelay, createServer } from "../../tests/relay/scripted.ts";
import type { ServerReport } from "../connection/backend_report.ts";
import { ServerFailure } from "./server_ejection.ts";
import { classifySilence, SilenceVerdict } from "./silent_servers.ts";

const SERVER = createServer("a1");
const REPORT: ServerReport = {
  startedMs: 1,
  waiting: 0,
  prefilling: 0,
  runs: new Map(),
};

/** Starts to watch a server that responds after `silenceMs`. */
function watchServer(silenceMs: number, report = REPORT) {
  const endMs = performance.now() + silenceMs;
  const relay = createRelay([SERVER], {
    fetchReport: () =>
      performance.now() < endMs
        ? Promise.reject(new Error("no response"))
        : Promise.resolve(report),
  });
  relay.context.silentServers.watch(SERVER);
  const isUsable = () => relay.servers.isUsable(SERVER.name);
  const reportedServers = () => relay.createDigest().orders?.dead;
  return { relay, isUsable, reportedServers };
}

test.for([
  { checks: 1, verdict: SilenceVerdict.Silent },
  { checks: 2, verdict: SilenceVerdict.Silent },
  { checks: 3, verdict: SilenceVerdict.Unresponsive },
  { checks: 4, response: { report: REPORT }, verdict: SilenceVerdict.Healthy },
  {
    checks: 1,
    response: { report: undefined },
    verdict: SilenceVerdict.Healthy,
  },
  {
    checks: 1,
    response: { report: { ...REPORT, startedMs: 2 } },
    verdict: SilenceVerdict.Replaced,
  },
])("check $checks of a silence means $verdict", ({ verdict, ...check }) => {
  expect(classifySilence({ server: SERVER, ...check })).toBe(verdict);
});

test("a server that is silent for a second is avoided meanwhile and not reported to peers", async () => {
  const { isUsable, reportedServers } = watchServer(1_000);
  for (let polls = 0; polls < 9; polls++) {
    expect(isUsable()).toBe(false);
    expect(reportedServers()).toEqual([]);
    await sleep(100);
  }
  await expect.poll(isUsable, { timeout: 600 }).toBe(true);
  expect(reportedServers()).toEqual([]);
});

test("a server that stays silent is reported to peers", async () => {
  const { isUsable, reportedServers } = watchServer(10_000);
  await expect.poll(reportedServers, { timeout: 2_000 }).toEqual([SERVER.name]);
  expect(isUsable()).toBe(false);
});

test("a silent server is used again as soon as it sends data", () => {
  const { relay, isUsable } = watchServer(10_000);
  relay.servers.recordActivity(SERVER.name);
  expect(isUsable()).toBe(true);
});

test("data on an old connection does not readmit a server that refuses new ones", () => {
  const { relay, isUsable } = watchServer(10_000);
  relay.servers.eject(SERVER.name, ServerFailure.Unreachable);
  relay.servers.recordActivity(SERVER.name);
  expect(isUsable()).toBe(false);
});

test("a silent server that has restarted is not used until it is listed again", async () => {
  const { isUsable } = watchServer(0, { ...REPORT, startedMs: 2 });
  await sleep(1_200);
  expect(isUsable()).toBe(false);
});
