/** A request that crashes its servers is refused, and no other one is. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { FailureCause } from "../../src/errors.ts";
import type { Fingerprint, RequestId } from "../../src/ids.ts";
import { RequestKind } from "../../src/request/proxy_request.ts";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createScriptedOpener,
  createServer,
  failsWith,
  PLAIN_SERVICE,
  RecordedCaller,
  responds,
  type ServerScript,
} from "./scripted.ts";

const JUDGED_MS = 500;
/** Time that each caller has, in ms. */
const LEFT_MS = 3_000;

function createCore(
  zones: readonly string[],
  options: Parameters<typeof createRelay>[1] = {},
) {
  const servers = zones.map((zone, at) =>
    createServer(`${zone}${at}`, { service: PLAIN_SERVICE, zone })
  );
  return createRelay(servers, options);
}

/** Sends one call that may not be repeated; says how it ended. */
async function send(
  core: ReturnType<typeof createCore>,
  script: ServerScript,
  fingerprint: string,
): Promise<string> {
  const caller = RecordedCaller.create();
  const nowMs = core.context.now();
  const order = createRequest({
    receivedMs: nowMs,
    callerDeadlineMs: nowMs + LEFT_MS,
    routeDeadlineMs: nowMs + LEFT_MS,
    id: `request-${Math.random()}` as RequestId,
    kind: RequestKind.NonIdempotent,
    fingerprint: fingerprint as Fingerprint,
    maxAttempts: 1,
  });
  const { open } = createScriptedOpener([script]);
  await serveRequest(core.context, { request: order, caller, open });
  return caller.ending;
}

test("after three crashes a request is refused, others are not", async () => {
  const core = createCore(["a", "b", "c", "d"]);
  for (let crash = 0; crash < 3; crash++) {
    const end = await send(core, failsWith(FailureCause.Closed), "bad");
    expect(end).toBe("refused outcome_unknown");
    await sleep(JUDGED_MS);
  }
  expect(await send(core, responds(200), "bad")).toBe("refused not_run");
  expect(await send(core, responds(200), "good")).toBe("whole");
});

/** A server that answers, but gives no report. */
const ANSWERS_ONLY = { fetchReport: () => Promise.resolve(undefined) };

test("answers that a living server lost blame no request and call no server dead", async () => {
  const core = createCore(["a", "b", "c", "d"], ANSWERS_ONLY);
  for (let loss = 0; loss < 3; loss++) {
    await send(core, failsWith(FailureCause.Closed), "unlucky");
    await sleep(JUDGED_MS);
  }
  expect(core.context.suspicions.snapshot()).toEqual([]);
  expect(core.servers.unreachableServers()).toEqual([]);
  expect(await send(core, responds(200), "unlucky")).toBe("whole");
});

test("a living server is avoided longer for each answer that it lost", async () => {
  let nowMs = performance.now();
  const core = createCore(["a"], { ...ANSWERS_ONLY, now: () => nowMs });
  for (const avoidedMs of [600, 1_200, 2_400, 4_000, 4_000]) {
    await send(core, failsWith(FailureCause.Closed), "unlucky");
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
      send(core, failsWith(FailureCause.Closed), fingerprint)
    ),
  );
  await sleep(JUDGED_MS);
  expect(core.context.suspicions.snapshot()).toEqual([]);
});

test("what one entry blames, another one refuses", async () => {
  const core = createCore(["a"]);
  const other = createCore(["a"]);
  core.context.suspicions.record("bad" as Fingerprint, 3);
  other.mergeDigest({ ...core.createDigest(), entry: "entry-2" as never });
  expect(await send(other, responds(200), "bad")).toBe("refused not_run");
});
