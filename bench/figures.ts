/** Report of a measurement: figures, bounds and their output as JSON. */

import process from "node:process";

/** A measured value and its limit. */
export interface Bound {
  readonly name: string;
  readonly value: number;
  readonly limit: number;
  /** Whether the limit is an upper or a lower one. */
  readonly side: "at_most" | "at_least";
}

/** What a measurement reports. */
export interface Report {
  readonly measurement: string;
  readonly seed: number;
  readonly figures: Readonly<Record<string, unknown>>;
  readonly bounds: readonly Bound[];
}

const ROUNDING_FACTOR = 1_000;

/** Rounds to three decimals. */
export function round(value: number): number {
  return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
}

/** Whether a value is within its limit. */
export function isWithinBound({ value, limit, side }: Bound): boolean {
  return side === "at_most" ? value <= limit : value >= limit;
}

/** Prints a report as one JSON line and sets exit code 1 if a bound fails. */
export function printReport(report: Report): void {
  const bounds = report.bounds.map((bound) => ({
    ...bound,
    value: round(bound.value),
    holds: isWithinBound(bound),
  }));
  const hasPassed = bounds.every((bound) => bound.holds);
  const line = { ...report, bounds, passed: hasPassed };
  process.stdout.write(`${JSON.stringify(line)}\n`);
  process.exitCode = hasPassed ? 0 : 1;
}
