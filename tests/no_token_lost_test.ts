/**
 * Tests promise 1: no token of a completion is missing or repeated, even if its
 * engine fails. Each case injects one failure into real processes.
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

const REQUEST = { prompt: "log of lock 12, winter inspection", maxTokens: 80 };
const ENGINE_SWITCHES = { tokenMs: 15 };

interface Failure {
  readonly name: string;
  readonly options?: ClusterOptions;
  readonly injectFailure: (
    cluster: LocalCluster,
    caller: CompletionClient,
  ) => Promise<CompletionClient | void>;
}

const FAILURES: readonly Failure[] = [
  {
    name: "engine killed mid-generation",
    injectFailure: async (cluster, caller) => {
      await caller.waitForTokens(20);
      await (await servingEngine(cluster)).kill();
    },
  },
  {
    name: "engine killed twice in a row",
    options: { engines: 3 },
    injectFailure: async (cluster, caller) => {
      await caller.waitForTokens(20);
      await (await servingEngine(cluster)).kill();
      await caller.waitForTokens(50);
      await (await servingEngine(cluster)).kill();
    },
  },
  {
    name: "engine frozen, thawed when another has taken over",
    injectFailure: async (cluster, caller) => {
      await caller.waitForTokens(20);
      const engine = await servingEngine(cluster);
      engine.suspend();
      await caller.waitForTokens(40);
      engine.resume();
    },
  },
  {
    name: "connection to the engine cut",
    injectFailure: async (cluster, caller) => {
      await caller.waitForTokens(20);
      for (const engine of cluster.engines) await engine.control({ cut: true });
    },
  },
  {
    name: "engine killed during prefill",
    options: { engineSwitches: { ...ENGINE_SWITCHES, prefillUs: 100_000 } },
    injectFailure: async (cluster) => {
      await (await servingEngine(cluster)).kill();
    },
  },
  {
    name: "engine crashes before its last token",
    options: { engineSwitches: { ...ENGINE_SWITCHES, crashAtPosition: 79 } },
    injectFailure: async (cluster, caller) => {
      await caller.waitForTokens(30);
      for (const engine of await idleEngines(cluster)) {
        await engine.control({ crashAtPosition: -1 });
      }
    },
  },
  {
    name: "engine killed, no other carries the model version",
    options: { engines: 2, limits: ["resume_limit_ms = 1500"] },
    injectFailure: async (cluster, caller) => {
      await caller.waitForTokens(20);
      for (const engine of await idleEngines(cluster)) {
        await engine.control({ modelVersion: "2" });
      }
      await (await servingEngine(cluster)).kill();
    },
  },
  {
    name: "entry killed, the caller repeats to another with the cursor",
    options: { entries: 2 },
    injectFailure: async (cluster, caller) => {
      await caller.waitForTokens(20);
      await cluster.entry(0).kill();
      await caller.ended;
      return repeatRequest(cluster, { caller, withText: false });
    },
  },
  {
    name: "entry and engine killed, the caller repeats with its text",
    options: { entries: 2 },
    injectFailure: (cluster, caller) =>
      killBoth(cluster, { caller, withText: true }),
  },
  {
    name: "entry and engine killed, the caller repeats without its text",
    options: { entries: 2 },
    injectFailure: (cluster, caller) =>
      killBoth(cluster, { caller, withText: false }),
  },
  {
    name: "engine killed, then entry killed, the caller repeats with its text",
    options: { entries: 2, engines: 2 },
    injectFailure: async (cluster, caller) => {
      await caller.waitForTokens(20);
      await (await servingEngine(cluster)).kill();
      await caller.waitForTokens(40);
      await cluster.entry(0).kill();
      await caller.ended;
      return repeatRequest(cluster, { caller, withText: true });
    },
  },
];

test.for(FAILURES)("$name", async ({ name, options, injectFailure }) => {
  const cluster = await LocalCluster.create({
    engineSwitches: ENGINE_SWITCHES,
    ...options,
  });
  try {
    const transcript = Transcript.create(name);
    const caller = cluster.complete(REQUEST);
    const repeated = await injectFailure(cluster, caller);
    await transcript.recordResponse("caller", caller, REQUEST);
    if (repeated !== undefined) {
      const { status, outcome } = await repeated.ended;
      transcript.record(`repeat: ${status} ${outcome}`);
      transcript.recordJoinedText([caller.text, repeated.text], REQUEST);
    }
    await transcript.recordFirstFailure(cluster.entries);
    await transcript.matchGoldenFile(
      `no_token_lost/${name.replaceAll(/[ ,-]+/g, "_")}`,
    );
  } finally {
    await cluster.close();
  }
});

test("a stream that its engine has discarded does not eject the engine", async () => {
  const cluster = await LocalCluster.create({
    entries: 2,
    engineSwitches: ENGINE_SWITCHES,
  });
  try {
    const transcript = Transcript.create(
      "the caller repeats after a long time",
    );
    const caller = cluster.complete(REQUEST);
    await caller.waitForTokens(20);
    await cluster.entry(0).kill();
    await caller.ended;
    await waitFor("the engine has discarded the stream", async () => {
      const path = `/v1/streams/${streamIdOf(caller.cursor)}?from=0`;
      const statuses = await Promise.all(
        cluster.engines.map((engine) => engine.status(path)),
      );
      return statuses.every((status) => status === 404);
    });
    const repeated = repeatRequest(cluster, { caller, withText: true });
    transcript.record(`repeat: ${(await repeated.ended).outcome}`);
    transcript.recordJoinedText([caller.text, repeated.text], REQUEST);
    await transcript.recordFirstFailure(cluster.entries);
    const events = cluster.entry(1).logLines().map(({ event }) => event);
    const { serverEjected, poisonRequestSuspected } = LOG_EVENTS;
    transcript.record(`ejected: ${events.includes(serverEjected.number)}`);
    transcript.record(
      `suspected: ${events.includes(poisonRequestSuspected.number)}`,
    );
    expect(events).not.toContain(serverEjected.number);
    expect(events).not.toContain(poisonRequestSuspected.number);
    await transcript.matchGoldenFile("no_token_lost/stream_given_up");
  } finally {
    await cluster.close();
  }
});

test("an unstreamed completion is complete after its engine is killed", async () => {
  const cluster = await LocalCluster.create({
    engineSwitches: ENGINE_SWITCHES,
  });
  try {
    const response = cluster.completeUnstreamed(REQUEST);
    const engine = await servingEngine(cluster);
    await sleep(300);
    await engine.kill();
    const { text } = await response;
    const transcript = Transcript.create(
      "unstreamed completion, engine killed",
    );
    transcript.recordJoinedText([text], REQUEST);
    await transcript.matchGoldenFile("no_token_lost/whole_answer");
  } finally {
    await cluster.close();
  }
});

/** Kills engine and entry of a stream; the caller repeats at entry 1. */
async function killBoth(
  cluster: LocalCluster,
  { caller, withText }: {
    readonly caller: CompletionClient;
    readonly withText: boolean;
  },
): Promise<CompletionClient> {
  await caller.waitForTokens(20);
  const engine = await servingEngine(cluster);
  // Suspended first, so that the entry does not detect the engine's failure.
  cluster.entry(0).suspend();
  await engine.kill();
  await cluster.entry(0).kill();
  await caller.ended;
  return repeatRequest(cluster, { caller, withText });
}

function repeatRequest(
  cluster: LocalCluster,
  { caller, withText }: {
    readonly caller: CompletionClient;
    readonly withText: boolean;
  },
): CompletionClient {
  return cluster.complete({
    ...REQUEST,
    entry: cluster.entry(1),
    lastEventId: caller.cursor,
    resumeText: withText ? caller.text : undefined,
  });
}

function streamIdOf(cursor: string): string {
  const [base = ""] = cursor.split(".");
  return JSON.parse(Buffer.from(base, "base64url").toString()).stream;
}

/** Resolves with the engine that runs the test's only stream. */
async function servingEngine(cluster: LocalCluster) {
  return cluster.engine(await cluster.servingEngineIndex());
}

async function idleEngines(cluster: LocalCluster) {
  const servingIndex = await cluster.servingEngineIndex();
  return cluster.engines.filter((_, index) => index !== servingIndex);
}
