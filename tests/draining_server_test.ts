/**
 * Promise 6: a backend server that is leaving receives no new work after a few
 * seconds. Engines count what arrives, refused or not, under a steady load.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { Transcript } from "./transcript.ts";

/** After this time no new work may arrive, in ms. */
const BOUND_MS = 3_000;
const WATCHED_MS = 1_500;
const LOAD_PAUSE_MS = 20;

interface Case {
  readonly name: string;
  /** Makes engine 0 leave. */
  readonly leave: (cluster: LocalCluster) => Promise<void>;
  /** Happens once the bound has passed. */
  readonly afterBound?: (cluster: LocalCluster) => void;
}

const CASES: readonly Case[] = [
  {
    name: "the server reports it, the platform's list lags",
    leave: async (cluster) => {
      await cluster.platform.control({ listLagMs: 60_000 });
      await cluster.listEngineDraining(0);
      await cluster.engine(0).control({ reportsLeaving: true });
    },
  },
  {
    name: "the platform lists it, the server reports nothing",
    leave: (cluster) => cluster.listEngineDraining(0),
  },
  {
    name: "the server reports it, the platform is down",
    leave: async (cluster) => {
      await cluster.platform.control({ outage: true });
      await cluster.engine(0).control({ reportsLeaving: true });
    },
  },
  {
    name: "one entry is frozen meanwhile",
    leave: async (cluster) => {
      await cluster.platform.control({ outage: true });
      cluster.entry(1).freeze();
      await cluster.engine(0).control({ reportsLeaving: true });
    },
    afterBound: (cluster) => cluster.entry(1).thaw(),
  },
];

test.for(CASES)("$name", async ({ name, leave, afterBound }) => {
  const cluster = await LocalCluster.create({
    engines: 2,
    entries: 3,
    slots: 16,
    engineSwitches: { tokenMs: 2 },
  });
  const load = startLoad(cluster);
  try {
    const session = Transcript.create(name);
    await load.answered(30);
    const before = await arrivals(cluster);
    session.record(`work arrived before: ${before > 0}`);
    await leave(cluster);
    await sleep(BOUND_MS);
    const atBound = await arrivals(cluster);
    const elsewhere = load.count;
    afterBound?.(cluster);
    await sleep(WATCHED_MS);
    const late = await arrivals(cluster) - atBound;
    session.record(`new work after the bound: ${late}`);
    session.record(`other work went on: ${load.count > elsewhere}`);
    expect(late).toBe(0);
    await session.matchGoldenFile(
      `leaving_server/${name.replaceAll(/[ ,']+/g, "_")}`,
    );
  } finally {
    await load.close();
    await cluster.close();
  }
});

/** Sends short requests through all entries until closed. */
function startLoad(cluster: LocalCluster) {
  let isClosed = false;
  let count = 0;
  const run = async (entry: number) => {
    while (!isClosed) {
      const caller = cluster.complete({
        prompt: `load ${count}`,
        maxTokens: 3,
        entry: cluster.entry(entry),
      });
      const limit = sleep(BOUND_MS);
      await Promise.race([caller.ended, limit]);
      caller.close();
      count++;
      await sleep(LOAD_PAUSE_MS);
    }
  };
  const tasks = cluster.entries.map((_, index) => run(index));
  return {
    get count() {
      return count;
    },
    answered: async (wanted: number) => {
      while (count < wanted) await sleep(LOAD_PAUSE_MS);
    },
    close: async () => {
      isClosed = true;
      await Promise.all(tasks);
    },
  };
}

async function arrivals(cluster: LocalCluster): Promise<number> {
  const counts = await cluster.engine(0).get<{ arrivals: number }>(
    "/standin/counts",
  );
  return counts.arrivals;
}
