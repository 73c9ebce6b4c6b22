/**
 * `measure resume`: the pause that a caller sees when its engine is killed or
 * suspended, and the extra work, compared with a restart from the first token.
 */

import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { StartStreamRequest } from "../src/connection/engine_protocol.ts";
import { readStream } from "../src/connection/engine_stream.ts";
import { RequestErrorType } from "../src/errors.ts";
import { expectedText } from "../standins/text.ts";
import type { Child } from "./child.ts";
import { DurationHistogram } from "../src/process/duration_histogram.ts";
import { type Report, round } from "./figures.ts";
import type { CompletionClient } from "../src/connection/completion_client.ts";
import { LocalCluster } from "./local_cluster.ts";

/** Time between two tokens of a stream in the requirements, in ms. */
const TOKEN_MS = 63;
const PREFILL_US = 50;
const MAX_TOKENS = 160;
const STREAMS = 36;
const ENGINES = 4;
const INTERRUPTIONS_MIN = 200;
const CYCLE_PAUSE_MS = 1_500;
const KILL_P95_MAX_MS = 1_000;
const FREEZE_MAX_MS = 4_000;
const BASELINE_STREAMS = 12;
const BASELINE_TOKENS = 80;

enum Failure {
  Kill = "kill",
  Freeze = "freeze",
}

interface Counts {
  readonly prefillTokens: number;
  readonly decodedTokens: number;
}

/** Measures pauses and extra work after engine failures. */
export async function measureResume(seed: number): Promise<Report> {
  const kill = await measureInterruptions(Failure.Kill);
  const freeze = await measureInterruptions(Failure.Freeze);
  const restart = await measureRestart();
  const wrongAnswers = kill.wrongAnswers + freeze.wrongAnswers;
  return {
    measurement: "resume",
    seed,
    figures: { kill, freeze, restart },
    bounds: [
      {
        name: "pause after a kill, p95 ms",
        value: kill.pause.p95,
        limit: KILL_P95_MAX_MS,
        side: "at_most",
      },
      {
        name: "pause after a freeze, max ms",
        value: freeze.pause.max,
        limit: FREEZE_MAX_MS,
        side: "at_most",
      },
      {
        name: "answers with a token lost, repeated or mixed",
        value: wrongAnswers,
        limit: 0,
        side: "at_most",
      },
      {
        name: "interruptions",
        value: Math.min(kill.interruptions, freeze.interruptions),
        limit: INTERRUPTIONS_MIN,
        side: "at_least",
      },
    ],
  };
}

async function measureInterruptions(failure: Failure) {
  const cluster = await LocalCluster.create({
    engines: ENGINES,
    slots: STREAMS,
    engineSwitches: { tokenMs: TOKEN_MS, prefillUs: PREFILL_US },
  });
  const pause = DurationHistogram.create();
  const engineCounts = { prefillTokens: 0, decodedTokens: 0 };
  let usefulTokens = 0;
  let interruptions = 0;
  let wrongAnswers = 0;
  let interruptedAnswers = 0;
  let isClosed = false;
  const runCaller = async (index: number) => {
    await sleep(index * MAX_TOKENS * TOKEN_MS / STREAMS);
    for (let answerIndex = 0; !isClosed; answerIndex++) {
      const prompt = `survey ${index}.${answerIndex} ${"x".repeat(400)}`;
      const caller = cluster.complete({ prompt, maxTokens: MAX_TOKENS });
      const { outcome } = await caller.ended;
      const expected = expectedText({ prompt, modelVersion: "1" }, MAX_TOKENS);
      if (outcome === RequestErrorType.Interrupted) interruptedAnswers++;
      const isCorrect = outcome === "done"
        ? caller.text === expected
        : expected.startsWith(caller.text);
      if (!isCorrect) wrongAnswers++;
      usefulTokens += caller.tokenCount;
      for (const pauseMs of longPauses(caller)) {
        pause.record(pauseMs);
        interruptions++;
      }
    }
  };
  const callers = Array.from(
    { length: STREAMS },
    (_, index) => runCaller(index),
  );
  try {
    await sleep(MAX_TOKENS * TOKEN_MS);
    for (let cycle = 0; interruptions < INTERRUPTIONS_MIN; cycle++) {
      const index = cycle % ENGINES;
      const engine = cluster.engine(index);
      if (failure === Failure.Kill) {
        addCounts(engineCounts, await engine.get<Counts>("/standin/counts"));
        await engine.kill();
        await cluster.restartEngine(index);
      } else {
        engine.suspend();
        await sleep(2 * CYCLE_PAUSE_MS);
        engine.resume();
      }
      await sleep(CYCLE_PAUSE_MS);
    }
    isClosed = true;
    await Promise.all(callers);
    for (const engine of cluster.engines) {
      addCounts(engineCounts, await engine.get<Counts>("/standin/counts"));
    }
  } finally {
    await cluster.close();
  }
  const promptTokens = 100;
  const answers = usefulTokens / MAX_TOKENS;
  return {
    interruptions,
    pause: pause.percentiles(),
    wrongAnswers,
    answers: Math.round(usefulTokens / MAX_TOKENS),
    refusedAsInterrupted: interruptedAnswers,
    extraDecodeRatio: round(engineCounts.decodedTokens / usefulTokens - 1),
    extraPrefillTokensPerInterruption: round(
      (engineCounts.prefillTokens - answers * promptTokens) / interruptions,
    ),
  };
}

function addCounts(
  sum: { -readonly [Key in keyof Counts]: number },
  counts: Counts,
) {
  sum.prefillTokens += counts.prefillTokens;
  sum.decodedTokens += counts.decodedTokens;
}

/** Returns pauses of more than 1.5 times the time between tokens, in ms. */
function longPauses(caller: CompletionClient): readonly number[] {
  return caller.eventGapsMs.filter((pauseMs) => pauseMs > 1.5 * TOKEN_MS);
}

/** Measures callers without an entry: they restart at another engine. */
async function measureRestart() {
  const cluster = await LocalCluster.create({
    engines: 2,
    slots: STREAMS,
    engineSwitches: { tokenMs: TOKEN_MS, prefillUs: PREFILL_US },
  });
  const pause = DurationHistogram.create();
  try {
    const [first, second] = cluster.engines;
    if (first === undefined || second === undefined) {
      throw new Error("the cluster has fewer than 2 engines");
    }
    const runs = Array.from({ length: BASELINE_STREAMS }, async (_, index) => {
      await sleep(index * BASELINE_TOKENS * TOKEN_MS / BASELINE_STREAMS);
      const position = await readUntil(first, Number.POSITIVE_INFINITY);
      const failedMs = performance.now();
      await readUntil(second, position + 1);
      pause.record(performance.now() - failedMs);
    });
    await sleep(BASELINE_TOKENS * TOKEN_MS);
    await first.kill();
    await Promise.all(runs);
  } finally {
    await cluster.close();
  }
  return { pause: pause.percentiles() };
}

/** Reads a new stream up to a position or a failure; returns the position. */
async function readUntil(engine: Child, endPosition: number): Promise<number> {
  const controller = new AbortController();
  const stream = randomUUID() as string as StartStreamRequest["stream"];
  const request: StartStreamRequest = {
    stream,
    request: stream as string as StartStreamRequest["request"],
    model: "writer",
    modelVersion: "1",
    prompt: stream,
    journal: "",
    position: 0,
    maxTokens: 10 * MAX_TOKENS,
    priority: 0,
  };
  let position = 0;
  try {
    const batches = readStream({
      address: engine.address,
      modelVersion: "1",
      source: { request },
      firstTokenStallMs: 3_000,
      firstTokenLimitMs: 10_000,
      tokenStallMs: 1_500,
      signal: controller.signal,
    });
    for await (const events of batches) {
      position += events.length;
      if (position >= endPosition) break;
    }
  } catch {
    return position;
  }
  return position;
}
