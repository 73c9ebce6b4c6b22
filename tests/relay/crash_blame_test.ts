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

function createCore(zones: readonly string[]) {
  return createRelay(
    zones.map((zone, at) =>
      createServer(`${zone}${at}`, { service: PLAIN, zone })
    ),
  );
}

/** Sends one call that may not be repeated; says how it ended. */
async function send(
  core: ReturnType<typeof createCore>,
  script: Script,
  fingerprint: string,
): Promise<string> {
  const caller = RecordedCaller.create();
  const order = createOrder({
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
