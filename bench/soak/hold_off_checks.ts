/** Checks of a soak with servers that ask for pauses. */

import type { Arrival } from "../../standins/arrival.ts";
import { FaultKind } from "./fault_schedule.ts";
import {
  type CallerRecord,
  isEntryUnaffected,
  type SoakFinding,
  type SoakObservations,
} from "./soak_checks.ts";

/** What reached one server. */
export interface ServerArrivals {
  /** Index of the server, as in `Fault.target`. */
  readonly target: number;
  readonly arrivals: readonly Arrival[];
}

/** Time after which an entry must obey a pause, in ms. */
const HONOR_AFTER_MS = 500;
/** Requests of an entry that may reach a server within a pause (BUDGET). */
const REQUESTS_MAX = 2;
const MS_PER_S = 1_000;

/** Checks that entries send nothing more to servers that asked for a pause. */
export function checkHoldOffs(
  { records, faultWindows, heldOffArrivals }: SoakObservations,
): readonly SoakFinding[] {
  const byPath = new Map(records.map((record) => [record.path, record]));
  return heldOffArrivals.flatMap(({ target, arrivals }) => {
    const sent = arrivals.flatMap((arrival) => {
      const record = byPath.get(arrival.path);
      return record === undefined ? [] : [{ ...arrival, record }];
    });
    const late = sent.filter(({ retryAfter }) => retryAfter !== "")
      .map((rejected) => {
        const endMs = rejected.atMs + Number(rejected.retryAfter) * MS_PER_S;
        const isLate = (atMs: number, { entry }: CallerRecord) =>
          entry === rejected.record.entry && atMs < endMs &&
          atMs > rejected.atMs + HONOR_AFTER_MS;
        const { entry } = rejected.record;
        const period = { entry, fromMs: rejected.atMs, toMs: endMs };
        // Another start of the server has asked for no pause.
        const isSameStart = !faultWindows.some((fault) =>
          fault.target === target && fault.kind === FaultKind.ServerKill &&
          fault.startMs < endMs && fault.endMs > rejected.atMs
        );
        const isBound = isSameStart && isEntryUnaffected(faultWindows, period);
        const count = sent.filter(({ atMs, record }) => isLate(atMs, record))
          .length;
        return { entry, count: isBound ? count : 0 };
      })
      .find(({ count }) => count > REQUESTS_MAX);
    if (late === undefined) return [];
    const detail = `${late.count} requests of entry ${late.entry} reached ` +
      `server ${target} in a pause that it had asked for`;
    return [{ rule: "budget", detail }];
  });
}
