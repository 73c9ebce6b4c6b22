/** What the daemons share: the command line, checked settings, exit codes. */

import { readFile } from "node:fs/promises";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
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

/** Reads the file that `--settings` names with `read`; exits when it is wrong. */
export async function loadSettings<Settings>(
  program: string,
  read: (source: string, text: string) => Settings,
): Promise<Settings> {
  const { settings } = await yargs(hideBin(process.argv))
    .scriptName(program)
    .version(PROGRAM_VERSION)
    .option("settings", {
      type: "string",
      demandOption: true,
      describe: "INI file with the settings",
    })
    .strict()
    .exitProcess(true)
    .fail((message, error, usage) => {
      process.stderr.write(`${program}: ${message ?? messageOf(error)}\n`);
      usage.showHelp("error");
      process.exit(ExitCode.InvalidInput);
    })
    .parse();
  try {
    return read(settings, await readFile(settings, "utf8"));
  } catch (error) {
    process.stderr.write(`${program}: ${describeInputError(error)}\n`);
    process.exit(ExitCode.InvalidInput);
  }
}

/** Returns all findings of an input error, one a line. */
export function describeInputError(error: unknown): string {
  if (!(error instanceof InvalidInput)) return messageOf(error);
  return ["input is wrong:", ...error.findings.map(formatFinding)].join("\n");
}
