/**
 * Promise 3: each caller receives the whole answer to its own request, with
 * hundreds of them interleaved, late and out of order.
 */

import { expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { expectedText } from "../standins/text.ts";
import { compareText, Transcript } from "./transcript.ts";

const CALLERS = 300;
const CALLS = 200;

test("hundreds of interleaved requests, an engine killed meanwhile", async () => {
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
    const answers = Array.from({ length: CALLERS }, (_, index) => {
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
    const calls = Array.from({ length: CALLS }, (_, index) => {
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
    await answers[0]?.caller.waitForTokens(2);
    await cluster.engine(0).kill();

    const session = Transcript.create("hundreds of interleaved requests");
    const tally = new Map<string, number>();
    for (const { caller, prompt, maxTokens } of answers) {
      const { outcome } = await caller.ended;
      const expected = expectedText({ prompt, modelVersion: "1" }, maxTokens);
      const line = `${outcome}, text ${compareText(caller.text, expected)}`;
      tally.set(line, (tally.get(line) ?? 0) + 1);
    }
    for (const [line, count] of tally) session.record(`${count} x ${line}`);
    const results = await Promise.all(calls);
    const own = results.filter(({ status, body }, index) =>
      status === 200 &&
      JSON.parse(body.toString()).key === `/stock?item=${index}`
    );
    session.record(`plain calls answered with their own answer: ${own.length}`);
    const others = results.filter((result) => !own.includes(result))
      .map(({ status, body }) => `${status} ${body}`);
    expect(others).toEqual([]);
    expect(own.length).toBe(CALLS);
    await session.matchGoldenFile("right_caller");
  } finally {
    await cluster.close();
  }
});
