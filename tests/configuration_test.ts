/**
 * Tests promise 8: a published configuration is in force in every entry within
 * 4 s, and no entry reverts to an older one.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { performance } from "node:perf_hooks";
import { expect, test } from "vitest";
import type { Child } from "../bench/child.ts";
import {
  type CommandResult,
  LocalCluster,
  waitFor,
} from "../bench/local_cluster.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { normalise, Transcript } from "./transcript.ts";

/** Time in which every entry has adopted a new revision, in ms. */
const APPLY_LIMIT_MS = 4_000;
const GAMMA = [{ name: "alpha" }, { name: "beta" }, { name: "gamma" }];
const DELTA = [{ name: "alpha" }, { name: "beta" }, { name: "delta" }];

interface Case {
  readonly name: string;
  readonly entries?: number;
  readonly run: (
    cluster: LocalCluster,
    transcript: Transcript,
  ) => Promise<void>;
}

const CASES: readonly Case[] = [
  {
    name: "in force in every entry",
    entries: 6,
    run: async (cluster, transcript) => {
      await cluster.publish({ customers: GAMMA });
      await expectInForce(cluster, { revision: 2, transcript });
      const caller = cluster.complete({
        prompt: "new customer",
        maxTokens: 2,
        customer: "gamma",
        entry: cluster.entry(5),
      });
      transcript.record(`new customer: ${(await caller.ended).outcome}`);
    },
  },
  {
    name: "two operators at the same moment",
    run: async (cluster, transcript) => {
      await cluster.platform.control({
        slowWrites: { prefix: "head", skip: 0, count: 2, delayMs: 1_000 },
      });
      const results = await Promise.all([
        cluster.publish({ operator: "eva", customers: GAMMA }),
        cluster.publish({ operator: "pema", customers: DELTA }),
      ]);
      const codes = results.map(({ code }) => code).sort();
      transcript.record(`exit codes: ${codes.join(", ")}`);
      const rejected = results.find(({ code }) => code !== 0);
      transcript.record(`loser is told:\n${normaliseOutput(rejected)}`);
      await expectInForce(cluster, { revision: 2, transcript });
    },
  },
  {
    name: "prepared from a revision that is no longer in force",
    run: async (cluster, transcript) => {
      await cluster.publish({ operator: "eva", customers: GAMMA });
      const file = await cluster.writeFile(
        "stale.ini",
        cluster.deploymentText({ customers: DELTA }),
      );
      const stale = await cluster.runCommand([
        "publish",
        file,
        "--operator",
        "pema",
        "--reason",
        "stale",
        "--base",
        "1",
      ]);
      transcript.record(`exit code: ${stale.code}\n${normaliseOutput(stale)}`);
      await expectInForce(cluster, { revision: 2, transcript });
    },
  },
  {
    name: "an entry frozen over two publishes",
    run: async (cluster, transcript) => {
      cluster.entry(0).suspend();
      await cluster.publish({ customers: GAMMA });
      await cluster.publish({ customers: DELTA });
      await sleep(1_500);
      cluster.entry(0).resume();
      const withdrawn = cluster.complete({
        prompt: "customer withdrawn during the freeze",
        maxTokens: 2,
        customer: "gamma",
      });
      transcript.record(
        `withdrawn customer: ${(await withdrawn.ended).outcome}`,
      );
      await expectInForce(cluster, { revision: 3, transcript });
    },
  },
  {
    name: "answer to the publish lost after the write",
    run: async (cluster, transcript) => {
      await cluster.platform.control({
        loseAnswers: { prefix: "head", skip: 0, count: 1 },
      });
      const { code } = await cluster.publish({ customers: GAMMA });
      transcript.record(`exit code: ${code}`);
      await expectInForce(cluster, { revision: 2, transcript });
    },
  },
  {
    name: "platform down straight after the switch",
    entries: 3,
    run: async (cluster, transcript) => {
      cluster.entry(0).suspend();
      await cluster.publish({ customers: GAMMA });
      await waitForRevision(cluster.entry(1), 2);
      await cluster.platform.control({ outage: true });
      cluster.entry(0).resume();
      await expectInForce(cluster, { revision: 2, transcript });
    },
  },
  {
    name: "an entry starts during the outage",
    entries: 2,
    run: async (cluster, transcript) => {
      await cluster.platform.control({ outage: true });
      await cluster.entry(0).kill();
      const entry = await cluster.startEntry(0);
      await sleep(500);
      const { ready } = await entry.get<{ ready: boolean }>("/readyz");
      transcript.record(`without a configuration: ready ${ready}`);
      await cluster.platform.control({ outage: false });
      await cluster.publishInstances();
      await expectInForce(cluster, { revision: 1, transcript });
    },
  },
  {
    name: "a store that went back to an older state",
    run: async (cluster, transcript) => {
      const head = "/v1/objects/gypsumridge-head/head";
      const { spec } = await cluster.platform.get<{ spec: unknown }>(head);
      await cluster.publish({ customers: GAMMA });
      await expectInForce(cluster, { revision: 2, transcript });
      await cluster.putObject(head, spec);
      await sleep(1_000);
      await expectInForce(cluster, { revision: 2, transcript });
    },
  },
  {
    name: "inconsistent sets are refused whole",
    run: async (cluster, transcript) => {
      const file = await cluster.writeFile(
        "broken.ini",
        `${cluster.deploymentText()}
[customer epsilon]
key_sha256 = short
services = nowhere
ranks = urgent

[backend-server engine-9]
address = localhost:80
zone = zone-z
service = reports
slots = 0
speed = 9
`,
      );
      const published = await cluster.runCommand([
        "publish",
        file,
        "--operator",
        "eva",
        "--reason",
        "broken",
      ]);
      transcript.record(`exit code: ${published.code}`);
      transcript.record(normalise(published.stderr.replace(/\/\S+\//g, "")));
      const withdrawn = await cluster.runCommand([
        "withdraw",
        "rank/urgent",
        "customer/nobody",
        "--operator",
        "eva",
        "--reason",
        "broken",
      ]);
      transcript.record(`withdraw exit code: ${withdrawn.code}`);
      transcript.record(withdrawn.stderr.trimEnd());
      await expectInForce(cluster, { revision: 1, transcript });
    },
  },
  {
    name: "withdraw, show and audit",
    run: async (cluster, transcript) => {
      const withdrawn = await cluster.runCommand([
        "withdraw",
        "customer/beta",
        "--operator",
        "eva",
        "--reason",
        "left the trust",
      ]);
      transcript.record(normaliseOutput(withdrawn));
      await expectInForce(cluster, { revision: 2, transcript });
      const shown = await cluster.runCommand(["show"]);
      const file = await cluster.writeFile("shown.ini", shown.stdout);
      const checked = await cluster.runCommand(["check", file]);
      transcript.record(
        `what is shown can be published: ${normaliseOutput(checked)}`,
      );
      const audit = await cluster.runCommand(["audit", "--limit", "1"]);
      transcript.record(normaliseOutput(audit));
    },
  },
];

test.for(CASES)("$name", async ({ name, entries = 2, run }) => {
  const cluster = await LocalCluster.create({ engines: 1, entries });
  try {
    const transcript = Transcript.create(name);
    await run(cluster, transcript);
    for (const [index, entry] of cluster.entries.entries()) {
      const revisions = adoptedRevisions(entry);
      const isIncreasing = revisions.every((revision, at) =>
        at === 0 || revision > (revisions[at - 1] ?? 0)
      );
      transcript.record(
        `entry ${index} adopted only newer ones: ${isIncreasing}`,
      );
      expect(isIncreasing).toBe(true);
    }
    await transcript.matchGoldenFile(
      `configuration/${name.replaceAll(/[ ,]+/g, "_")}`,
    );
  } finally {
    await cluster.close();
  }
});

/** Checks that every entry adopts a revision within the limit from now. */
async function expectInForce(
  cluster: LocalCluster,
  { revision, transcript }: {
    readonly revision: number;
    readonly transcript: Transcript;
  },
): Promise<void> {
  const startMs = performance.now();
  await Promise.all(
    cluster.entries.map((entry) => waitForRevision(entry, revision)),
  );
  const isInTime = performance.now() - startMs < APPLY_LIMIT_MS;
  expect(isInTime).toBe(true);
  transcript.record(
    `revision ${revision} in every entry within 4 s: ${isInTime}`,
  );
}

async function waitForRevision(entry: Child, revision: number): Promise<void> {
  await waitFor(`the entry adopts revision ${revision}`, async () => {
    const ready = await entry.get<{ revision: number }>("/readyz");
    return ready.revision === revision;
  });
}

function adoptedRevisions(entry: Child): number[] {
  return entry.logLines()
    .filter(({ event }) => event === LOG_EVENTS.revisionAdopted.number)
    .map(({ revision }) => Number(revision));
}

/** Output of a command; replaces times and what depends on who wins a race. */
function normaliseOutput(result: CommandResult | undefined): string {
  const text = `${result?.stdout}${result?.stderr}`.trimEnd();
  return text
    .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, "<time>")
    .replace(/by (eva|pema)/g, "by <operator>")
    .replace(/customer (gamma|delta)/g, "customer <new>");
}
