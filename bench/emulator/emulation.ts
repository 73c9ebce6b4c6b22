/**
 * Entries that know of each other only by digests, before emulated engines, in
 * virtual time: what callers get under a load, whichever way places are chosen.
 */

import type { EmulatedCaller } from "./emulated_caller.ts";
import { type RequestClass, scheduleArrivals } from "./emulated_load.ts";
import { EmulatedCluster, type EmulationOptions } from "./emulated_cluster.ts";
import { runInVirtualTime } from "./virtual_time.ts";

/** What became of one class. */
export interface EmulatedClassResults {
  readonly name: string;
  readonly sent: number;
  /** Whole answers that kept their target, pauses and deadline. */
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly broken: number;
  /** Mean time to the end of an answer on time, in ms. */
  readonly wholeAfterMs: number;
  /** Mean time to a refusal, in ms. */
  readonly refusedAfterMs: number;
  /** Share on time of the worst-served customer of the class. */
  readonly worstCustomer: number;
}

/** Runs a load to its end. */
export async function emulate(
  options: EmulationOptions,
): Promise<readonly EmulatedClassResults[]> {
  const callers = new Map<RequestClass, EmulatedCaller[]>(
    options.classes.map((kind) => [kind, []]),
  );
  const longestMs = Math.max(...options.classes.map((kind) => kind.deadlineMs));
  await runInVirtualTime(options.durationMs + longestMs, (clock) => {
    const world = EmulatedCluster.create(options, clock);
    for (const span of options.slowdowns ?? []) world.applySlowdown(span);
    for (
      const { atMs, requestClass: kind, entry, index } of scheduleArrivals(
        options,
      )
    ) {
      setTimeout(() => {
        callers.get(kind)?.push(world.send(kind, { entry, index }));
      }, atMs);
    }
  });
  return [...callers].map(([kind, held]) => countFigures(kind.name, held));
}

function countFigures(
  name: string,
  callers: readonly EmulatedCaller[],
): EmulatedClassResults {
  const count = (wanted: EmulatedCaller["outcome"]) =>
    callers.filter(({ outcome: ending }) => ending === wanted).length;
  const meanMs = (wanted: EmulatedCaller["outcome"]) => {
    const ended = callers.filter(({ outcome: ending }) => ending === wanted);
    const sumMs = ended.reduce(
      (sum, { durationMs: tookMs }) => sum + tookMs,
      0,
    );
    return Math.round(sumMs / Math.max(1, ended.length));
  };
  const customers = [...new Set(callers.map(({ customer }) => customer))];
  const shares = customers.map((customer) => {
    const own = callers.filter((caller) => caller.customer === customer);
    return own.filter(({ outcome: ending }) => ending === "on time").length /
      own.length;
  });
  return {
    name,
    sent: callers.length,
    onTime: count("on time"),
    late: count("late"),
    refused: count("refused"),
    broken: count("broken") + count("open"),
    wholeAfterMs: meanMs("on time"),
    refusedAfterMs: meanMs("refused"),
    worstCustomer: Math.min(1, ...shares),
  };
}
