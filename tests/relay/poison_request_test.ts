/** Tests that a request that crashes its servers is refused, and no other. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { FailureCause } from "../../src/errors.ts";
import type { Fingerprint, RequestId } from "../../src/ids.ts";
import { scoreCause } from "../../src/process/crash_weight.ts";
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

/** Longer than a relay takes to attribute a failure to a request, in ms. */
const ATTRIBUTION_WAIT_MS = 500;
/** Time from receipt to deadline of each call, in ms. */
const CALLER_DEADLINE_MS = 3_000;

function createZonedRelay(
  zones: readonly string[],
  options: Parameters<typeof createRelay>[1] = {},
) {
  const servers = zones.map((zone, at) =>
    createServer(`${zone}${at}`, { service: PLAIN_SERVICE, zone })
  );
  return createRelay(servers, options);
}

/** Sends one non-idempotent call and returns how it ended. */
async function send(
  relay: ReturnType<typeof createZonedRelay>,
  script: ServerScript,
  fingerprint: string,
): Promise<string> {
  const caller = RecordedCaller.create();
  const nowMs = relay.context.now();
  const request = createRequest({
    receivedMs: nowMs,
    callerDeadlineMs: nowMs + CALLER_DEADLINE_MS,
    routeDeadlineMs: nowMs + CALLER_DEADLINE_MS,
    id: `request-${Math.random()}` as RequestId,
    kind: RequestKind.NonIdempotent,
    fingerprint: fingerprint as Fingerprint,
    maxAttempts: 1,
  });
  const { open } = createScriptedOpener([script]);
  await serveRequest(relay.context, { request, caller, open });
  return caller.ending;
}

test("a request is refused after three crashes, other requests are not", async () => {
  const relay = createZonedRelay(["a", "b", "c", "d"]);
  for (let crash = 0; crash < 3; crash++) {
    const ending = await send(relay, failsWith(FailureCause.Closed), "bad");
    expect(ending).toBe("refused outcome_unknown");
    await sleep(ATTRIBUTION_WAIT_MS);
  }
  expect(await send(relay, responds(200), "bad")).toBe("refused not_run");
  expect(await send(relay, responds(200), "good")).toBe("whole");
});

test("a server's own error does not prove a request harmless", async () => {
  const relay = createZonedRelay(["a", "b", "c", "d"]);
  const crashes = failsWith(FailureCause.Closed);
  for (const script of [crashes, crashes, responds(500), crashes]) {
    await send(relay, script, "bad");
    await sleep(ATTRIBUTION_WAIT_MS);
  }
  expect(await send(relay, responds(200), "bad")).toBe("refused not_run");
});

/** Relay options: each server is reachable but gives no report. */
const WITHOUT_REPORTS = { fetchReport: () => Promise.resolve(undefined) };

test("connections that a live server closes raise no suspicion and mark no server unreachable", async () => {
  const relay = createZonedRelay(["a", "b", "c", "d"], WITHOUT_REPORTS);
  for (let failure = 0; failure < 3; failure++) {
    await send(relay, failsWith(FailureCause.Closed), "unlucky");
    await sleep(ATTRIBUTION_WAIT_MS);
  }
  expect(relay.context.crashAccount.size).toBe(0);
  expect(relay.servers.unreachableServers()).toEqual([]);
  expect(await send(relay, responds(200), "unlucky")).toBe("whole");
});

test("a server that gave a report just before it crashed is not taken for alive", async () => {
  let isUp = true;
  const relay = createZonedRelay(["a"], {
    fetchReport: () =>
      isUp ? Promise.resolve(undefined) : Promise.reject(new Error("refused")),
  });
  const [view] = relay.servers.views();
  if (view === undefined) throw new Error("no server");
  await relay.context.reports.fetch(view.server);
  await sleep(10);
  isUp = false;
  await send(relay, failsWith(FailureCause.Closed), "bad");
  await sleep(ATTRIBUTION_WAIT_MS);
  expect(relay.context.crashAccount.size).toBe(1);
});

test("a live server is ejected longer for each call that it leaves unanswered", async () => {
  let nowMs = performance.now();
  const relay = createZonedRelay(["a"], {
    ...WITHOUT_REPORTS,
    now: () => nowMs,
  });
  for (const ejectedMs of [600, 1_200, 2_400, 4_000, 4_000]) {
    await send(relay, failsWith(FailureCause.Closed), "unlucky");
    nowMs += ejectedMs - 1;
    expect(relay.servers.isUsable("a0")).toBe(false);
    nowMs += 1;
    expect(relay.servers.isUsable("a0")).toBe(true);
  }
});

test("the loss of a whole zone counts half and once against a request, and refuses none", async () => {
  // All servers are in the lost zone, so that all four calls go there.
  const relay = createZonedRelay(["a", "a", "a", "a"]);
  await Promise.all(
    ["one", "two", "one", "one"].map((fingerprint) =>
      send(relay, failsWith(FailureCause.Closed), fingerprint)
    ),
  );
  await sleep(ATTRIBUTION_WAIT_MS);
  expect(relay.context.crashAccount.blocks()).toEqual([]);
  const crashes = relay.context.crashAccount.crashes();
  const causes = new Set(crashes.flatMap(({ runs }) => runs[0]?.causes ?? []));
  const scores = [...causes].map((cause) => scoreCause(crashes, cause));
  expect(scores).toEqual([0.5, 0.5]);
});

test("a request that one entry suspects is refused by another one", async () => {
  const relay = createZonedRelay(["a", "b", "c", "d"]);
  const otherRelay = createZonedRelay(["a"]);
  for (let crash = 0; crash < 3; crash++) {
    await send(relay, failsWith(FailureCause.Closed), "bad");
    await sleep(ATTRIBUTION_WAIT_MS);
  }
  otherRelay.mergeDigest({
    ...relay.createDigest(),
    entry: "entry-2" as never,
  });
  expect(await send(otherRelay, responds(200), "bad")).toBe("refused not_run");
});
