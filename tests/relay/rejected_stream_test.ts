/** Tests that a stream that a server rejects does not count against it. */

import { expect, test } from "vitest";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createScriptedOpener,
  createServer,
  RecordedCaller,
  responds,
  sendsEvents,
  type ServerScript,
} from "./scripted.ts";

const SERVERS = ["a1", "b1", "c1"].map((name) => createServer(name));

async function serveScripts(scripts: readonly ServerScript[]) {
  const relay = createRelay(SERVERS, {
    fetchReport: () => Promise.resolve(undefined),
  });
  const { open, targets } = createScriptedOpener(scripts);
  const caller = RecordedCaller.create();
  const request = createRequest();
  await serveRequest(relay.context, { request, caller, open });
  const areUsable = targets.map(({ server }) =>
    relay.servers.isUsable(server.name)
  );
  return { caller, areUsable };
}

test("a 4xx response to a stream is forwarded, and its server stays in use", async () => {
  const { caller, areUsable } = await serveScripts([responds(400, "bad")]);
  expect(caller.summary).toBe("400 whole: bad");
  expect(areUsable).toEqual([true]);
});

test("a begun stream that gets a 4xx response resumes elsewhere, and the server stays in use", async () => {
  const { caller, areUsable } = await serveScripts([
    sendsEvents(1, 2, "cut"),
    responds(400),
    sendsEvents(3, 4, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 3 4 ");
  expect(areUsable[1]).toBe(true);
});

test("a 5xx response ejects its server, and the stream continues elsewhere", async () => {
  const { caller, areUsable } = await serveScripts([
    responds(500),
    sendsEvents(1, 2, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 ");
  expect(areUsable).toEqual([false, true]);
});

test.for([
  responds(500, "HTTP/1.1 500 Error\r\n\r\nout of memory"),
  responds(503, "id: 3\ndata: error\n\n"),
  responds(302, "id: 3\ndata: error\n\n"),
])(
  "an error that follows a begun stream does not reach its caller",
  async (fails) => {
    const scripts = [sendsEvents(1, 2, "cut"), fails];
    const resumed = await serveScripts([
      ...scripts,
      sendsEvents(3, 4, "whole"),
    ]);
    expect(resumed.caller.summary).toBe("200 whole: 1 2 3 4 ");
    const last = Array.from({ length: 4 }, () => fails);
    const { caller } = await serveScripts([sendsEvents(1, 2, "cut"), ...last]);
    expect(caller.summary).toBe("200 broken off: 1 2 ");
  },
);

test("a stream without a length that ends before its first event is sent again", async () => {
  const { caller } = await serveScripts([
    (target) => {
      target.onSent();
      return Promise.resolve({
        head: { status: 200, headers: [], isFramed: false },
        hasNotRun: false,
        isMisdirected: false,
        body: async function* () {},
      });
    },
    sendsEvents(1, 2, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 ");
});
