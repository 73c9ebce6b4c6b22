/**
 * Structured logs on standard output: winston writes each numbered event as one
 * JSON line. Info lines above a rate, and lines that do not fit the output's
 * buffer, are dropped and counted; writes never block.
 */

import winston from "winston";
import { BoundedOutput } from "./bounded_output.ts";
import { LOG_EVENTS, type LogEvent, Severity } from "./log_events.ts";

/** Fields of a log line besides those of its event. */
export type LogDetails = Readonly<
  Record<string, string | number | boolean | readonly string[]>
>;

/** Logs one event. */
export type Log = (event: LogEvent, details?: LogDetails) => void;

/** Options of `createLog`. */
export interface LogOptions {
  /** Name of the process; part of each line. */
  readonly program: string;
  readonly level: string;
  /** Called with the number of dropped lines, at most once per second. */
  readonly onLinesDropped?: (count: number) => void;
}

const STDOUT_DESCRIPTOR = 1;
/** Lines of severity info per second; warnings and errors are not limited. */
const INFO_LINES_MAX_PER_S = 400;
const MS_PER_S = 1_000;

/** Creates the log of a process. */
export function createLog(
  { program, level, onLinesDropped }: LogOptions,
): Log {
  const output = BoundedOutput.create(STDOUT_DESCRIPTOR);
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
  let currentSecond = 0;
  let infoLines = 0;
  let droppedCount = 0;
  const startSecond = (now: number) => {
    currentSecond = now;
    infoLines = 0;
    const count = droppedCount + output.takeDroppedCount();
    droppedCount = 0;
    if (count === 0) return;
    onLinesDropped?.(count);
    write(LOG_EVENTS.logLinesDropped, { count });
  };
  return (event, details) => {
    const now = Math.floor(performance.now() / MS_PER_S);
    if (now !== currentSecond) startSecond(now);
    const isRateLimited = event.severity === Severity.Info;
    if (isRateLimited && ++infoLines > INFO_LINES_MAX_PER_S) droppedCount++;
    else write(event, details);
  };
}
