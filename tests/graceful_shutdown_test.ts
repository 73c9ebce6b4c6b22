/**
 * Promise 7: a planned stop of an instance cuts off no request.
 */

import { expect, test } from "vitest";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { Transcript } from "./transcript.ts";

const LONG = { prompt: "survey of the Thimi school roof", maxTokens: 100 };
const SHORT = { prompt: "roof explanation", maxTokens: 5 };
const ENGINE = { tokenMs: 20 };

test("SIGTERM under load with long streams", async () => {
  const cluster = await LocalCluster.create({
    entries: 2,
    services: 1,
    slots: 32,
    engineSwitches: ENGINE,
    stop: ["notice_ms = 1000"],
  });
  try {
    const session = Transcript.create("SIGTERM under load with long streams");
    const [entry] = cluster.entries;
    if (entry === undefined) throw new Error("no entry");
    const streams = Array.from({ length: 20 }, (_, index) => {
      const asked = { ...LONG, prompt: `${LONG.prompt} ${index}` };
      return { asked, caller: cluster.complete(asked) };
    });
    await cluster.service().control({ delayMs: 1_500 });
    const booking = cluster.callService({
      entry,
      method: "POST",
      path: "/bookings",
      body: JSON.stringify({ key: "stop" }),
      idempotencyKey: "stop",
    });
    for (const { caller } of streams) await caller.waitForTokens(5);
    entry.signal("SIGTERM");
    await waitFor("the entry is not ready", async () => {
      const { ready } = await entry.get<{ ready: boolean }>("/readyz");
      return !ready;
    });
    session.record("after SIGTERM: readyz says not ready");
    const late = cluster.complete(SHORT);
    await session.recordResponse(
      "new connection before the notice",
      late,
      SHORT,
    );
    let whole = 0;
    for (const { caller } of streams) {
      const { outcome } = await caller.ended;
      if (outcome === "done" && caller.tokenCount === 100) whole++;
    }
    session.record(`long streams whole: ${whole} of ${streams.length}`);
    session.record(`booking under way: ${(await booking).status}`);
    session.record(`exit code: ${await entry.exited}`);
    const other = cluster.complete({ ...SHORT, entry: cluster.entry(1) });
    await session.recordResponse("other entry", other, SHORT);
    expect(whole).toBe(streams.length);
    await session.matchGoldenFile("planned_stop/under_load");
  } finally {
    await cluster.close();
  }
});

test("deadline and second SIGTERM end the wait", async () => {
  const cluster = await LocalCluster.create({
    entries: 2,
    engineSwitches: ENGINE,
    stop: ["notice_ms = 100", "deadline_ms = 600"],
  });
  try {
    const session = Transcript.create("deadline and second SIGTERM");
    const callers = cluster.entries.map((entry) =>
      cluster.complete({ ...LONG, maxTokens: 1_000, entry })
    );
    for (const caller of callers) await caller.waitForTokens(5);
    cluster.entry(0).signal("SIGTERM");
    session.record(`deadline: exit code ${await cluster.entry(0).exited}`);
    session.record(`  its stream: ${(await callers[0]?.ended)?.outcome}`);
    cluster.entry(1).signal("SIGTERM");
    await waitFor(
      "the stop is under way",
      () =>
        cluster.entry(1).logLines().some(({ event }) =>
          event === LOG_EVENTS.shutdownRequested.number
        ),
    );
    cluster.entry(1).signal("SIGTERM");
    session.record(`second signal: exit code ${await cluster.entry(1).exited}`);
    session.record(`  its stream: ${(await callers[1]?.ended)?.outcome}`);
    await session.matchGoldenFile("planned_stop/forced");
  } finally {
    await cluster.close();
  }
});
