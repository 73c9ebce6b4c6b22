/**
 * Tests that requests are refused at once, with the earliest end, when all
 * servers have asked for a pause.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { FailureCause, RequestErrorType } from "../../src/errors.ts";
import { RequestKind } from "../../src/request/proxy_request.ts";
import { KINDS, LONG_MS, PLAIN_SERVERS, serversFor } from "./held_off.ts";
import {
  createRelay,
  failsWith,
  rejectsWithPause,
  reportsNotRun,
  responds,
  sendsEvents,
  serveScripts,
} from "./scripted.ts";

/** Time within which a request counts as refused at once, in ms. */
const AT_ONCE_MS = 150;
const FULL_LOAD = { requests: 100, tokens: 0, unreadTokens: 0 };

test.for(KINDS)(
  "a %s request is refused at once with the earliest end when all servers have a pause",
  async (kind) => {
    const relay = createRelay(serversFor(kind));
    const first = await serveScripts(
      relay,
      [rejectsWithPause(LONG_MS), rejectsWithPause(LONG_MS / 2)],
      { kind },
    );
    const second = await serveScripts(relay, [], { kind });
    for (const { caller: { refusal }, tookMs } of [first, second]) {
      expect(refusal?.type).toBe(RequestErrorType.NotRun);
      expect(refusal?.retryAfterS).toBeGreaterThan(LONG_MS / 2_000 - 1);
      expect(refusal?.retryAfterS).toBeLessThanOrEqual(LONG_MS / 2_000);
      expect(tookMs).toBeLessThan(AT_ONCE_MS);
    }
    expect(first.names.length).toBe(2);
  },
);

test("a call that may have run is not refused as not run when the other server has a pause", async () => {
  const relay = createRelay(PLAIN_SERVERS);
  const { caller: { refusal }, tookMs } = await serveScripts(
    relay,
    [failsWith(FailureCause.Closed), rejectsWithPause(LONG_MS)],
    { kind: RequestKind.Idempotent },
  );
  expect(refusal?.type).toBe(RequestErrorType.OutcomeUnknown);
  expect(refusal?.retryAfterS).toBeUndefined();
  expect(tookMs).toBeLessThan(AT_ONCE_MS);
});

test.for(KINDS)(
  "a queued %s request is refused when its last server asks for a pause",
  async (kind) => {
    const [server] = serversFor(kind);
    if (server === undefined) throw new Error("no server");
    const relay = createRelay([server]);
    relay.servers.begin(server.name, FULL_LOAD);
    const served = serveScripts(relay, [], { kind });
    await sleep(50);
    relay.servers.holdOff(server, LONG_MS);
    const { caller: { refusal }, tookMs } = await served;
    expect(refusal?.type).toBe(RequestErrorType.NotRun);
    expect(refusal?.retryAfterS).toBeGreaterThan(LONG_MS / 1_000 - 1);
    expect(tookMs).toBeLessThan(50 + AT_ONCE_MS);
  },
);

test("a queued request is refused when the last server without a pause is unlisted", async () => {
  const relay = createRelay(PLAIN_SERVERS);
  const [held, full] = PLAIN_SERVERS;
  if (held === undefined || full === undefined) throw new Error("no servers");
  relay.servers.begin(full.name, FULL_LOAD);
  relay.servers.holdOff(held, LONG_MS);
  const served = serveScripts(relay, [], { kind: RequestKind.Idempotent });
  await sleep(50);
  relay.servers.delete(full.name);
  const { caller: { refusal }, tookMs } = await served;
  expect(refusal?.type).toBe(RequestErrorType.NotRun);
  expect(tookMs).toBeLessThan(50 + AT_ONCE_MS);
});

test.for([
  { kind: RequestKind.Idempotent, script: reportsNotRun() },
  { kind: RequestKind.Stream, script: failsWith(FailureCause.Closed) },
])(
  "a $kind request goes back to a server that declined or failed it when the other has a pause",
  async ({ kind, script }) => {
    const relay = createRelay(serversFor(kind), {
      fetchReport: () => Promise.reject(new Error("no response")),
    });
    const { caller: { status }, names } = await serveScripts(relay, [
      script,
      rejectsWithPause(LONG_MS),
      kind === RequestKind.Stream ? sendsEvents(1, 1, "whole") : responds(200),
    ], { kind });
    expect(status).toBe(200);
    expect(names[2]).toBe(names[0]);
  },
);

test("a queued call waits for a server that declined it, not for another one's pause", async () => {
  const [held, full] = PLAIN_SERVERS;
  if (held === undefined || full === undefined) throw new Error("no servers");
  const relay = createRelay(PLAIN_SERVERS);
  relay.servers.holdOff(held, LONG_MS);
  const { caller: { status }, names } = await serveScripts(
    relay,
    [reportsNotRun(), responds(200)],
    { kind: RequestKind.NonIdempotent },
  );
  expect(status).toBe(200);
  expect(names).toEqual([full.name, full.name]);
});
