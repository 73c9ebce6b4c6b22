/**
 * Promise 8: an accepted configuration is in force everywhere within 4 s and
 * never reverts to an older one.
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

/** From publish to the last entry, in ms. */
const BOUND_MS = 4_000;
const GAMMA = [{ name: "alpha" }, { name: "beta" }, { name: "gamma" }];
const DELTA = [{ name: "alpha" }, { name: "beta" }, { name: "delta" }];

interface Case {
  readonly name: string;
  readonly entries?: number;
  readonly play: (cluster: LocalCluster, session: Transcript) => Promise<void>;
}

const CASES: readonly Case[] = [
  {
    name: "in force in every entry",
    entries: 6,
    play: async (cluster, session) => {
      await cluster.publish({ customers: GAMMA });
      await inForce(cluster, { revision: 2, session });
      const caller = cluster.complete({
        prompt: "new customer",
        maxTokens: 2,
        customer: "gamma",
        entry: cluster.entry(5),
      });
      session.record(`new customer: ${(await caller.ended).outcome}`);
    },
  },
  {
    name: "two operators at the same moment",
    play: async (cluster, session) => {
      await cluster.platform.control({
        slowWrites: { prefix: "head", skip: 0, count: 2, delayMs: 1_000 },
      });
      const results = await Promise.all([
        cluster.publish({ operator: "eva", customers: GAMMA }),
        cluster.publish({ operator: "pema", customers: DELTA }),
      ]);
      const codes = results.map(({ code }) => code).sort();
      session.record(`exit codes: ${codes.join(", ")}`);
      const loser = results.find(({ code }) => code !== 0);
      session.record(`loser is told:\n${anonymise(loser)}`);
      await inForce(cluster, { revision: 2, session });
    },
  },
  {
    name: "prepared from a revision that is no longer in force",
    play: async (cluster, session) => {
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
      session.record(`exit code: ${stale.code}\n${anonymise(stale)}`);
      await inForce(cluster, { revision: 2, session });
    },
  },
  {
    name: "an entry frozen over two publishes",
    play: async (cluster, session) => {
      cluster.entry(0).freeze();
      await cluster.publish({ customers: GAMMA });
      await cluster.publish({ customers: DELTA });
      await sleep(1_500);
      cluster.entry(0).thaw();
      const withdrawn = cluster.complete({
        prompt: "withdrawn meanwhile",
        maxTokens: 2,
        customer: "gamma",
      });
      session.record(`withdrawn customer: ${(await withdrawn.ended).outcome}`);
      await inForce(cluster, { revision: 3, session });
    },
  },
  {
    name: "answer to the publish lost after the write",
    play: async (cluster, session) => {
      await cluster.platform.control({
        loseAnswers: { prefix: "head", skip: 0, count: 1 },
      });
      const { code } = await cluster.publish({ customers: GAMMA });
      session.record(`exit code: ${code}`);
      await inForce(cluster, { revision: 2, session });
    },
  },
  {
    name: "platform down straight after the switch",
    entries: 3,
    play: async (cluster, session) => {
      cluster.entry(0).freeze();
      await cluster.publish({ customers: GAMMA });
      await adopted(cluster.entry(1), 2);
      await cluster.platform.control({ outage: true });
      cluster.entry(0).thaw();
      await inForce(cluster, { revision: 2, session });
    },
  },
  {
    name: "an entry starts during the outage",
    entries: 2,
    play: async (cluster, session) => {
      await cluster.platform.control({ outage: true });
      await cluster.entry(0).kill();
      const entry = await cluster.startEntry(0);
      await sleep(500);
      const { ready } = await entry.get<{ ready: boolean }>("/readyz");
      session.record(`without a configuration: ready ${ready}`);
      await cluster.platform.control({ outage: false });
      await cluster.publishInstances();
      await inForce(cluster, { revision: 1, session });
    },
  },
  {
    name: "a store that went back to an older state",
    play: async (cluster, session) => {
      const head = "/v1/objects/gypsumridge-head/head";
      const { spec } = await cluster.platform.get<{ spec: unknown }>(head);
      await cluster.publish({ customers: GAMMA });
      await inForce(cluster, { revision: 2, session });
      await cluster.putObject(head, spec);
      await sleep(1_000);
      await inForce(cluster, { revision: 2, session });
    },
  },
  {
    name: "inconsistent sets are refused whole",
    play: async (cluster, session) => {
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
      session.record(`exit code: ${published.code}`);
      session.record(normalise(published.stderr.replace(/\/\S+\//g, "")));
      const withdrawn = await cluster.runCommand([
        "withdraw",
        "rank/urgent",
        "customer/nobody",
        "--operator",
        "eva",
        "--reason",
        "broken",
      ]);
      session.record(`withdraw exit code: ${withdrawn.code}`);
      session.record(withdrawn.stderr.trimEnd());
      await inForce(cluster, { revision: 1, session });
    },
  },
  {
    name: "withdraw, show and audit",
    play: async (cluster, session) => {
      const withdrawn = await cluster.runCommand([
        "withdraw",
        "customer/beta",
        "--operator",
        "eva",
        "--reason",
        "left the trust",
      ]);
      session.record(anonymise(withdrawn));
      await inForce(cluster, { revision: 2, session });
      const shown = await cluster.runCommand(["show"]);
      const file = await cluster.writeFile("shown.ini", shown.stdout);
      const checked = await cluster.runCommand(["check", file]);
      session.record(`what is shown can be published: ${anonymise(checked)}`);
      const audit = await cluster.runCommand(["audit", "--limit", "1"]);
      session.record(anonymise(audit));
    },
  },
];

test.for(CASES)("$name", async ({ name, entries = 2, play }) => {
  const cluster = await LocalCluster.create({ engines: 1, entries });
  try {
    const session = Transcript.create(name);
    await play(cluster, session);
    for (const [index, entry] of cluster.entries.entries()) {
      const revisions = adoptedRevisions(entry);
      const isRising = revisions.every((revision, at) =>
        at === 0 || revision > (revisions[at - 1] ?? 0)
      );
      session.record(`entry ${index} adopted only newer ones: ${isRising}`);
      expect(isRising).toBe(true);
    }
    await session.matchGoldenFile(
      `configuration/${name.replaceAll(/[ ,]+/g, "_")}`,
    );
  } finally {
    await cluster.close();
  }
});

/** Notes whether every entry has a revision within the bound from now. */
async function inForce(
  cluster: LocalCluster,
  { revision, session }: {
    readonly revision: number;
    readonly session: Transcript;
  },
): Promise<void> {
  const startMs = performance.now();
  await Promise.all(cluster.entries.map((entry) => adopted(entry, revision)));
  const isInTime = performance.now() - startMs < BOUND_MS;
  expect(isInTime).toBe(true);
  session.record(`revision ${revision} in every entry within 4 s: ${isInTime}`);
}

async function adopted(entry: Child, revision: number): Promise<void> {
  await waitFor(`revision ${revision}`, async () => {
    const ready = await entry.get<{ revision: number }>("/readyz");
    return ready.revision === revision;
  });
}

function adoptedRevisions(entry: Child): number[] {
  return entry.logLines()
    .filter(({ event }) => event === LOG_EVENTS.revisionAdopted.number)
    .map(({ revision }) => Number(revision));
}

/** What a command printed, without times and whoever won a race. */
function anonymise(result: CommandResult | undefined): string {
  const text = `${result?.stdout}${result?.stderr}`.trimEnd();
  return text
    .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, "<time>")
    .replace(/by (eva|pema)/g, "by <operator>")
    .replace(/customer (gamma|delta)/g, "customer <new>");
}
