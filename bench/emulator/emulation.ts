/**
 * Emulates entries, which know each other's placements only from digests, and
 * their backend servers in virtual time, and counts how callers are served.
 */

import type { EmulatedCaller } from "./emulated_caller.ts";
import { type RequestClass, scheduleArrivals } from "./emulated_load.ts";
import { EmulatedCluster, type EmulationOptions } from "./emulated_cluster.ts";
import { runInVirtualTime } from "./virtual_time.ts";

/** Outcomes of the requests of one class. */
export interface EmulatedClassResults {
  readonly name: string;
  readonly sent: number;
  /** Complete responses within the target, longest pause and deadline. */
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly broken: number;
  /** Mean time to the end of a response on time, in ms. */
  readonly wholeAfterMs: number;
  /** Mean time to a refusal, in ms. */
  readonly refusedAfterMs: number;
  /** Lowest fraction on time among the customers of the class. */
  readonly worstCustomer: number;
}

/** Emulates a load until its last deadline; returns results by class. */
export async function emulate(
  options: EmulationOptions,
): Promise<readonly EmulatedClassResults[]> {
  const callers = new Map<RequestClass, EmulatedCaller[]>(
    options.classes.map((requestClass) => [requestClass, []]),
  );
  const maxDeadlineMs = Math.max(
    ...options.classes.map((requestClass) => requestClass.deadlineMs),
  );
  await runInVirtualTime(options.durationMs + maxDeadlineMs, (clock) => {
    const cluster = EmulatedCluster.create(options, clock);
    for (const slowdown of options.slowdowns ?? []) {
      cluster.applySlowdown(slowdown);
    }
    for (
      const { atMs, requestClass, entry, index } of scheduleArrivals(
        options,
      )
    ) {
      setTimeout(() => {
        callers.get(requestClass)?.push(
          cluster.send(requestClass, { entry, index }),
        );
      }, atMs);
    }
  });
  return [...callers].map(([requestClass, classCallers]) =>
    summarizeClass(requestClass.name, classCallers)
  );
}

function summarizeClass(
  name: string,
  callers: readonly EmulatedCaller[],
): EmulatedClassResults {
  const count = (wanted: EmulatedCaller["outcome"]) =>
    callers.filter(({ outcome }) => outcome === wanted).length;
  const meanMs = (wanted: EmulatedCaller["outcome"]) => {
    const ended = callers.filter(({ outcome }) => outcome === wanted);
    const sumMs = ended.reduce(
      (sum, { durationMs }) => sum + durationMs,
      0,
    );
    return Math.round(sumMs / Math.max(1, ended.length));
  };
  const customers = [...new Set(callers.map(({ customer }) => customer))];
  const shares = customers.map((customer) => {
    const requests = callers.filter((caller) => caller.customer === customer);
    return requests.filter(({ outcome }) => outcome === "on time").length /
      requests.length;
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
