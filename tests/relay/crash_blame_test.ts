/** A request that crashes its servers is refused, and no other one is. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { LossCause } from "../../src/errors.ts";
import type { Fingerprint, RequestId } from "../../src/ids.ts";
import { OrderKind } from "../../src/request/order.ts";
import { serveOrder } from "../../src/request/serve_order.ts";
import {
  answers,
  createOrder,
  createRelay,
  createServer,
  followScripts,
  loses,
  PLAIN,
  RecordedCaller,
  type Script,
} from "./scripted.ts";

const JUDGED_MS = 500;
/** Time that each caller has, in ms. */
const LEFT_MS = 3_000;

function createCore(
  zones: readonly string[],
  options: Parameters<typeof createRelay>[1] = {},
) {
  const servers = zones.map((zone, at) =>
    createServer(`${zone}${at}`, { service: PLAIN, zone })
  );
  return createRelay(servers, options);
}

/** Sends one call that may not be repeated; says how it ended. */
async function send(
  core: ReturnType<typeof createCore>,
  script: Script,
  fingerprint: string,
): Promise<string> {
  const caller = RecordedCaller.create();
  const nowMs = core.context.now();
  const order = createOrder({
    receivedMs: nowMs,
    deadlineMs: nowMs + LEFT_MS,
    limitMs: nowMs + LEFT_MS,
    id: `request-${Math.random()}` as RequestId,
    kind: OrderKind.NonIdempotent,
    fingerprint: fingerprint as Fingerprint,
    sendsMax: 1,
  });
  const { open } = followScripts([script]);
  await serveOrder(core.context, { order, caller, open });
  return caller.ending;
}

test("after three crashes a request is refused, others are not", async () => {
  const core = createCore(["a", "b", "c", "d"]);
  for (let crash = 0; crash < 3; crash++) {
    const end = await send(core, loses(LossCause.Closed), "bad");
    expect(end).toBe("refused outcome_unknown");
    await sleep(JUDGED_MS);
  }
  expect(await send(core, answers(200), "bad")).toBe("refused not_run");
  expect(await send(core, answers(200), "good")).toBe("whole");
});

/** A server that answers, but gives no report. */
const ANSWERS_ONLY = { askReport: () => Promise.resolve(undefined) };

test("answers that a living server lost blame no request and call no server dead", async () => {
  const core = createCore(["a", "b", "c", "d"], ANSWERS_ONLY);
  for (let loss = 0; loss < 3; loss++) {
    await send(core, loses(LossCause.Closed), "unlucky");
    await sleep(JUDGED_MS);
  }
  expect(core.context.suspicions.snapshot()).toEqual([]);
  expect(core.servers.deadServers()).toEqual([]);
  expect(await send(core, answers(200), "unlucky")).toBe("whole");
});

test("a living server is avoided longer for each answer that it lost", async () => {
  let nowMs = performance.now();
  const core = createCore(["a"], { ...ANSWERS_ONLY, now: () => nowMs });
  for (const avoidedMs of [600, 1_200, 2_400, 4_000, 4_000]) {
    await send(core, loses(LossCause.Closed), "unlucky");
    nowMs += avoidedMs - 1;
    expect(core.servers.isUsable("a0")).toBe(false);
    nowMs += 1;
    expect(core.servers.isUsable("a0")).toBe(true);
  }
});

test("the loss of a whole zone blames no request", async () => {
  // Only the zone that is lost, so that all four go there in whatever order.
  const core = createCore(["a", "a", "a", "a"]);
  await Promise.all(
    ["one", "two", "one", "one"].map((fingerprint) =>
      send(core, loses(LossCause.Closed), fingerprint)
    ),
  );
  await sleep(JUDGED_MS);
  expect(core.context.suspicions.snapshot()).toEqual([]);
});

test("what one entry blames, another one refuses", async () => {
  const core = createCore(["a"]);
  const other = createCore(["a"]);
  core.context.suspicions.record("bad" as Fingerprint, 3);
  other.takeDigest({ ...core.createDigest(), entry: "entry-2" as never });
  expect(await send(other, answers(200), "bad")).toBe("refused not_run");
});
