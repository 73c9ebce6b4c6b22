/** Exit codes, version and error texts of all programs; cheap to import. */

import { InvalidInput, messageOf } from "../errors.ts";
import { formatFinding } from "../version/finding.ts";

/** Exit codes of all programs. */
export enum ExitCode {
  Success = 0,
  Failure = 1,
  /** The command line or an input file is invalid. */
  InvalidInput = 2,
  /** Another operator published first. */
  Conflict = 3,
  /** The platform could not be reached. */
  Unavailable = 4,
}

/** Version that `--version` prints. */
export const PROGRAM_VERSION = "0.1.0";

/** Returns the text of an error: for invalid input one finding per line. */
export function describeInputError(error: unknown): string {
  if (!(error instanceof InvalidInput)) return messageOf(error);
  return ["invalid input:", ...error.findings.map(formatFinding)].join("\n");
}
