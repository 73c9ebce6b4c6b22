#!/usr/bin/env node
/** Load generator: seeded open-loop load of one class; prints one JSON line. */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { ExitCode, PROGRAM_VERSION } from "../process/exit_code.ts";
import { runLoad } from "../process/load_generator.ts";

const args = await yargs(hideBin(process.argv))
  .scriptName("gypsumridge-load")
  .version(PROGRAM_VERSION)
  .option("entry", {
    type: "string",
    array: true,
    demandOption: true,
    describe: "IP:port of an entry; may be given more than once",
  })
  .option("key", { type: "string", demandOption: true, describe: "bearer key" })
  .option("service", { type: "string", demandOption: true })
  .option("rank", { type: "string", demandOption: true })
  .option("rate", {
    type: "number",
    default: 10,
    describe: "requests per second",
  })
  .option("duration", { type: "number", default: 10, describe: "in seconds" })
  .option("tokens", { type: "number", default: 50, describe: "per response" })
  .option("prompt", { type: "number", default: 200, describe: "in characters" })
  .option("target", { type: "number", default: 880, describe: "in ms" })
  .option("seed", { type: "number", default: 1 })
  .check(({ rate, duration }) => {
    if (rate > 0 && duration > 0) return true;
    throw new Error("--rate and --duration must be greater than 0");
  })
  .strict()
  .fail((message, error, usage) => {
    process.stderr.write(`gypsumridge-load: ${message ?? error.message}\n`);
    usage.showHelp("error");
    process.exit(ExitCode.InvalidInput);
  })
  .parse();

const [figures] = await runLoad({
  entries: args.entry,
  seed: args.seed,
  window: { startS: 0, endS: args.duration },
  classes: [{
    name: args.rank,
    key: args.key,
    service: args.service,
    rank: args.rank,
    ratePerS: args.rate,
    startS: 0,
    endS: args.duration,
    promptCharacters: args.prompt,
    maxTokens: args.tokens,
    targetMs: args.target,
  }],
});
process.stdout.write(`${JSON.stringify({ seed: args.seed, ...figures })}\n`);
