/** Tests that a pause that a server asked for does not hide its failure. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createScriptedOpener,
  createServer,
  RecordedCaller,
  sendsEvents,
} from "./scripted.ts";

test("a stream leaves a server that stays silent within a pause that the server asked for", async () => {
  const servers = ["a1", "b1"].map((name) => createServer(name));
  const relay = createRelay(servers);
  const { open, targets } = createScriptedOpener([
    sendsEvents(1, 1, "silent"),
    sendsEvents(2, 2, "whole"),
  ]);
  const caller = RecordedCaller.create();
  const deadlineMs = performance.now() + 4_000;
  const served = serveRequest(relay.context, {
    request: createRequest({
      callerDeadlineMs: deadlineMs,
      routeDeadlineMs: deadlineMs,
    }),
    caller,
    open,
  });
  await sleep(50);
  const [silent] = servers.filter(({ name }) =>
    name === targets[0]?.server.name
  );
  if (silent === undefined) throw new Error("the stream was not sent");
  relay.servers.holdOff(silent, 10_000);
  // The platform permits few requests within a pause; this uses up the report.
  await relay.context.reports.fetch(silent).catch(() => undefined);
  await served;
  expect(caller.summary).toBe("200 whole: 1 2 ");
});
