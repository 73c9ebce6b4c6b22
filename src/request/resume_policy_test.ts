/** Tests how the attempts of a begun stream are paced. */

import { expect, test } from "vitest";
import { createRelay, createRequest } from "../../tests/relay/scripted.ts";
import { resumeDelayMs, waitForRetry } from "./resume_policy.ts";

test("the first attempts follow at once, the next ones with a growing delay", () => {
  const delays = Array.from({ length: 10 }, (_, count) => resumeDelayMs(count));
  expect(delays).toEqual([0, 0, 0, 0, 100, 200, 400, 800, 1_000, 1_000]);
});

test("a stream stops waiting for a retry when its caller disconnects", async () => {
  const { context } = createRelay([], { retryAllowance: 0 });
  const startMs = performance.now();
  const hasRetry = await waitForRetry(context, {
    request: createRequest(),
    signal: AbortSignal.timeout(50),
    delayMs: 1_000,
  });
  expect(hasRetry).toBe(false);
  expect(performance.now() - startMs).toBeLessThan(500);
});

test("a wait for a retry ends at the deadline, even if the delay is longer", async () => {
  const { context } = createRelay([]);
  const startMs = performance.now();
  const hasRetry = await waitForRetry(context, {
    request: createRequest({ routeDeadlineMs: startMs + 100 }),
    signal: new AbortController().signal,
    delayMs: 1_000,
  });
  expect(hasRetry).toBe(false);
  expect(performance.now() - startMs).toBeLessThan(500);
});
