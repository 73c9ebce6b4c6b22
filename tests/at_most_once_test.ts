/**
 * Tests promise 5: a non-idempotent call runs at most once. Each case fails one
 * component at one step of the call, then repeats it with the same key.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { Transcript } from "./transcript.ts";

const IDEMPOTENCY_KEY = "grant-payment-17";
const ACTION_PREFIX = "action/";

type Scenario = (
  cluster: LocalCluster,
  transcript: Transcript,
) => Promise<void>;

interface Case {
  readonly name: string;
  readonly run: Scenario;
}

const CASES: readonly Case[] = [
  {
    name: "repeat after completion",
    run: async (cluster, transcript) => {
      transcript.record(`first: ${await pay(cluster, 0)}`);
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "two entries at the same moment",
    run: async (cluster, transcript) => {
      await cluster.service().control({ delayMs: 300 });
      const outcomes = await Promise.all([pay(cluster, 0), pay(cluster, 1)]);
      for (const line of outcomes.sort()) transcript.record(line);
    },
  },
  {
    name: "entry killed before its claim takes effect",
    run: async (cluster, transcript) => {
      await slowWrite(cluster, { skip: 0, delayMs: 600 });
      const first = pay(cluster, 0);
      await sleep(200);
      await cluster.entry(0).kill();
      transcript.record(`first: ${await first}`);
      await sleep(600);
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "entry killed between claim and send",
    run: async (cluster, transcript) => {
      await blockDispatch(cluster);
      const first = pay(cluster, 0);
      await waitForClaim(cluster);
      await cluster.entry(0).kill();
      transcript.record(`first: ${await first}`);
      await cluster.service().control({ leaving: false });
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "entry killed after the send",
    run: async (cluster, transcript) => {
      await cluster.service().control({ delayMs: 1_000 });
      const first = pay(cluster, 0);
      await waitForRun(cluster);
      await cluster.entry(0).kill();
      transcript.record(`first: ${await first}`);
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "entry killed after the answer, before its outcome is stored",
    run: async (cluster, transcript) => {
      await slowWrite(cluster, { skip: 1, delayMs: 800 });
      const first = pay(cluster, 0);
      await waitForRun(cluster);
      await sleep(200);
      await cluster.entry(0).kill();
      transcript.record(`first: ${await first}`);
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "entry frozen between claim and send, thawed after a repeat",
    run: async (cluster, transcript) => {
      await blockDispatch(cluster);
      const first = pay(cluster, 0);
      await waitForClaim(cluster);
      cluster.entry(0).suspend();
      await cluster.service().control({ leaving: false });
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
      cluster.entry(0).resume();
      transcript.record(`first, thawed: ${await first}`);
      transcript.record(`repeat again: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "outcome seen after a repeat was told that it is unknown",
    run: async (cluster, transcript) => {
      await cluster.service().control({ delayMs: 1_500 });
      const first = pay(cluster, 0);
      await waitForRun(cluster);
      cluster.entry(0).suspend();
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
      cluster.entry(0).resume();
      transcript.record(`first, thawed: ${await first}`);
      transcript.record(`repeat again: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "service killed during the call",
    run: async (cluster, transcript) => {
      await cluster.service().control({ delayMs: 1_000 });
      const first = pay(cluster, 0);
      await waitForRun(cluster);
      await cluster.service().kill();
      transcript.record(`first: ${await first}`);
      await cluster.restartService(0);
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "platform down",
    run: async (cluster, transcript) => {
      await cluster.platform.control({ outage: true });
      transcript.record(`during the outage: ${await pay(cluster, 0)}`);
      await cluster.platform.control({ outage: false });
      transcript.record(`after the outage: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "platform down after completion",
    run: async (cluster, transcript) => {
      transcript.record(`first: ${await pay(cluster, 0)}`);
      await cluster.platform.control({ outage: true });
      transcript.record(`repeat in the outage: ${await pay(cluster, 0)}`);
      await cluster.platform.control({ outage: false });
      transcript.record(`repeat after it: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "platform slow",
    run: async (cluster, transcript) => {
      await cluster.platform.control({ delayMs: 400 });
      transcript.record(`slow: ${await pay(cluster, 0)}`);
      await cluster.platform.control({ delayMs: 1_500 });
      const refused = await pay(cluster, 0, "second-key");
      transcript.record(`slower than the time limit: ${refused}`);
      await cluster.platform.control({ delayMs: 0 });
      transcript.record(`repeat: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "answer to the claim lost after the write",
    run: async (cluster, transcript) => {
      await dropResponse(cluster, { skip: 0 });
      transcript.record(`first: ${await pay(cluster, 0)}`);
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "answer to the outcome lost after the write",
    run: async (cluster, transcript) => {
      await dropResponse(cluster, { skip: 1 });
      transcript.record(`first: ${await pay(cluster, 0)}`);
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "claim takes effect after the entry gave it up",
    run: async (cluster, transcript) => {
      await slowWrite(cluster, { skip: 0, delayMs: 1_800 });
      transcript.record(`first: ${await pay(cluster, 0)}`);
      await waitFor(
        "the late claim is released",
        () =>
          cluster.entry(0).logLines().some(({ event }) =>
            event === LOG_EVENTS.actionClaimReleased.number
          ),
      );
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
  {
    name: "answer too large to keep",
    run: async (cluster, transcript) => {
      await cluster.service().control({ paddingBytes: 600_000 });
      transcript.record(`first: ${await pay(cluster, 0)}`);
      transcript.record(`repeat elsewhere: ${await pay(cluster, 1)}`);
    },
  },
];

test.for(CASES)("$name", async ({ name, run }) => {
  const cluster = await LocalCluster.create({
    engines: 0,
    services: 1,
    entries: 2,
  });
  try {
    const transcript = Transcript.create(name);
    await run(cluster, transcript);
    const runs = cluster.announcedRuns().filter((key) =>
      key === IDEMPOTENCY_KEY
    ).length;
    transcript.record(`runs: ${runs}`);
    expect(runs).toBeLessThanOrEqual(1);
    await transcript.matchGoldenFile(
      `at_most_once/${name.replaceAll(/[ ,]+/g, "_")}`,
    );
  } finally {
    await cluster.close();
  }
});

/** Sends the payment through an entry; resolves with the caller's view. */
async function pay(
  cluster: LocalCluster,
  entry: number,
  key = IDEMPOTENCY_KEY,
): Promise<string> {
  try {
    const response = await cluster.callService({
      entry: cluster.entry(entry),
      method: "POST",
      path: "/payments",
      body: JSON.stringify({ key }),
      idempotencyKey: key,
    });
    const body = JSON.parse(response.body.toString());
    if (body.error !== undefined) {
      return `${response.status} ${body.error.type}`;
    }
    const isReplayed = response.headers["x-gypsumridge-replayed"] === "true";
    return `${response.status} run ${body.run}${
      isReplayed ? ", replayed" : ""
    }`;
  } catch {
    return "connection lost";
  }
}

/** Drains the service, so that a claimed action has no server to run on. */
async function blockDispatch(cluster: LocalCluster): Promise<void> {
  await cluster.service().control({ leaving: true });
  for (const entry of cluster.entries) {
    await waitFor(
      "the entry lists the service as draining",
      () =>
        entry.logLines().some(({ event }) =>
          event === LOG_EVENTS.serverDraining.number
        ),
    );
  }
}

async function waitForClaim(cluster: LocalCluster): Promise<void> {
  await waitFor("the action is claimed", async () => {
    const { items } = await cluster.platform.get<{
      readonly items: readonly unknown[];
    }>("/v1/objects/gypsumridge-action");
    return items.length > 0;
  });
}

async function waitForRun(cluster: LocalCluster): Promise<void> {
  await waitFor(
    "the action runs",
    () => cluster.service().announcedRuns().length > 0,
  );
}

/** Delays one write of an action record, after `skip` others. */
function slowWrite(
  cluster: LocalCluster,
  options: { readonly skip: number; readonly delayMs: number },
): Promise<void> {
  const slowWrites = { prefix: ACTION_PREFIX, count: 1, ...options };
  return cluster.platform.control({ slowWrites });
}

/** Drops the response to one write of an action record, after `skip` others. */
function dropResponse(
  cluster: LocalCluster,
  options: { readonly skip: number },
): Promise<void> {
  const loseAnswers = { prefix: ACTION_PREFIX, count: 1, ...options };
  return cluster.platform.control({ loseAnswers });
}
