/** Tests what is reported when callbacks wait for the event loop. */

import { Registry } from "prom-client";
import { afterEach, expect, test } from "vitest";
import { EventLoopMonitor } from "./event_loop_monitor.ts";
import type { LogDetails } from "./log.ts";
import { LOG_EVENTS } from "./log_events.ts";

const BLOCKED_MS = 500;
const REPORTED = { timeout: 3_000 };
const logged: LogDetails[] = [];
let monitor: EventLoopMonitor;

afterEach(() => {
  monitor.close();
  logged.length = 0;
});

function startMonitor(): Registry {
  const registry = new Registry();
  monitor = EventLoopMonitor.create({
    registry,
    log: (event, details = {}) => {
      expect(event).toBe(LOG_EVENTS.eventLoopDelayed);
      logged.push(details);
    },
  });
  return registry;
}

function blockEventLoop(): void {
  const endMs = performance.now() + BLOCKED_MS;
  while (performance.now() < endMs);
}

test("a blocked event loop is logged and measured", async () => {
  const registry = startMonitor();
  setTimeout(blockEventLoop, 200);
  await expect.poll(() => logged, REPORTED).toHaveLength(1);
  expect(Number(logged[0]?.max_ms)).toBeGreaterThan(BLOCKED_MS * 0.8);
  expect(Number(logged[0]?.max_ms)).toBeLessThan(BLOCKED_MS * 2);
  const { values } = await registry
    .getSingleMetric("gypsumridge_event_loop_delay_seconds")?.get() ?? {};
  const below = (seconds: number) =>
    values?.find(({ labels }) => Number(labels.le) === seconds)?.value;
  expect(below(2)).toBeGreaterThan(Number(below(0.2)));
});

test("an idle event loop is measured and not logged", async () => {
  const registry = startMonitor();
  const metric = "gypsumridge_event_loop_delay_seconds_count 1";
  await expect.poll(() => registry.metrics(), REPORTED).toContain(metric);
  expect(logged).toEqual([]);
});
