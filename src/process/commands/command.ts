/** Types and helpers shared by the commands of the operators' tool. */

import { readFile } from "node:fs/promises";
import type { Argv } from "yargs";
import type { KeyValueStore } from "../../connection/key_value_store.ts";
import { InvalidInput } from "../../errors.ts";
import {
  type ParsedDeployment,
  parseDeployment,
} from "../../version/parse_deployment.ts";
import type { Difference, Manifest } from "../../version/types.ts";
import type { ExitCode } from "../exit_code.ts";

/** Parsed arguments of all commands; each command reads only its own. */
export interface CommandArguments {
  readonly files: readonly string[];
  readonly objects: readonly string[];
  readonly operator: string;
  readonly reason: string;
  readonly base: number | undefined;
  readonly revision: number | undefined;
  readonly limit: number;
  readonly json: boolean;
  /** Log files to read instead of the platform. */
  readonly logs: readonly string[];
}

/** Arguments, store and output of a command. */
export interface CommandContext {
  readonly args: CommandArguments;
  /** Opens the store of the platform given by `--platform`. */
  readonly platform: () => KeyValueStore;
  /** Writes one line to standard output. */
  readonly print: (line: string) => void;
}

/** One command of the operators' tool. */
export interface Command {
  /** Name and positional arguments, in the syntax of yargs. */
  readonly usage: string;
  readonly describe: string;
  readonly options: (argv: Argv) => Argv;
  readonly run: (context: CommandContext) => Promise<ExitCode>;
}

/** Adds the options of commands that publish a change. */
export function addChangeOptions(argv: Argv): Argv {
  return argv
    .option("operator", {
      type: "string",
      demandOption: true,
      describe: "name of the operator, for the audit trail",
    })
    .option("reason", {
      type: "string",
      demandOption: true,
      describe: "reason of the change, for the audit trail",
    })
    .option("base", {
      type: "number",
      describe: "revision that the change is based on",
    });
}

/** Adds the positional argument with the deployment files. */
export function addFileArguments(argv: Argv): Argv {
  return argv.positional("files", {
    type: "string",
    array: true,
    demandOption: true,
    describe: "INI files that together define the whole deployment",
  });
}

/** Reads and validates deployment files. Errors: `InvalidInput`. */
export async function readDeploymentFiles(
  files: readonly string[],
): Promise<ParsedDeployment> {
  const sources = await Promise.all(files.map(async (name) => ({
    name,
    text: await readFile(name, "utf8"),
  })));
  const parsed = parseDeployment(sources);
  if (parsed.findings.length > 0) throw new InvalidInput(parsed.findings);
  return parsed;
}

/** Returns a difference formatted as one line. */
export function formatDifference({ change, kind, name }: Difference): string {
  return `  ${change} ${kind} ${name}`;
}

/** Prints the audit record of a manifest. */
export function printManifest(
  print: CommandContext["print"],
  { revision, audit }: Manifest,
): void {
  print(`revision ${revision}  ${audit.time}  ${audit.operator}`);
  print(`  reason: ${audit.reason}`);
  for (const difference of audit.differences) {
    print(formatDifference(difference));
  }
}
