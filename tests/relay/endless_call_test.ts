/** Tests what a caller receives when a call's response exceeds all limits. */

import { expect, test } from "vitest";
import { RequestKind } from "../../src/request/proxy_request.ts";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createScriptedOpener,
  createServer,
  PLAIN_SERVICE,
  RecordedCaller,
  responds,
} from "./scripted.ts";

const SERVERS = ["a1", "b1", "c1"].map((name) =>
  createServer(name, { service: PLAIN_SERVICE })
);
const TOO_LARGE = "x".repeat(9_000_000);

async function serve(kind: RequestKind) {
  const relay = createRelay(SERVERS);
  const caller = RecordedCaller.create();
  const { open, targets } = createScriptedOpener([
    responds(200, TOO_LARGE),
    responds(200, "whole"),
  ]);
  const request = createRequest({ kind, maxAttempts: 2 });
  await serveRequest(relay.context, { request, caller, open });
  return { caller, relay, targets };
}

test("a retryable call with too large a response goes to another server", async () => {
  const { caller, relay, targets } = await serve(RequestKind.Idempotent);
  expect(caller.summary).toBe("200 whole: whole");
  expect(relay.servers.isUsable(targets[0]?.server.name ?? "")).toBe(false);
  expect(relay.context.responseBuffers.totalBytes).toBe(0);
});

test("the outcome of another call with too large a response is unknown", async () => {
  const { caller, targets } = await serve(RequestKind.NonIdempotent);
  expect(caller.ending).toBe("refused outcome_unknown");
  expect(targets).toHaveLength(1);
});
