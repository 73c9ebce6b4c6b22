/** Tests until when proxied requests are sent during a graceful shutdown. */

import { expect, test } from "vitest";
import { proxyClosingMs } from "./proxy_admission.ts";
import { RequestKind } from "./proxy_request.ts";

const START_MS = 1_000;

function closingAfterMs(kind: RequestKind, durationMs: number): number {
  const shutdown = { startMs: START_MS, endMs: START_MS + durationMs };
  return proxyClosingMs(kind, shutdown) - START_MS;
}

test("streams are sent while the platform sends connections and they can complete", () => {
  expect(closingAfterMs(RequestKind.Stream, 7_760)).toBe(2_600);
  expect(closingAfterMs(RequestKind.Stream, 6_000)).toBe(1_000);
});

test("a shutdown shorter than a stream sends none", () => {
  expect(closingAfterMs(RequestKind.Stream, 3_760)).toBeLessThan(0);
});

test("a short shutdown still sends calls", () => {
  expect(closingAfterMs(RequestKind.Idempotent, 7_760)).toBe(4_760);
  expect(closingAfterMs(RequestKind.Idempotent, 1_760)).toBeGreaterThan(1_000);
  expect(closingAfterMs(RequestKind.NonIdempotent, 1_760)).toBeLessThan(1_760);
});
