/** `npm run measure -- NAME`: runs a measurement and prints a JSON report. */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { printReport, type Report } from "./figures.ts";
import { measurePath } from "./measure_path.ts";
import {
  measureCustomers,
  measureFlood,
  measureRanks,
} from "./measure_policy.ts";
import { measureResume } from "./measure_resume.ts";
import { measureSlopes } from "./measure_slopes.ts";

const MEASUREMENTS: Readonly<
  Record<string, (seed: number) => Promise<Report>>
> = {
  path: measurePath,
  customers: measureCustomers,
  flood: measureFlood,
  ranks: measureRanks,
  resume: measureResume,
  slopes: measureSlopes,
};

const DEFAULT_SEED = 20_261_204;

const { name, seed } = await yargs(hideBin(process.argv))
  .command(
    "$0 <name>",
    "run one measurement",
    (argv) =>
      argv.positional("name", {
        type: "string",
        choices: Object.keys(MEASUREMENTS),
        demandOption: true,
      }),
  )
  .option("seed", { type: "number", default: DEFAULT_SEED })
  .strict()
  .parse() as unknown as { readonly name: string; readonly seed: number };

const measure = MEASUREMENTS[name];
if (measure !== undefined) printReport(await measure(seed));
