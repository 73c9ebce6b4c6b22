/** Tests an entry process while another writer replaces the head object. */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";

const KIND = "gypsumridge-head";
const NAME = "head";

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

test.for([
  ["no JSON", "not JSON"],
  ["null", "null"],
  ["without fields", "{}"],
  ["at a revision too large", '{"revision":1e308,"manifest":"x"}'],
  [
    "whose manifest nobody holds",
    JSON.stringify({ revision: 5, manifest: "0".repeat(64) }),
  ],
])("an entry follows the next head after one that is %s", async ([, value]) => {
  const head = await store.read(KIND, NAME);
  const spec = { value, writtenMs: Date.now() };
  await store.replace(KIND, { name: NAME, spec });
  await sleep(500);
  await store.replace(KIND, { name: NAME, spec: head?.spec });
  const { code } = await cluster.publish({ customers: [{ name: "gamma" }] });
  expect(code).toBe(0);
  const entry = cluster.entry();
  await expect.poll(
    () =>
      entry.hasExited ||
      entry.logLines().some(({ event, revision }) =>
        event === LOG_EVENTS.revisionAdopted.number && revision === 2
      ),
    { timeout: 8_000 },
  ).toBe(true);
  expect(entry.hasExited).toBe(false);
});
