/** How long a server and its service count as full after a refusal. */

import { afterEach, expect, test, vi } from "vitest";
import { createServer } from "../../tests/relay/scripted.ts";
import { CapacityBackoff } from "./capacity_backoff.ts";
import { createView } from "./registered_server.ts";
import { RegisteredServerViews } from "./registered_server_views.ts";

const SERVER = createServer("a1");

function createBackoff() {
  vi.useFakeTimers();
  const views = RegisteredServerViews.create();
  views.set({ ...createView(SERVER, 0), kvCacheTokens: 1_000 });
  const onCapacityAvailable = vi.fn();
  const backoff = CapacityBackoff.create({
    now: () => performance.now(),
    log: () => undefined,
    views,
    onCapacityAvailable,
  });
  return { backoff, views, onCapacityAvailable };
}

afterEach(() => {
  vi.useRealTimers();
});

test("capacity is reported 50 ms after the last refusal", () => {
  const { backoff, views, onCapacityAvailable } = createBackoff();
  backoff.markFull(SERVER.name);
  vi.advanceTimersByTime(30);
  backoff.markFull(SERVER.name);
  const fullForMs = (views.get(SERVER.name)?.fullUntilMs ?? 0) -
    performance.now();
  expect(fullForMs).toBe(50);
  vi.advanceTimersByTime(49);
  expect(onCapacityAvailable).not.toHaveBeenCalled();
  vi.advanceTimersByTime(1);
  expect(onCapacityAvailable).toHaveBeenCalled();
});

test("a service counts as full for 2 s after a refusal, others do not", () => {
  const { backoff } = createBackoff();
  expect(backoff.wasRecentlyFull(SERVER.service)).toBe(false);
  backoff.markFull("unknown");
  expect(backoff.wasRecentlyFull(SERVER.service)).toBe(false);
  backoff.markFull(SERVER.name);
  vi.advanceTimersByTime(1_999);
  expect(backoff.wasRecentlyFull(SERVER.service)).toBe(true);
  expect(backoff.wasRecentlyFull("other")).toBe(false);
  vi.advanceTimersByTime(1);
  expect(backoff.wasRecentlyFull(SERVER.service)).toBe(false);
});
