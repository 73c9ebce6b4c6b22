/** Structured logs: one JSON line for each numbered event, by winston. */

import winston from "winston";
import type { EventKind } from "./event_catalog.ts";

/** Details that a log line carries besides its event. */
export type LogDetails = Readonly<
  Record<string, string | number | boolean | readonly string[]>
>;

/** Writes one event. */
export type Log = (event: EventKind, details?: LogDetails) => void;

/** Returns a log of a process that writes JSON lines to standard error. */
export function createLog(program: string, level: string): Log {
  const logger = winston.createLogger({
    level,
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    defaultMeta: { program },
    transports: [
      new winston.transports.Console({
        stderrLevels: ["error", "warn", "info"],
      }),
    ],
  });
  return (event, details = {}) => {
    logger.log(event.severity, event.text, { event: event.number, ...details });
  };
}
