#!/usr/bin/env node
/** Command line tool for operators. */

import process from "node:process";
import yargs, { type Argv } from "yargs";
import { hideBin } from "yargs/helpers";
import { openKeyValueStore } from "../../platform/open_key_value_store.ts";
import type { KeyValueStore } from "../connection/key_value_store.ts";
import { InvalidInput, messageOf, PlatformUnavailable } from "../errors.ts";
import type { Command, CommandArguments } from "../process/commands/command.ts";
import { formatDifference } from "../process/commands/command.ts";
import { COMMANDS } from "../process/commands/command_table.ts";
import {
  describeInputError,
  ExitCode,
  PROGRAM_VERSION,
} from "../process/exit_code.ts";
import { PublishConflict } from "../version/publisher.ts";

const PLATFORM_TIMEOUT_MS = 5_000;

async function runCommand(command: Command, args: unknown): Promise<void> {
  const { platform } = args as { readonly platform: string };
  let store: KeyValueStore | undefined;
  const openStore = () =>
    store ??= openKeyValueStore({
      address: platform,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    });
  try {
    process.exitCode = await command.run({
      args: args as CommandArguments,
      platform: openStore,
      print: (line) => process.stdout.write(`${line}\n`),
    });
  } catch (error) {
    process.exitCode = reportError(error);
  } finally {
    store?.close();
  }
}

function reportError(error: unknown): ExitCode {
  if (error instanceof PublishConflict) {
    const { audit } = error.winner;
    const lines = [
      `conflict: ${error.message}: ${audit.reason}`,
      ...audit.differences.map(formatDifference),
      "nothing was published; read the revision in force and try again",
    ];
    process.stderr.write(`${lines.join("\n")}\n`);
    return ExitCode.Conflict;
  }
  if (error instanceof PlatformUnavailable) {
    process.stderr.write(`${messageOf(error)}\n`);
    return ExitCode.Unavailable;
  }
  process.stderr.write(`${describeInputError(error)}\n`);
  return error instanceof InvalidInput
    ? ExitCode.InvalidInput
    : ExitCode.Failure;
}

let parser: Argv = yargs(hideBin(process.argv))
  .scriptName("gypsumridge")
  .version(PROGRAM_VERSION)
  .option("platform", {
    type: "string",
    default: process.env.GYPSUMRIDGE_PLATFORM ?? "127.0.0.1:7000",
    describe: "IP:port of the platform's object API",
  })
  .demandCommand(1)
  .strict()
  .fail((message, error, usage) => {
    process.stderr.write(`gypsumridge: ${message ?? messageOf(error)}\n`);
    usage.showHelp("error");
    process.exit(ExitCode.InvalidInput);
  });
for (const command of COMMANDS) {
  parser = parser.command(
    command.usage,
    command.describe,
    (argv) => command.options(argv),
    (args) => runCommand(command, args),
  );
}
await parser.parseAsync();
