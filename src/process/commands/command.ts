/** What the operators' commands share. */

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

/** Arguments as parsed; each command reads its own. */
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

/** What a command runs with. */
export interface CommandContext {
  readonly args: CommandArguments;
  /** Opens the platform that `--platform` names. */
  readonly platform: () => KeyValueStore;
  /** Writes one line to standard output. */
  readonly print: (line: string) => void;
}

/** One command of the operators' program. */
export interface Command {
  /** Name and positional arguments, as yargs reads them. */
  readonly usage: string;
  readonly describe: string;
  readonly options: (argv: Argv) => Argv;
  readonly run: (run: CommandContext) => Promise<ExitCode>;
}

/** Adds the options of commands that change the deployment. */
export function addChangeOptions(argv: Argv): Argv {
  return argv
    .option("operator", {
      type: "string",
      demandOption: true,
      describe: "who makes the change, for the audit trail",
    })
    .option("reason", {
      type: "string",
      demandOption: true,
      describe: "why, for the audit trail",
    })
    .option("base", {
      type: "number",
      describe: "revision that the change was prepared from",
    });
}

/** Adds the positional list of deployment files. */
export function addFileArguments(argv: Argv): Argv {
  return argv.positional("files", {
    type: "string",
    array: true,
    demandOption: true,
    describe: "INI files that together hold the whole deployment",
  });
}

/** Reads and checks deployment files. Errors: `InvalidInput`. */
export async function readDeploymentFiles(
  files: readonly string[],
): Promise<ParsedDeployment> {
  const sources = await Promise.all(files.map(async (name) => ({
    name,
    text: await readFile(name, "utf8"),
  })));
  const restored = parseDeployment(sources);
  if (restored.findings.length > 0) throw new InvalidInput(restored.findings);
  return restored;
}

/** Returns one line on a difference. */
export function formatDifference({ change, kind, name }: Difference): string {
  return `  ${change} ${kind} ${name}`;
}

/** Prints a manifest's audit record. */
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
