/**
 * Further failures of the brief: a request that crashes every backend server
 * which runs it, and a long freeze of an entry.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { normalise, Transcript } from "./transcript.ts";

const CRASHING = { prompt: "poison: roof of Dolpo", maxTokens: 40 };

test("a crashing request costs two servers at most", async () => {
  const cluster = await LocalCluster.create({
    engines: 5,
    entries: 2,
    engineSwitches: { tokenMs: 10, crashMarker: "poison" },
  });
  try {
    const session = Transcript.create("a request that crashes its servers");
    const others = Array.from({ length: 30 }, (_, index) => {
      const asked = { prompt: `innocent ${index}`, maxTokens: 60 };
      const entry = cluster.entry(index % 2);
      return { asked, caller: cluster.complete({ ...asked, entry }) };
    });
    for (const { caller } of others) await caller.waitForTokens(2);
    for (const entry of [0, 1, 0, 1]) {
      const caller = cluster.complete({
        ...CRASHING,
        entry: cluster.entry(entry),
      });
      const { outcome, message } = await caller.ended;
      session.record(
        `sent to entry ${entry}: ${outcome} (${normalise(message)})`,
      );
      await sleep(700);
    }
    let whole = 0;
    for (const { caller } of others) {
      const { outcome, message } = await caller.ended;
      if (outcome === "done" && caller.tokenCount === 60) whole++;
      else session.record(`not whole: ${outcome} (${normalise(message)})`);
    }
    session.record(`other callers whole: ${whole} of ${others.length}`);
    const alive = await aliveCount(cluster);
    session.record(`servers lost: ${cluster.engines.length - alive}`);
    expect(cluster.engines.length - alive).toBeLessThanOrEqual(2);
    expect(whole).toBe(others.length);
    await waitFor("status shows the suspicion", async () => {
      const { stdout } = await cluster.runCommand(["status"]);
      return stdout.includes("suspected request");
    });
    session.record("status shows the suspicion");
    await session.matchGoldenFile("further/crashing_request");
  } finally {
    await cluster.close();
  }
});

test("an entry frozen for long, its callers repeat elsewhere", async () => {
  const cluster = await LocalCluster.create({
    engines: 2,
    entries: 2,
    engineSwitches: { tokenMs: 15 },
  });
  try {
    const session = Transcript.create("entry frozen, callers repeat elsewhere");
    const asked = { prompt: "harbour log", maxTokens: 80 };
    const caller = cluster.complete(asked);
    await caller.waitForTokens(20);
    cluster.entry(0).freeze();
    const text = caller.text;
    const repeated = cluster.complete({
      ...asked,
      entry: cluster.entry(1),
      lastEventId: caller.cursor,
      resumeText: text,
    });
    session.record(`repeat: ${(await repeated.ended).outcome}`);
    session.recordJoinedText([text, repeated.text], asked);
    await sleep(4_000);
    cluster.entry(0).thaw();
    await session.recordResponse("first, thawed", caller, asked);
    const after = cluster.complete({ prompt: "after", maxTokens: 5 });
    await session.recordResponse("new request", after, {
      prompt: "after",
      maxTokens: 5,
    });
    await session.matchGoldenFile("further/frozen_entry");
  } finally {
    await cluster.close();
  }
});

async function aliveCount(cluster: LocalCluster): Promise<number> {
  const alive = await Promise.all(
    cluster.engines.map((engine) =>
      engine.get("/v1/load").then(() => true).catch(() => false)
    ),
  );
  return alive.filter(Boolean).length;
}
