/** Tests that a silent attempt is given up only for a slot that it gets. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import type { RequestId } from "../../src/ids.ts";
import type { RegisteredServer } from "../../src/process/registered_server.ts";
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
  Pause,
  pausesFor,
  PLAIN_SERVICE,
  RecordedCaller,
  reportsNotRun,
  responds,
  sendsEvents,
  type ServerScript,
} from "./scripted.ts";

const SILENCE_MS = 1_200;
/** Time after which a silent server's report fails, in ms. */
const REPORT_TIMEOUT_MS = 150;

type ServerScripts = Readonly<Record<string, ServerScript>>;

/** Serves a request with one script for each server. */
function serveAt(
  relay: ReturnType<typeof createRelay>,
  scripts: ServerScripts,
  changes: Partial<ProxyRequest> = {},
) {
  const deadlineMs = performance.now() + 4_000;
  const request = createRequest({
    callerDeadlineMs: deadlineMs,
    routeDeadlineMs: deadlineMs,
    ...changes,
  });
  const caller = RecordedCaller.create();
  const targets: string[] = [];
  const served = serveRequest(relay.context, {
    request,
    caller,
    open: (target) => {
      const { name } = target.server as RegisteredServer;
      targets.push(name);
      const script = scripts[name];
      if (script === undefined) throw new Error(`no script for ${name}`);
      return script(target);
    },
  });
  return { caller, targets, served };
}

/** Creates two servers with `slots`, of which only the first has free slots. */
function createServers(slots: number) {
  const servers = ["a1", "b1"].map((name) =>
    createServer(name, { service: PLAIN_SERVICE, slots: slots / 2 })
  );
  const relay = createRelay(servers, {
    fetchReport: async () => {
      await sleep(REPORT_TIMEOUT_MS);
      throw new Error("no response");
    },
  });
  relay.servers.begin("b1", { requests: slots, tokens: 0, unreadTokens: 0 });
  const freeSlot = () =>
    relay.servers.end("b1", { requests: 1, tokens: 0, unreadTokens: 0 });
  return { relay, freeSlot };
}

test.for([Pause.BeforeFirstEvent, Pause.BetweenEvents])(
  "one free slot does not end several attempts at a server that is silent %s",
  async (pause) => {
    const { relay, freeSlot } = createServers(4);
    const isBegun = pause === Pause.BetweenEvents;
    const streams = [1, 2, 3].map((index) =>
      serveAt(relay, {
        a1: pausesFor(SILENCE_MS, pause),
        b1: async (target) => {
          await sleep(2_000);
          return sendsEvents(isBegun ? 2 : 1, 2, "whole")(target);
        },
      }, {
        id: `request-${index}` as RequestId,
        service: PLAIN_SERVICE,
        promptTokens: 0,
      })
    );
    await sleep(100);
    freeSlot();
    await Promise.all(streams.map(({ served }) => served));
    expect(streams.map(({ targets }) => targets.length).sort())
      .toEqual([1, 1, 2]);
    expect(streams.map(({ caller }) => caller.summary))
      .toEqual(Array.from({ length: 3 }, () => "200 whole: 1 2 "));
    expect(relay.servers.view("a1")?.ownLoad.requests).toBe(0);
    expect(relay.servers.view("b1")?.ownLoad.requests).toBe(3);
  },
);

test.for([
  { when: "before its first event", delivered: 0 },
  { when: "between events", delivered: 1 },
])(
  "a stream at a server that stays silent $when gets a slot before new requests",
  async ({ delivered }) => {
    const { relay, freeSlot } = createServers(2);
    const kept = serveAt(relay, {
      a1: sendsEvents(1, delivered, "silent"),
      b1: sendsEvents(delivered + 1, 2, "whole"),
    }, { service: PLAIN_SERVICE });
    relay.servers.begin("a1", { requests: 1, tokens: 0, unreadTokens: 0 });
    await sleep(900);
    const waiting = [1, 2, 3, 4, 5, 6].map((index) =>
      serveAt(relay, {
        b1: async (target) => {
          await sleep(500);
          return sendsEvents(1, 1, "whole")(target);
        },
      }, {
        id: `new-${index}` as RequestId,
        service: PLAIN_SERVICE,
        rank: { ...createRequest().rank, targetMs: 10_000 },
      })
    );
    await sleep(200);
    freeSlot();
    await kept.served;
    expect(kept.caller.summary).toBe("200 whole: 1 2 ");
    for (const { caller } of waiting) caller.disconnect();
    await Promise.all(waiting.map(({ served }) => served));
  },
);

test("a call is not given up for a free server that has just refused it", async () => {
  const servers = ["a1", "b1", "c1"].map((name) =>
    createServer(name, { service: PLAIN_SERVICE })
  );
  const relay = createRelay(servers);
  const { open, targets } = createScriptedOpener([
    reportsNotRun(),
    pausesFor(SILENCE_MS, Pause.BeforeHead),
    responds(200),
  ]);
  const full = { requests: 20, tokens: 0, unreadTokens: 0 };
  relay.servers.begin("c1", full);
  const deadlineMs = performance.now() + 4_000;
  const request = createRequest({
    kind: RequestKind.Idempotent,
    callerDeadlineMs: deadlineMs,
    routeDeadlineMs: deadlineMs,
  });
  const caller = RecordedCaller.create();
  await serveRequest(relay.context, { request, caller, open });
  expect(targets.map(({ server }) => server.name)).not.toContain("c1");
  expect(caller.status).toBe(200);
  expect(relay.servers.ownLoads().map(([name]) => name)).toEqual(["c1"]);
});

test("a stream leaves the queue when its silent server recovers", async () => {
  const { relay, freeSlot } = createServers(2);
  const { caller, targets, served } = serveAt(relay, {
    a1: pausesFor(SILENCE_MS, Pause.BetweenEvents),
  }, { service: PLAIN_SERVICE });
  await served;
  freeSlot();
  expect(caller.summary).toBe("200 whole: 1 2 ");
  expect(targets).toEqual(["a1"]);
  expect(relay.servers.view("b1")?.ownLoad.requests).toBe(1);
});
