/** Figures of a measurement: histograms, bounds, and the one JSON line. */

import process from "node:process";

/** A value that must not be exceeded. */
export interface Bound {
  readonly name: string;
  readonly value: number;
  readonly limit: number;
  /** Whether the value must stay below or above the limit. */
  readonly side: "at_most" | "at_least";
}

/** What a measurement reports. */
export interface Report {
  readonly measurement: string;
  readonly seed: number;
  readonly figures: Readonly<Record<string, unknown>>;
  readonly bounds: readonly Bound[];
}

const DECIMALS = 1_000;

/** Rounds to three decimals. */
export function round(value: number): number {
  return Math.round(value * DECIMALS) / DECIMALS;
}

/** Whether a bound holds. */
export function isWithinBound({ value, limit, side }: Bound): boolean {
  return side === "at_most" ? value <= limit : value >= limit;
}

/** Prints a report as one JSON line; the exit code says whether it holds. */
export function printReport(report: Report): void {
  const bounds = report.bounds.map((bound) => ({
    ...bound,
    value: round(bound.value),
    holds: isWithinBound(bound),
  }));
  const isRight = bounds.every((bound) => bound.holds);
  const line = { ...report, bounds, passed: isRight };
  process.stdout.write(`${JSON.stringify(line)}\n`);
  process.exitCode = isRight ? 0 : 1;
}
