/** Tests which requests are accepted during a graceful shutdown. */

import { expect, test } from "vitest";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";
import { admitDuringShutdown } from "./shutdown_admission.ts";

function createRequest(kind: RequestKind): ProxyRequest {
  const deadlines = { callerDeadlineMs: 60_000, routeDeadlineMs: 60_000 };
  return { kind, receivedMs: 1_000, ...deadlines } as ProxyRequest;
}

const CALL = createRequest(RequestKind.NonIdempotent);
const STREAM = createRequest(RequestKind.Stream);

test("a request that could not complete before the end is refused as not run", () => {
  const late = { elapsedMs: 5_000, remainingMs: 2_900 };
  expect(() => admitDuringShutdown(CALL, late)).toThrow("shutting down");
  const lateForStreams = { elapsedMs: 2_700, remainingMs: 5_000 };
  expect(() => admitDuringShutdown(STREAM, lateForStreams)).toThrow(
    "shutting down",
  );
});

test("an accepted request is answered before the process ends", () => {
  const early = { elapsedMs: 1_000, remainingMs: 6_000 };
  for (const request of [CALL, STREAM]) {
    const { callerDeadlineMs } = admitDuringShutdown(request, early);
    expect(callerDeadlineMs).toBeLessThan(7_000);
    expect(callerDeadlineMs).toBeGreaterThan(6_500);
  }
});
