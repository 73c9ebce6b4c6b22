/** Tests the steward's lease and its expiry of objects with real processes. */

import { expect, test } from "vitest";
import type { Child } from "../bench/child.ts";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import {
  KeyValueStore,
  type StoredValue,
} from "../src/connection/key_value_store.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { SUMMARY_NAME } from "../src/version/object_names.ts";
import { Transcript } from "./transcript.ts";

const FAST_SETTINGS = [
  "lease_ms = 1000",
  "interval_ms = 100",
  "action_keep_ms = 1500",
  "chunk_keep_ms = 1500",
  "revisions_kept = 1",
];

test("only one steward holds the lease when stewards are killed or frozen", async () => {
  const cluster = await LocalCluster.create({ engines: 1, entries: 1 });
  try {
    const transcript = Transcript.create("one steward at a time");
    const first = await cluster.startSteward("steward-a", FAST_SETTINGS);
    await waitForLease(first, 1);
    const second = await cluster.startSteward("steward-b", FAST_SETTINGS);
    first.suspend();
    await waitForLease(second, 1);
    transcript.record("steward-a frozen, steward-b has taken over");
    const { version } = await readLease(cluster);
    first.resume();
    await waitFor(
      "steward-a logs that it lost the lease",
      () => loggedEvents(first).includes(LOG_EVENTS.leaseLost.number),
    );
    transcript.record("steward-a thawed, logs that it lost the lease");
    await waitFor(
      "the lease is renewed",
      async () => (await readLease(cluster)).version > version,
    );
    const { holder } = await readLease(cluster);
    transcript.record(`renewed since by ${holder}`);
    await second.kill();
    await waitForLease(first, 2);
    transcript.record("steward-b killed, steward-a has taken over again");
    await transcript.matchGoldenFile("steward/lease");
  } finally {
    await cluster.close();
  }
});

test("expired records are deleted, objects in use are kept", async () => {
  const cluster = await LocalCluster.create({
    engines: 1,
    services: 1,
    entries: 1,
  });
  try {
    const transcript = Transcript.create("expiry");
    await cluster.callService({
      entry: cluster.entry(),
      method: "POST",
      path: "/bookings",
      body: JSON.stringify({ key: "old" }),
      idempotencyKey: "old",
    });
    for (const name of ["gamma", "delta", "epsilon"]) {
      await cluster.publish({ customers: [{ name: "alpha" }, { name }] });
    }
    const chunksBefore = await countObjects(cluster, "chunk/");
    await cluster.startSteward("steward-a", FAST_SETTINGS);
    await waitFor(
      "the action record is deleted",
      async () => (await countObjects(cluster, "action/")) === 0,
    );
    await waitFor(
      "unused chunks are deleted",
      async () => (await countObjects(cluster, "chunk/")) < chunksBefore,
    );
    transcript.record("old action record and unused chunks are gone");
    const { code, stdout } = await cluster.runCommand(["show"]);
    transcript.record(
      `show: exit code ${code}, has its customer: ${
        stdout.includes("customer epsilon")
      }`,
    );
    const entry = await cluster.startEntry(1);
    await waitFor(
      "a new entry adopts the revision",
      async () => (await cluster.revisionOf(entry)) === 4,
    );
    transcript.record("a new entry reads the revision in force");
    expect(code).toBe(0);
    await transcript.matchGoldenFile("steward/expiry");
  } finally {
    await cluster.close();
  }
});

test("a summary that was removed, or written by a former steward, is written again", async () => {
  const cluster = await LocalCluster.create({ engines: 1, entries: 1 });
  const { address } = cluster.platform;
  const store = HttpObjectStore.create({ address, timeoutMs: 1_000 });
  const platform = KeyValueStore.create({
    objects: store,
    listInstances: () => Promise.resolve([]),
  });
  try {
    await cluster.startSteward("steward-a", FAST_SETTINGS);
    const isWritten = async () => {
      const summary = await platform.read(SUMMARY_NAME);
      return summary?.value.includes("entriesByRevision") ?? false;
    };
    await waitFor("the summary is written", isWritten);
    await platform.write(SUMMARY_NAME, "former");
    await waitFor("a former summary is replaced", isWritten);
    const { version } = await platform.read(SUMMARY_NAME) as StoredValue;
    await platform.remove(SUMMARY_NAME, version);
    await waitFor("a removed summary is written", isWritten);
  } finally {
    platform.close();
    await cluster.close();
  }
});

async function waitForLease(steward: Child, count: number): Promise<void> {
  await waitFor(
    "the lease is acquired",
    () =>
      loggedEvents(steward).filter((event) =>
        event === LOG_EVENTS.leaseAcquired.number
      )
        .length === count,
  );
}

function loggedEvents(steward: Child): readonly number[] {
  return steward.logLines().map(({ event }) => event);
}

async function readLease(
  cluster: LocalCluster,
): Promise<{ readonly holder: string; readonly version: number }> {
  const { metadata, spec } = await cluster.platform.get<{
    readonly metadata: { readonly revision: number };
    readonly spec: { readonly value: string };
  }>("/v1/objects/gypsumridge-lease/steward");
  return { ...JSON.parse(spec.value), version: metadata.revision };
}

async function countObjects(
  cluster: LocalCluster,
  prefix: string,
): Promise<number> {
  const [kind = "", namePrefix = ""] = prefix.split("/");
  const { items } = await cluster.platform.get<{
    readonly items: readonly { readonly metadata: { readonly name: string } }[];
  }>(`/v1/objects/gypsumridge-${kind}`);
  return items.filter(({ metadata }) => metadata.name.startsWith(namePrefix))
    .length;
}
