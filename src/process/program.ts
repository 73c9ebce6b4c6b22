/** Startup of the daemons: command line and validated settings. */

import { readFile } from "node:fs/promises";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { messageOf } from "../errors.ts";
import { describeInputError, ExitCode, PROGRAM_VERSION } from "./exit_code.ts";

/**
 * Parses the file given by `--settings` with `parse`. Exits with
 * `ExitCode.InvalidInput` if the file can't be read or is invalid.
 */
export async function loadSettings<Settings>(
  program: string,
  parse: (source: string, text: string) => Settings,
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
    return parse(settings, await readFile(settings, "utf8"));
  } catch (error) {
    process.stderr.write(`${program}: ${describeInputError(error)}\n`);
    process.exit(ExitCode.InvalidInput);
  }
}
