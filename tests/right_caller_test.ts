/**
 * Tests promise 3: each caller receives the complete response to its own
 * request while hundreds of responses are interleaved, delayed and reordered.
 */

import { expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { expectedText } from "../standins/text.ts";
import { compareText, Transcript } from "./transcript.ts";

const COMPLETIONS = 300;
const SERVICE_CALLS = 200;

test("hundreds of interleaved requests while an engine is killed", async () => {
  const cluster = await LocalCluster.create({
    engines: 4,
    services: 2,
    entries: 2,
    slots: 64,
    engineSwitches: { tokenMs: 5 },
  });
  try {
    for (const [index, engine] of cluster.engines.entries()) {
      await engine.control({ tokenMs: 3 + 4 * index });
    }
    for (const service of cluster.services) {
      await service.control({ jitterMs: 300 });
    }
    const completions = Array.from({ length: COMPLETIONS }, (_, index) => {
      const prompt = `question ${index}`;
      const maxTokens = 5 + (index * 7) % 60;
      const caller = cluster.complete({
        prompt,
        maxTokens,
        entry: cluster.entry(index % 2),
        customer: index % 3 === 0 ? "beta" : "alpha",
        rank: index % 2 === 0 ? "urgent" : "patient",
      });
      return { caller, prompt, maxTokens };
    });
    const calls = Array.from({ length: SERVICE_CALLS }, (_, index) => {
      const entry = cluster.entry(index % 2);
      const key = `/stock?item=${index}`;
      if (index % 4 > 0) {
        return cluster.callService({ entry, method: "GET", path: key });
      }
      return cluster.callService({
        entry,
        method: "POST",
        path: "/bookings",
        body: JSON.stringify({ key }),
        idempotencyKey: `booking-${index}`,
      });
    });
    await completions[0]?.caller.waitForTokens(2);
    await cluster.engine(0).kill();

    const transcript = Transcript.create("hundreds of interleaved requests");
    const counts = new Map<string, number>();
    for (const { caller, prompt, maxTokens } of completions) {
      const { outcome } = await caller.ended;
      const expected = expectedText({ prompt, modelVersion: "1" }, maxTokens);
      const line = `${outcome}, text ${compareText(caller.text, expected)}`;
      counts.set(line, (counts.get(line) ?? 0) + 1);
    }
    for (const [line, count] of counts) transcript.record(`${count} x ${line}`);
    const results = await Promise.all(calls);
    const matching = results.filter(({ status, body }, index) =>
      status === 200 &&
      JSON.parse(body.toString()).key === `/stock?item=${index}`
    );
    transcript.record(
      `service calls with their own response: ${matching.length}`,
    );
    const mismatches = results.filter((result) => !matching.includes(result))
      .map(({ status, body }) => `${status} ${body}`);
    expect(mismatches).toEqual([]);
    expect(matching.length).toBe(SERVICE_CALLS);
    await transcript.matchGoldenFile("right_caller");
  } finally {
    await cluster.close();
  }
});
