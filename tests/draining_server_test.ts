/**
 * Tests promise 6: a draining backend server receives no new requests after a
 * few seconds. Under a steady load the engines count the requests that arrive,
 * including those that they reject.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { Transcript } from "./transcript.ts";

/** Time after which a draining server may get no new requests, in ms. */
const DRAIN_LIMIT_MS = 3_000;
/** How long arrivals are counted after that, in ms. */
const OBSERVATION_MS = 1_500;
const LOAD_INTERVAL_MS = 20;

interface Case {
  readonly name: string;
  /** Starts to drain engine 0. */
  readonly drain: (cluster: LocalCluster) => Promise<void>;
  /** Called once `DRAIN_LIMIT_MS` has passed. */
  readonly afterLimit?: (cluster: LocalCluster) => void;
}

const CASES: readonly Case[] = [
  {
    name: "the server reports it, the platform's list lags",
    drain: async (cluster) => {
      await cluster.platform.control({ listLagMs: 60_000 });
      await cluster.listEngineDraining(0);
      await cluster.engine(0).control({ reportsLeaving: true });
    },
  },
  {
    name: "the platform lists it, the server reports nothing",
    drain: (cluster) => cluster.listEngineDraining(0),
  },
  {
    name: "the server reports it, the platform is down",
    drain: async (cluster) => {
      await cluster.platform.control({ outage: true });
      await cluster.engine(0).control({ reportsLeaving: true });
    },
  },
  {
    name: "one entry is frozen meanwhile",
    drain: async (cluster) => {
      await cluster.platform.control({ outage: true });
      cluster.entry(1).suspend();
      await cluster.engine(0).control({ reportsLeaving: true });
    },
    afterLimit: (cluster) => cluster.entry(1).resume(),
  },
];

test.for(CASES)("$name", async ({ name, drain, afterLimit }) => {
  const cluster = await LocalCluster.create({
    engines: 2,
    entries: 3,
    slots: 16,
    engineSwitches: { tokenMs: 2 },
  });
  const load = startLoad(cluster);
  try {
    const transcript = Transcript.create(name);
    await load.waitForCount(30);
    const before = await countArrivals(cluster);
    transcript.record(`requests arrived before: ${before > 0}`);
    await drain(cluster);
    await sleep(DRAIN_LIMIT_MS);
    const atLimit = await countArrivals(cluster);
    const countAtLimit = load.count;
    afterLimit?.(cluster);
    await sleep(OBSERVATION_MS);
    const arrivedLate = await countArrivals(cluster) - atLimit;
    transcript.record(`new requests after the limit: ${arrivedLate}`);
    transcript.record(
      `requests to others continued: ${load.count > countAtLimit}`,
    );
    expect(arrivedLate).toBe(0);
    await transcript.matchGoldenFile(
      `leaving_server/${name.replaceAll(/[ ,']+/g, "_")}`,
    );
  } finally {
    await load.close();
    await cluster.close();
  }
});

/** Sends short requests in sequence through each entry until closed. */
function startLoad(cluster: LocalCluster) {
  let isClosed = false;
  let count = 0;
  const sendRequests = async (entry: number) => {
    while (!isClosed) {
      const caller = cluster.complete({
        prompt: `load ${count}`,
        maxTokens: 3,
        entry: cluster.entry(entry),
      });
      const timeout = sleep(DRAIN_LIMIT_MS);
      await Promise.race([caller.ended, timeout]);
      caller.close();
      count++;
      await sleep(LOAD_INTERVAL_MS);
    }
  };
  const tasks = cluster.entries.map((_, index) => sendRequests(index));
  return {
    get count() {
      return count;
    },
    waitForCount: async (minCount: number) => {
      while (count < minCount) await sleep(LOAD_INTERVAL_MS);
    },
    close: async () => {
      isClosed = true;
      await Promise.all(tasks);
    },
  };
}

async function countArrivals(cluster: LocalCluster): Promise<number> {
  const counts = await cluster.engine(0).get<{ arrivals: number }>(
    "/standin/counts",
  );
  return counts.arrivals;
}
