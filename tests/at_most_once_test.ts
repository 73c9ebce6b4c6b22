/**
 * Promise 5: an action that may not be repeated runs at most once. Each case
 * fails a part at one moment of the action, then repeats it.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { Transcript } from "./transcript.ts";

const KEY = "grant-payment-17";
const RECORD = "action/";

type Step = (cluster: LocalCluster, session: Transcript) => Promise<void>;

interface Case {
  readonly name: string;
  readonly play: Step;
}

const CASES: readonly Case[] = [
  {
    name: "repeat after completion",
    play: async (cluster, session) => {
      session.record(`first: ${await pay(cluster, 0)}`);
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "two entries at the same moment",
    play: async (cluster, session) => {
      await cluster.service().control({ delayMs: 300 });
      const both = await Promise.all([pay(cluster, 0), pay(cluster, 1)]);
      for (const line of both.sort()) session.record(line);
    },
  },
  {
    name: "entry killed before its claim takes effect",
    play: async (cluster, session) => {
      await slowWrite(cluster, { skip: 0, delayMs: 600 });
      const first = pay(cluster, 0);
      await sleep(200);
      await cluster.entry(0).kill();
      session.record(`first: ${await first}`);
      await sleep(600);
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "entry killed between claim and send",
    play: async (cluster, session) => {
      await holdBeforeSend(cluster);
      const first = pay(cluster, 0);
      await claimed(cluster);
      await cluster.entry(0).kill();
      session.record(`first: ${await first}`);
      await cluster.service().control({ leaving: false });
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "entry killed after the send",
    play: async (cluster, session) => {
      await cluster.service().control({ delayMs: 1_000 });
      const first = pay(cluster, 0);
      await ran(cluster);
      await cluster.entry(0).kill();
      session.record(`first: ${await first}`);
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "entry killed after the answer, before its outcome is stored",
    play: async (cluster, session) => {
      await slowWrite(cluster, { skip: 1, delayMs: 800 });
      const first = pay(cluster, 0);
      await ran(cluster);
      await sleep(200);
      await cluster.entry(0).kill();
      session.record(`first: ${await first}`);
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "entry frozen between claim and send, thawed after a repeat",
    play: async (cluster, session) => {
      await holdBeforeSend(cluster);
      const first = pay(cluster, 0);
      await claimed(cluster);
      cluster.entry(0).freeze();
      await cluster.service().control({ leaving: false });
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
      cluster.entry(0).thaw();
      session.record(`first, thawed: ${await first}`);
      session.record(`repeat again: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "outcome seen after a repeat was told that it is unknown",
    play: async (cluster, session) => {
      await cluster.service().control({ delayMs: 1_500 });
      const first = pay(cluster, 0);
      await ran(cluster);
      cluster.entry(0).freeze();
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
      cluster.entry(0).thaw();
      session.record(`first, thawed: ${await first}`);
      session.record(`repeat again: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "service killed during the call",
    play: async (cluster, session) => {
      await cluster.service().control({ delayMs: 1_000 });
      const first = pay(cluster, 0);
      await ran(cluster);
      await cluster.service().kill();
      session.record(`first: ${await first}`);
      await cluster.restartService(0);
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "platform down",
    play: async (cluster, session) => {
      await cluster.platform.control({ outage: true });
      session.record(`during the outage: ${await pay(cluster, 0)}`);
      await cluster.platform.control({ outage: false });
      session.record(`after the outage: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "platform down after completion",
    play: async (cluster, session) => {
      session.record(`first: ${await pay(cluster, 0)}`);
      await cluster.platform.control({ outage: true });
      session.record(`repeat in the outage: ${await pay(cluster, 0)}`);
      await cluster.platform.control({ outage: false });
      session.record(`repeat after it: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "platform slow",
    play: async (cluster, session) => {
      await cluster.platform.control({ delayMs: 400 });
      session.record(`slow: ${await pay(cluster, 0)}`);
      await cluster.platform.control({ delayMs: 1_500 });
      const refused = await pay(cluster, 0, "second-key");
      session.record(`slower than the time limit: ${refused}`);
      await cluster.platform.control({ delayMs: 0 });
      session.record(`repeat: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "answer to the claim lost after the write",
    play: async (cluster, session) => {
      await loseAnswer(cluster, { skip: 0 });
      session.record(`first: ${await pay(cluster, 0)}`);
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "answer to the outcome lost after the write",
    play: async (cluster, session) => {
      await loseAnswer(cluster, { skip: 1 });
      session.record(`first: ${await pay(cluster, 0)}`);
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "claim takes effect after the entry gave it up",
    play: async (cluster, session) => {
      await slowWrite(cluster, { skip: 0, delayMs: 1_800 });
      session.record(`first: ${await pay(cluster, 0)}`);
      await waitFor(
        "the late claim is retracted",
        () =>
          cluster.entry(0).logLines().some(({ event }) =>
            event === LOG_EVENTS.actionClaimReleased.number
          ),
      );
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "answer too large to keep",
    play: async (cluster, session) => {
      await cluster.service().control({ paddingBytes: 600_000 });
      session.record(`first: ${await pay(cluster, 0)}`);
      session.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
];

test.for(CASES)("$name", async ({ name, play }) => {
  const cluster = await LocalCluster.create({
    engines: 0,
    services: 1,
    entries: 2,
  });
  try {
    const session = Transcript.create(name);
    await play(cluster, session);
    const runs = cluster.announcedRuns().filter((key) => key === KEY).length;
    session.record(`runs: ${runs}`);
    expect(runs).toBeLessThanOrEqual(1);
    await session.matchGoldenFile(
      `at_most_once/${name.replaceAll(/[ ,]+/g, "_")}`,
    );
  } finally {
    await cluster.close();
  }
});

/** Pays once through an entry; resolves with what the caller saw. */
async function pay(
  cluster: LocalCluster,
  entry: number,
  key = KEY,
): Promise<string> {
  try {
    const answer = await cluster.callService({
      entry: cluster.entry(entry),
      method: "POST",
      path: "/payments",
      body: JSON.stringify({ key }),
      idempotencyKey: key,
    });
    const body = JSON.parse(answer.body.toString());
    if (body.error !== undefined) return `${answer.status} ${body.error.type}`;
    const isReplayed = answer.headers["x-gypsumridge-replayed"] === "true";
    return `${answer.status} run ${body.run}${isReplayed ? ", replayed" : ""}`;
  } catch {
    return "connection lost";
  }
}

/** Until it is undone, a claimed action finds no server to be sent to. */
async function holdBeforeSend(cluster: LocalCluster): Promise<void> {
  await cluster.service().control({ leaving: true });
  for (const entry of cluster.entries) {
    await waitFor(
      "entry sees that the service leaves",
      () =>
        entry.logLines().some(({ event }) =>
          event === LOG_EVENTS.serverDraining.number
        ),
    );
  }
}

async function claimed(cluster: LocalCluster): Promise<void> {
  await waitFor("the action is claimed", async () => {
    const { items } = await cluster.platform.get<{
      readonly items: readonly unknown[];
    }>("/v1/objects/gypsumridge-action");
    return items.length > 0;
  });
}

async function ran(cluster: LocalCluster): Promise<void> {
  await waitFor(
    "the action runs",
    () => cluster.service().announcedRuns().length > 0,
  );
}

function slowWrite(
  cluster: LocalCluster,
  failure: { readonly skip: number; readonly delayMs: number },
): Promise<void> {
  const slowWrites = { prefix: RECORD, count: 1, ...failure };
  return cluster.platform.control({ slowWrites });
}

function loseAnswer(
  cluster: LocalCluster,
  failure: { readonly skip: number },
): Promise<void> {
  const loseAnswers = { prefix: RECORD, count: 1, ...failure };
  return cluster.platform.control({ loseAnswers });
}
