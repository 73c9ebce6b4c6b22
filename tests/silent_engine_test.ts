/**
 * Tests that a completion is whole when its only engine is silent for a while
 * and recovers.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { expectedText } from "../standins/text.ts";

const PROMPT = "log of lock 12, winter inspection";
const MAX_TOKENS = 60;

test.for([
  { when: "before its first token", tokens: 0, silenceMs: 1_300 },
  { when: "between tokens", tokens: 20, silenceMs: 2_500 },
])(
  "a completion is whole though its only engine is silent $when for $silenceMs ms",
  async ({ tokens, silenceMs }) => {
    const cluster = await LocalCluster.create({
      engines: 1,
      engineSwitches: { tokenMs: 15, prefillUs: 100 },
    });
    try {
      const caller = cluster.complete({
        prompt: PROMPT,
        maxTokens: MAX_TOKENS,
      });
      if (tokens > 0) await caller.waitForTokens(tokens);
      cluster.engine(0).suspend();
      await sleep(silenceMs);
      cluster.engine(0).resume();
      const { outcome } = await caller.ended;
      expect(caller.text).toBe(
        expectedText({ prompt: PROMPT, modelVersion: "1" }, MAX_TOKENS),
      );
      expect(outcome).toBe("done");
    } finally {
      await cluster.close();
    }
  },
);
