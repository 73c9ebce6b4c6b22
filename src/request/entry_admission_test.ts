/** Tests until when requests are sent during a graceful shutdown. */

import { expect, test } from "vitest";
import { entryClosingMs } from "./entry_admission.ts";

const SHUTDOWN = { startMs: 1_000, noticeEndMs: 4_000, endMs: 31_000 };

test("a request that came in time is sent while it can complete before the deadline", () => {
  const times = { receivedMs: 4_000, durationMs: 2_000 };
  expect(entryClosingMs(times, SHUTDOWN)).toBe(29_000);
});

test("a request that came after the notice is not sent, however long the deadline", () => {
  for (const receivedMs of [4_001, undefined]) {
    const times = { receivedMs, durationMs: 0 };
    expect(entryClosingMs(times, SHUTDOWN)).toBe(4_000);
  }
});

test("within the notice a request is sent however long it may take", () => {
  const times = { receivedMs: 500, durationMs: 60_000 };
  expect(entryClosingMs(times, SHUTDOWN)).toBe(4_000);
});
