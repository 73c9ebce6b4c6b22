/** Tests what a caller receives when a call's response does not end. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { abortError } from "../../src/connection/backend_request.ts";
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
  type ServerScript,
} from "./scripted.ts";

const SERVERS = ["a1", "b1", "c1"].map((name) =>
  createServer(name, { service: PLAIN_SERVICE })
);
const TOO_LARGE = "x".repeat(2_200_000);

/** A server that sends one byte of its body every 20 ms. */
const respondsSlowly: ServerScript = async (target) => {
  const response = await responds(200)(target);
  return {
    ...response,
    body: async function* () {
      while (!target.signal.aborted) {
        await sleep(20);
        yield Buffer.from("x");
      }
      throw abortError(target.signal);
    },
  };
};

async function serve(
  kind: RequestKind,
  { first = responds(200, TOO_LARGE), deadlineMs = 3_000 } = {},
) {
  const relay = createRelay(SERVERS);
  const caller = RecordedCaller.create();
  const { open, targets } = createScriptedOpener([
    first,
    responds(200, "whole"),
  ]);
  const request = createRequest({
    kind,
    maxAttempts: 2,
    callerDeadlineMs: performance.now() + deadlineMs,
  });
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

test("a retryable call whose response trickles goes to another server in time", async () => {
  const { caller } = await serve(RequestKind.Idempotent, {
    first: respondsSlowly,
  });
  expect(caller.summary).toBe("200 whole: whole");
});

test("another call whose response trickles ends at its deadline", async () => {
  const startMs = performance.now();
  const { caller, targets } = await serve(RequestKind.NonIdempotent, {
    first: respondsSlowly,
    deadlineMs: 300,
  });
  expect(caller.ending).toBe("refused outcome_unknown");
  expect(targets).toHaveLength(1);
  expect(performance.now() - startMs).toBeLessThan(1_000);
});
