/** Startup of the daemons: command line and validated settings. */

import { readFile } from "node:fs/promises";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { messageOf } from "../errors.ts";
import { describeInputError, ExitCode, PROGRAM_VERSION } from "./exit_code.ts";
import {
  type LoadedSettings,
  loadSettingsFile,
  type SettingsSource,
} from "./settings_file.ts";

/** A daemon that follows its settings file, as its main program drives it. */
export interface Daemon {
  /** Starts it; resolves once it listens. */
  readonly start: () => Promise<void>;
  /** Shuts it down; resolves with the process's exit code. */
  readonly stop: () => Promise<ExitCode>;
  /** Ends what `stop` still waits for; the process must end at once. */
  readonly forceStop: () => void;
  /** Reads the settings again, since the file may have changed. */
  readonly refreshSettings: () => void;
}

/** Returns how a settings file on disk is read. */
export function fileSource<Settings>(
  parse: (path: string, text: string) => Settings,
): SettingsSource<Settings> {
  return { read: (path) => readFile(path, "utf8"), parse };
}

/**
 * Loads the file given by `--settings`. Exits with `ExitCode.InvalidInput` if it
 * can't be read or is invalid.
 */
export async function loadSettings<Settings>(
  program: string,
  source: SettingsSource<Settings>,
): Promise<LoadedSettings<Settings>> {
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
    return await loadSettingsFile(settings, source);
  } catch (error) {
    process.stderr.write(`${program}: ${describeInputError(error)}\n`);
    process.exit(ExitCode.InvalidInput);
  }
}
