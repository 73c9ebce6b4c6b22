/** Tests the steward and the command line with invalid status objects. */

import { afterEach, beforeEach, expect, test } from "vitest";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";

const KIND = "gypsumridge-status";

let cluster: LocalCluster;
let store: HttpObjectStore;

beforeEach(async () => {
  cluster = await LocalCluster.create({ engines: 1, entries: 1 });
  store = HttpObjectStore.create({
    address: cluster.platform.address,
    timeoutMs: 1_000,
  });
});

afterEach(async () => {
  store.close();
  await cluster.close();
});

test("the steward counts the entries and the command lists them despite invalid ones", async () => {
  const entry = cluster.entry();
  const statusOf = async () => {
    const { stdout } = await cluster.runCommand(["status", "--json"]);
    return (stdout === "" ? undefined : JSON.parse(stdout))?.entries;
  };
  await waitFor(
    "the entry has written its status",
    async () => (await statusOf())?.length === 1,
  );
  for (const value of ["not JSON", "null", "{}", '{"servers":[null]}']) {
    const spec = { value, writtenMs: Date.now() };
    await store.create(KIND, { name: `entry/invalid ${value}`, spec });
  }
  expect((await statusOf())?.length).toBe(1);
  const { code } = await cluster.runCommand(["status"]);
  expect(code).toBe(0);
  const steward = await cluster.startSteward("steward-a", [
    "lease_ms = 1000",
    "interval_ms = 100",
  ]);
  await waitFor(
    "the steward has written its summary",
    async () => (await store.read(KIND, "summary")) !== undefined,
  );
  expect(steward.hasExited).toBe(false);
  expect(entry.hasExited).toBe(false);
  const events = steward.logLines().map(({ event }) => event);
  expect(events).not.toContain(LOG_EVENTS.stewardTaskFailed.number);
  const summary = (await store.read(KIND, "summary"))?.spec;
  expect(JSON.stringify(summary)).toContain(
    JSON.stringify('"entriesByRevision":{"1":1}').slice(1, -1),
  );
});
