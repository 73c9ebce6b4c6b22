/**
 * Tests that a request survives a healthy server that sends nothing for a
 * while, not even a report, and then recovers.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import type { RequestId } from "../../src/ids.ts";
import type { RegisteredServer } from "../../src/process/registered_server.ts";
import type { Relay } from "../../src/process/relay.ts";
import {
  type ProxyRequest,
  RequestKind,
} from "../../src/request/proxy_request.ts";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createScriptedOpener,
  createServer,
  hangs,
  Pause,
  pausesFor,
  PLAIN_SERVICE,
  RecordedCaller,
  responds,
  sendsEvents,
} from "./scripted.ts";

const ENGINES = ["a1", "b1", "c1"].map((name) => createServer(name));
const PLAIN_SERVERS = ["a1", "b1", "c1"].map((name) =>
  createServer(name, { service: PLAIN_SERVICE })
);
const SILENCE_MS = 1_200;

/** Conditions under which no other server can take over. */
const OBSTACLES = {
  "the stream may not be resumed": { isResumable: false },
  "no other server is left": { serverCount: 1 },
  "the retry budget is exhausted": { retryAllowance: 0 },
  "no attempts are left": { maxAttempts: 1 },
} as const;

/** Returns a request with enough time for the silence. */
function createLongRequest(changes: Partial<ProxyRequest>): ProxyRequest {
  const deadlineMs = performance.now() + 4_000;
  return createRequest({
    callerDeadlineMs: deadlineMs,
    routeDeadlineMs: deadlineMs,
    ...changes,
  });
}

test.for(
  Object.values(Pause).flatMap((pause) =>
    Object.entries(OBSTACLES).map(([obstacle, changes]) => ({
      pause,
      obstacle,
      changes,
    }))
  ),
)(
  "a stream is kept while its server is silent $pause and $obstacle",
  async ({ pause, changes }) => {
    const { serverCount, retryAllowance, ...requestChanges } = {
      serverCount: ENGINES.length,
      retryAllowance: 100,
      ...changes,
    };
    const relay = createRelay(ENGINES.slice(0, serverCount), {
      retryAllowance,
    });
    const { open, targets } = createScriptedOpener([
      pausesFor(SILENCE_MS, pause),
    ]);
    const caller = RecordedCaller.create();
    const request = createLongRequest(requestChanges);
    await serveRequest(relay.context, { request, caller, open });
    expect(caller.summary).toBe("200 whole: 1 2 ");
    expect(targets.length).toBe(1);
  },
);

test.for(Object.values(Pause))(
  "a stream whose server is silent %s continues at a free server before the silence ends",
  async (pause) => {
    const relay = createRelay(ENGINES);
    const { open, targets } = createScriptedOpener([
      pausesFor(SILENCE_MS, pause),
      sendsEvents(pause === Pause.BetweenEvents ? 2 : 1, 2, "whole"),
    ]);
    const caller = RecordedCaller.create();
    const request = createLongRequest({});
    await serveRequest(relay.context, { request, caller, open });
    expect(caller.summary).toBe("200 whole: 1 2 ");
    expect(targets.length).toBe(2);
    expect(performance.now() - request.receivedMs).toBeLessThan(SILENCE_MS);
  },
);

test.for([
  { kind: RequestKind.NonIdempotent, retryAllowance: 100 },
  { kind: RequestKind.Idempotent, retryAllowance: 0 },
])(
  "a call that can't be sent elsewhere is kept while its server is silent: $kind",
  async ({ kind, retryAllowance }) => {
    const relay = createRelay(PLAIN_SERVERS, { retryAllowance });
    const { open, targets } = createScriptedOpener([
      pausesFor(SILENCE_MS, Pause.BeforeHead),
    ]);
    const caller = RecordedCaller.create();
    const request = createLongRequest({ kind });
    await serveRequest(relay.context, { request, caller, open });
    expect(caller.status).toBe(200);
    expect(targets.length).toBe(1);
  },
);

test("a call is kept at its silent server while the other servers are full", async () => {
  const relay = createRelay(PLAIN_SERVERS);
  const { open, targets } = createScriptedOpener([
    pausesFor(SILENCE_MS, Pause.BeforeHead),
  ]);
  const caller = RecordedCaller.create();
  const request = createLongRequest({ kind: RequestKind.Idempotent });
  const served = serveRequest(relay.context, { request, caller, open });
  for (const { name } of PLAIN_SERVERS) {
    relay.servers.begin(name, { requests: 20, tokens: 0, unreadTokens: 0 });
  }
  await served;
  expect(caller.status).toBe(200);
  expect(targets.length).toBe(1);
});

test("a stream that may not be resumed ends at once when its server has restarted", async () => {
  const relay = createRelay(ENGINES, {
    fetchReport: () =>
      Promise.resolve({
        startedMs: 2,
        waiting: 0,
        prefilling: 0,
        runs: new Map(),
      }),
  });
  const { open } = createScriptedOpener([sendsEvents(1, 2, "silent")]);
  const caller = RecordedCaller.create();
  const request = createLongRequest({ isResumable: false });
  await serveRequest(relay.context, { request, caller, open });
  expect(caller.summary).toBe("200 broken off: 1 2 ");
  expect(performance.now() - request.receivedMs).toBeLessThan(SILENCE_MS);
});

test("a server that was silent for a second is not reported to peers and gets new requests again", async () => {
  const endMs = performance.now() + SILENCE_MS;
  const relay = createRelay(ENGINES, {
    fetchReport: () =>
      performance.now() < endMs
        ? Promise.reject(new Error("no response"))
        : Promise.resolve(undefined),
  });
  const { open, targets } = createScriptedOpener([
    pausesFor(SILENCE_MS, Pause.BetweenEvents),
    sendsEvents(2, 2, "whole"),
  ]);
  const caller = RecordedCaller.create();
  const request = createLongRequest({});
  await serveRequest(relay.context, { request, caller, open });
  const silentServer = targets[0]?.server.name ?? "";
  expect(relay.servers.isUsable(silentServer)).toBe(false);
  expect(relay.createDigest().orders?.dead).toEqual([]);
  await expect.poll(() => relay.servers.isUsable(silentServer), {
    timeout: SILENCE_MS + 600,
  }).toBe(true);
});

/** Requests that fill the servers but the first; `free` ends them. */
function fillOtherServers(relay: Relay, target: RegisteredServer) {
  const load = { requests: 20, tokens: 0, unreadTokens: 0 };
  const others = [...relay.servers.views()]
    .map(({ server }) => server.name)
    .filter((name) => name !== target.name);
  for (const name of others) relay.servers.begin(name, load);
  return {
    free: () => others.forEach((name) => relay.servers.end(name, load)),
  };
}

test.for([RequestKind.Stream, RequestKind.Idempotent])(
  "a request that is kept at a silent server comes first when another one has room: %s",
  async (kind) => {
    const isStream = kind === RequestKind.Stream;
    const relay = createRelay(
      PLAIN_SERVERS.slice(0, 2).map((server) => ({ ...server, slots: 0.5 })),
    );
    const createPlainRequest = (id: string, targetMs: number) => {
      const request = createLongRequest({ kind, service: PLAIN_SERVICE });
      const rank = { ...request.rank, targetMs };
      return { ...request, id: id as RequestId, rank };
    };
    const { open, targets } = createScriptedOpener([
      pausesFor(5_000, isStream ? Pause.BetweenEvents : Pause.BeforeHead),
      isStream ? sendsEvents(2, 2, "whole") : responds(200),
      hangs(),
    ]);
    const caller = RecordedCaller.create();
    const served = serveRequest(relay.context, {
      request: createPlainRequest("request-1", 1_000),
      caller,
      open,
    });
    await sleep(10);
    const silentServer = targets[0]?.server;
    if (silentServer === undefined) throw new Error("no attempt was made");
    const { free } = fillOtherServers(relay, silentServer);
    const newCaller = RecordedCaller.create();
    const waiting = serveRequest(relay.context, {
      request: createPlainRequest("request-2", 4_000),
      caller: newCaller,
      open,
    });
    await sleep(1_100);
    expect(targets.length).toBe(1);
    free();
    await served;
    expect(caller.summary.startsWith("200 whole")).toBe(true);
    newCaller.disconnect();
    await waiting;
  },
);

test("a stream at a silent server continues in another zone, even at a busier server", async () => {
  const relay = createRelay(
    ["a1", "a2", "b1"].map((name) =>
      createServer(name, { service: PLAIN_SERVICE })
    ),
  );
  relay.servers.begin("b1", { requests: 2, tokens: 0, unreadTokens: 0 });
  const { open, targets } = createScriptedOpener([
    pausesFor(SILENCE_MS, Pause.BetweenEvents),
    sendsEvents(2, 2, "whole"),
  ]);
  const caller = RecordedCaller.create();
  const request = createLongRequest({ service: PLAIN_SERVICE });
  await serveRequest(relay.context, { request, caller, open });
  expect(caller.summary).toBe("200 whole: 1 2 ");
  expect(targets.map(({ server }) => server.zone))
    .toEqual(["zone-a", "zone-b"]);
});
