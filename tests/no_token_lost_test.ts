/**
 * Promise 1: no token of an answer is missing or repeated, even after its
 * engine died. Each case causes one failure to real processes.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import type { CompletionClient } from "../src/connection/completion_client.ts";
import {
  type ClusterOptions,
  LocalCluster,
  waitFor,
} from "../bench/local_cluster.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { Transcript } from "./transcript.ts";

const ASKED = { prompt: "log of lock 12, winter inspection", maxTokens: 80 };
const ENGINE = { tokenMs: 15 };

interface Failure {
  readonly name: string;
  readonly options?: ClusterOptions;
  readonly cause: (
    cluster: LocalCluster,
    caller: CompletionClient,
  ) => Promise<CompletionClient | void>;
}

const FAILURES: readonly Failure[] = [
  {
    name: "engine killed mid-generation",
    cause: async (cluster, caller) => {
      await caller.waitForTokens(20);
      await (await serving(cluster)).kill();
    },
  },
  {
    name: "engine killed twice in a row",
    options: { engines: 3 },
    cause: async (cluster, caller) => {
      await caller.waitForTokens(20);
      await (await serving(cluster)).kill();
      await caller.waitForTokens(50);
      await (await serving(cluster)).kill();
    },
  },
  {
    name: "engine frozen, thawed when another has taken over",
    cause: async (cluster, caller) => {
      await caller.waitForTokens(20);
      const engine = await serving(cluster);
      engine.freeze();
      await caller.waitForTokens(40);
      engine.thaw();
    },
  },
  {
    name: "connection to the engine cut",
    cause: async (cluster, caller) => {
      await caller.waitForTokens(20);
      for (const engine of cluster.engines) await engine.control({ cut: true });
    },
  },
  {
    name: "engine killed during prefill",
    options: { engineSwitches: { ...ENGINE, prefillUs: 100_000 } },
    cause: async (cluster) => {
      await (await serving(cluster)).kill();
    },
  },
  {
    name: "engine crashes before its last token",
    options: { engineSwitches: { ...ENGINE, crashAtPosition: 79 } },
    cause: async (cluster, caller) => {
      await caller.waitForTokens(30);
      for (const engine of await idle(cluster)) {
        await engine.control({ crashAtPosition: -1 });
      }
    },
  },
  {
    name: "engine killed, no other carries the model version",
    options: { engines: 2, limits: ["resume_limit_ms = 1500"] },
    cause: async (cluster, caller) => {
      await caller.waitForTokens(20);
      for (const engine of await idle(cluster)) {
        await engine.control({ modelVersion: "2" });
      }
      await (await serving(cluster)).kill();
    },
  },
  {
    name: "entry killed, the caller repeats to another with the cursor",
    options: { entries: 2 },
    cause: async (cluster, caller) => {
      await caller.waitForTokens(20);
      await cluster.entry(0).kill();
      await caller.ended;
      return repeat(cluster, { caller, withText: false });
    },
  },
  {
    name: "entry and engine killed, the caller repeats with its text",
    options: { entries: 2 },
    cause: (cluster, caller) => killBoth(cluster, { caller, withText: true }),
  },
  {
    name: "entry and engine killed, the caller repeats without its text",
    options: { entries: 2 },
    cause: (cluster, caller) => killBoth(cluster, { caller, withText: false }),
  },
  {
    name: "engine killed, then entry killed, the caller repeats with its text",
    options: { entries: 2, engines: 2 },
    cause: async (cluster, caller) => {
      await caller.waitForTokens(20);
      await (await serving(cluster)).kill();
      await caller.waitForTokens(40);
      await cluster.entry(0).kill();
      await caller.ended;
      return repeat(cluster, { caller, withText: true });
    },
  },
];

test.for(FAILURES)("$name", async ({ name, options, cause }) => {
  const cluster = await LocalCluster.create({
    engineSwitches: ENGINE,
    ...options,
  });
  try {
    const session = Transcript.create(name);
    const caller = cluster.complete(ASKED);
    const repeated = await cause(cluster, caller);
    await session.recordResponse("caller", caller, ASKED);
    if (repeated !== undefined) {
      const { status, outcome } = await repeated.ended;
      session.record(`repeat: ${status} ${outcome}`);
      session.recordJoinedText([caller.text, repeated.text], ASKED);
    }
    await session.recordFirstFailure(cluster.entries);
    await session.matchGoldenFile(
      `no_token_lost/${name.replaceAll(/[ ,-]+/g, "_")}`,
    );
  } finally {
    await cluster.close();
  }
});

test("a stream that its engine gave up does not count against the engine", async () => {
  const cluster = await LocalCluster.create({
    entries: 2,
    engineSwitches: ENGINE,
  });
  try {
    const session = Transcript.create("the caller repeats after a long time");
    const caller = cluster.complete(ASKED);
    await caller.waitForTokens(20);
    await cluster.entry(0).kill();
    await caller.ended;
    await waitFor("the engine has given the stream up", async () => {
      const path = `/v1/streams/${streamOf(caller.cursor)}?from=0`;
      const answer = await Promise.all(
        cluster.engines.map((engine) => engine.status(path)),
      );
      return answer.every((status) => status === 404);
    });
    const repeated = repeat(cluster, { caller, withText: true });
    session.record(`repeat: ${(await repeated.ended).outcome}`);
    session.recordJoinedText([caller.text, repeated.text], ASKED);
    await session.recordFirstFailure(cluster.entries);
    const events = cluster.entry(1).logLines().map(({ event }) => event);
    const { serverEjected, poisonRequestSuspected: requestSuspected } =
      LOG_EVENTS;
    session.record(`ejected: ${events.includes(serverEjected.number)}`);
    session.record(`suspected: ${events.includes(requestSuspected.number)}`);
    expect(events).not.toContain(serverEjected.number);
    expect(events).not.toContain(requestSuspected.number);
    await session.matchGoldenFile("no_token_lost/stream_given_up");
  } finally {
    await cluster.close();
  }
});

test("a whole answer is one answer without streaming too", async () => {
  const cluster = await LocalCluster.create({ engineSwitches: ENGINE });
  try {
    const answer = cluster.completeUnstreamed(ASKED);
    const engine = await serving(cluster);
    await sleep(300);
    await engine.kill();
    const { text } = await answer;
    const session = Transcript.create("whole answer, engine killed");
    session.recordJoinedText([text], ASKED);
    await session.matchGoldenFile("no_token_lost/whole_answer");
  } finally {
    await cluster.close();
  }
});

/** Kills the engine and the entry of a stream; the caller repeats elsewhere. */
async function killBoth(
  cluster: LocalCluster,
  { caller, withText }: {
    readonly caller: CompletionClient;
    readonly withText: boolean;
  },
): Promise<CompletionClient> {
  await caller.waitForTokens(20);
  const engine = await serving(cluster);
  // Frozen first, so that the entry never learns of the engine's death.
  cluster.entry(0).freeze();
  await engine.kill();
  await cluster.entry(0).kill();
  await caller.ended;
  return repeat(cluster, { caller, withText });
}

function repeat(
  cluster: LocalCluster,
  { caller, withText }: {
    readonly caller: CompletionClient;
    readonly withText: boolean;
  },
): CompletionClient {
  return cluster.complete({
    ...ASKED,
    entry: cluster.entry(1),
    lastEventId: caller.cursor,
    resumeText: withText ? caller.text : undefined,
  });
}

function streamOf(cursor: string): string {
  const [base = ""] = cursor.split(".");
  return JSON.parse(Buffer.from(base, "base64url").toString()).stream;
}

/** The engine that runs the one stream of the session. */
async function serving(cluster: LocalCluster) {
  return cluster.engine(await cluster.servingEngineIndex());
}

async function idle(cluster: LocalCluster) {
  const running = await cluster.servingEngineIndex();
  return cluster.engines.filter((_, index) => index !== running);
}
