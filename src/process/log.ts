/**
 * Structured logs on standard output: one JSON line for each numbered event, by
 * winston. Lines beyond a rate are dropped and counted, and none is waited for.
 */

import winston from "winston";
import { BoundedOutput } from "./bounded_output.ts";
import { LOG_EVENTS, type LogEvent, Severity } from "./log_events.ts";

/** Details that a log line carries besides its event. */
export type LogDetails = Readonly<
  Record<string, string | number | boolean | readonly string[]>
>;

/** Writes one event. */
export type Log = (event: LogEvent, details?: LogDetails) => void;

/** How a log is made. */
export interface LogOptions {
  /** Name of the process, on each line. */
  readonly program: string;
  readonly level: string;
  /** Called with the count of dropped lines, at most once a second. */
  readonly onLinesDropped?: (count: number) => void;
}

const STANDARD_OUTPUT = 1;
/** Lines of severity info in one second; warnings are not counted. */
const INFO_LINES_PER_S = 400;
const MS_PER_S = 1_000;

/** Returns the log of a process. */
export function createLog(
  { program, level, onLinesDropped: onDropped }: LogOptions,
): Log {
  const output = BoundedOutput.create(STANDARD_OUTPUT);
  const logger = winston.createLogger({
    level,
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    defaultMeta: { program },
    transports: [new winston.transports.Stream({ stream: output })],
  });
  const write: Log = (event, details = {}) => {
    logger.log(event.severity, event.text, { event: event.number, ...details });
  };
  let second = 0;
  let lines = 0;
  let dropped = 0;
  const beginSecond = (now: number) => {
    second = now;
    lines = 0;
    const count = dropped + output.takeDroppedCount();
    dropped = 0;
    if (count === 0) return;
    onDropped?.(count);
    write(LOG_EVENTS.logLinesDropped, { count });
  };
  return (event, details) => {
    const now = Math.floor(performance.now() / MS_PER_S);
    if (now !== second) beginSecond(now);
    const isCounted = event.severity === Severity.Info;
    if (isCounted && ++lines > INFO_LINES_PER_S) dropped++;
    else write(event, details);
  };
}
