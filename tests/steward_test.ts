/** The steward's lease and expiry under failure, with real processes. */

import { expect, test } from "vitest";
import type { Child } from "../bench/child.ts";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { Transcript } from "./transcript.ts";

const QUICK = [
  "lease_ms = 1000",
  "interval_ms = 100",
  "action_keep_ms = 1500",
  "chunk_keep_ms = 1500",
  "revisions_kept = 1",
];

test("one steward at a time, through kill and freeze", async () => {
  const cluster = await LocalCluster.create({ engines: 1, entries: 1 });
  try {
    const session = Transcript.create("one steward at a time");
    const first = await cluster.startSteward("steward-a", QUICK);
    await acquired(first, 1);
    const second = await cluster.startSteward("steward-b", QUICK);
    first.freeze();
    await acquired(second, 1);
    session.record("a frozen, b has taken over");
    const { version } = await lease(cluster);
    first.thaw();
    await waitFor(
      "a knows that it lost the lease",
      () => events(first).includes(LOG_EVENTS.leaseLost.number),
    );
    session.record("a thawed, knows that it lost the lease");
    await waitFor(
      "the lease is renewed",
      async () => (await lease(cluster)).version > version,
    );
    const { holder } = await lease(cluster);
    session.record(`renewed since by ${holder}`);
    await second.kill();
    await acquired(first, 2);
    session.record("b killed, a has taken over again");
    await session.matchGoldenFile("steward/lease");
  } finally {
    await cluster.close();
  }
});

test("old records go, what is in use stays", async () => {
  const cluster = await LocalCluster.create({
    engines: 1,
    services: 1,
    entries: 1,
  });
  try {
    const session = Transcript.create("expiry");
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
    const before = await names(cluster, "chunk/");
    await cluster.startSteward("steward-a", QUICK);
    await waitFor(
      "the record of the action is gone",
      async () => (await names(cluster, "action/")) === 0,
    );
    await waitFor(
      "unused chunks are gone",
      async () => (await names(cluster, "chunk/")) < before,
    );
    session.record("old action record and unused chunks are gone");
    const { code, stdout } = await cluster.runCommand(["show"]);
    session.record(
      `show: exit code ${code}, has its customer: ${
        stdout.includes("customer epsilon")
      }`,
    );
    const entry = await cluster.startEntry(1);
    await waitFor(
      "a new entry reads the revision",
      async () => (await cluster.revisionOf(entry)) === 4,
    );
    session.record("a new entry reads the revision in force");
    expect(code).toBe(0);
    await session.matchGoldenFile("steward/expiry");
  } finally {
    await cluster.close();
  }
});

async function acquired(steward: Child, times: number): Promise<void> {
  await waitFor(
    "the lease is acquired",
    () =>
      events(steward).filter((event) =>
        event === LOG_EVENTS.leaseAcquired.number
      )
        .length === times,
  );
}

function events(steward: Child): readonly number[] {
  return steward.logLines().map(({ event }) => event);
}

async function lease(
  cluster: LocalCluster,
): Promise<{ readonly holder: string; readonly version: number }> {
  const { metadata, spec } = await cluster.platform.get<{
    readonly metadata: { readonly revision: number };
    readonly spec: { readonly value: string };
  }>("/v1/objects/gypsumridge-lease/steward");
  return { ...JSON.parse(spec.value), version: metadata.revision };
}

async function names(cluster: LocalCluster, prefix: string): Promise<number> {
  const [kind = "", start = ""] = prefix.split("/");
  const { items } = await cluster.platform.get<{
    readonly items: readonly { readonly metadata: { readonly name: string } }[];
  }>(`/v1/objects/gypsumridge-${kind}`);
  return items.filter(({ metadata }) => metadata.name.startsWith(start)).length;
}
