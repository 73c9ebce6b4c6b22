/** What all programs share that costs nothing to load. */

import { InvalidInput, messageOf } from "../errors.ts";
import { formatFinding } from "../version/finding.ts";

/** Exit codes of all programs. */
export enum ExitCode {
  Success = 0,
  Failure = 1,
  /** The command line or an input file is wrong. */
  InvalidInput = 2,
  /** Another operator's change came first. */
  Conflict = 3,
  /** The platform could not be reached. */
  Unavailable = 4,
}

/** Version that `--version` prints. */
export const PROGRAM_VERSION = "0.1.0";

/** Returns all findings of an input error, one a line. */
export function describeInputError(error: unknown): string {
  if (!(error instanceof InvalidInput)) return messageOf(error);
  return ["input is wrong:", ...error.findings.map(formatFinding)].join("\n");
}
