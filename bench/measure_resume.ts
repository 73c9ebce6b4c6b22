/**
 * `measure resume`: the pause that a caller sees when its engine is killed or
 * frozen, and the extra work, beside a plain restart from nothing.
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

/** The brief's pace of tokens. */
const TOKEN_MS = 63;
const PREFILL_US = 50;
const MAX_TOKENS = 160;
const STREAMS = 36;
const ENGINES = 4;
const INTERRUPTIONS = 200;
const ROUND_PAUSE_MS = 1_500;
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

/** Measures and reports. */
export async function measureResume(seed: number): Promise<Report> {
  const kill = await interrupt(Failure.Kill);
  const freeze = await interrupt(Failure.Freeze);
  const restart = await restartFromNothing();
  const wrong = kill.wrongAnswers + freeze.wrongAnswers;
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
        value: wrong,
        limit: 0,
        side: "at_most",
      },
      {
        name: "interruptions",
        value: Math.min(kill.interruptions, freeze.interruptions),
        limit: INTERRUPTIONS,
        side: "at_least",
      },
    ],
  };
}

async function interrupt(failure: Failure) {
  const cluster = await LocalCluster.create({
    engines: ENGINES,
    slots: STREAMS,
    engineSwitches: { tokenMs: TOKEN_MS, prefillUs: PREFILL_US },
  });
  const pause = DurationHistogram.create();
  const spent = { prefillTokens: 0, decodedTokens: 0 };
  let usefulTokens = 0;
  let interruptions = 0;
  let wrongAnswers = 0;
  let interrupted = 0;
  let isClosed = false;
  const follow = async (index: number) => {
    await sleep(index * MAX_TOKENS * TOKEN_MS / STREAMS);
    for (let at = 0; !isClosed; at++) {
      const prompt = `survey ${index}.${at} ${"x".repeat(400)}`;
      const caller = cluster.complete({ prompt, maxTokens: MAX_TOKENS });
      const { outcome } = await caller.ended;
      const expected = expectedText({ prompt, modelVersion: "1" }, MAX_TOKENS);
      if (outcome === RequestErrorType.Interrupted) interrupted++;
      const isTrue = outcome === "done"
        ? caller.text === expected
        : expected.startsWith(caller.text);
      if (!isTrue) wrongAnswers++;
      usefulTokens += caller.tokenCount;
      for (const pauseMs of longPauses(caller)) {
        pause.record(pauseMs);
        interruptions++;
      }
    }
  };
  const tasks = Array.from({ length: STREAMS }, (_, index) => follow(index));
  try {
    await sleep(MAX_TOKENS * TOKEN_MS);
    for (let round = 0; interruptions < INTERRUPTIONS; round++) {
      const index = round % ENGINES;
      const engine = cluster.engine(index);
      if (failure === Failure.Kill) {
        add(spent, await engine.get<Counts>("/standin/counts"));
        await engine.kill();
        await cluster.restartEngine(index);
      } else {
        engine.freeze();
        await sleep(2 * ROUND_PAUSE_MS);
        engine.thaw();
      }
      await sleep(ROUND_PAUSE_MS);
    }
    isClosed = true;
    await Promise.all(tasks);
    for (const engine of cluster.engines) {
      add(spent, await engine.get<Counts>("/standin/counts"));
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
    refusedAsInterrupted: interrupted,
    extraDecodeRatio: round(spent.decodedTokens / usefulTokens - 1),
    extraPrefillTokensPerInterruption: round(
      (spent.prefillTokens - answers * promptTokens) / interruptions,
    ),
  };
}

function add(sum: { -readonly [Key in keyof Counts]: number }, part: Counts) {
  sum.prefillTokens += part.prefillTokens;
  sum.decodedTokens += part.decodedTokens;
}

/** Pauses that no pace of tokens explains. */
function longPauses(caller: CompletionClient): readonly number[] {
  return caller.eventGapsMs.filter((pauseMs) => pauseMs > 1.5 * TOKEN_MS);
}

/** A caller without the system: on a loss it begins again elsewhere. */
async function restartFromNothing() {
  const cluster = await LocalCluster.create({
    engines: 2,
    slots: STREAMS,
    engineSwitches: { tokenMs: TOKEN_MS, prefillUs: PREFILL_US },
  });
  const pause = DurationHistogram.create();
  try {
    const [first, second] = cluster.engines;
    if (first === undefined || second === undefined) throw new Error("engines");
    const runs = Array.from({ length: BASELINE_STREAMS }, async (_, index) => {
      await sleep(index * BASELINE_TOKENS * TOKEN_MS / BASELINE_STREAMS);
      const reached = await readTo(first, Number.POSITIVE_INFINITY);
      const lostMs = performance.now();
      await readTo(second, reached + 1);
      pause.record(performance.now() - lostMs);
    });
    await sleep(BASELINE_TOKENS * TOKEN_MS);
    await first.kill();
    await Promise.all(runs);
  } finally {
    await cluster.close();
  }
  return { pause: pause.percentiles() };
}

/** Reads a new stream up to a position or its loss; returns the position. */
async function readTo(engine: Child, limit: number): Promise<number> {
  const controller = new AbortController();
  const stream = randomUUID() as string as StartStreamRequest["stream"];
  const order: StartStreamRequest = {
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
      source: { request: order },
      firstTokenStallMs: 3_000,
      firstTokenLimitMs: 10_000,
      tokenStallMs: 1_500,
      signal: controller.signal,
    });
    for await (const events of batches) {
      position += events.length;
      if (position >= limit) break;
    }
  } catch {
    return position;
  }
  return position;
}
