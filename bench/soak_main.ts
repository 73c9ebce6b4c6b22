/** `npm run soak`: runs soak tests and prints one JSON line per seed. */

import { writeFile } from "node:fs/promises";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { SchedulePattern } from "./soak/fault_schedule.ts";
import { REGRESSION_SEEDS, type SoakCase } from "./soak/regression_seeds.ts";
import { runSoak } from "./soak/run_soak.ts";

const { seed, seeds, seconds, regression, ...size } = await yargs(
  hideBin(process.argv),
)
  .usage("soak: runs a cluster of processes under random faults")
  .option("seed", { type: "number", default: 1, describe: "first seed" })
  .option("seeds", { type: "number", default: 1, describe: "number of seeds" })
  .option("regression", {
    type: "boolean",
    default: false,
    describe: "run the seeds that have failed before",
  })
  .option("seconds", {
    type: "number",
    default: 15,
    describe: "duration of the faults",
  })
  .option("entries", { type: "number", default: 3 })
  .option("servers", { type: "number", default: 9 })
  .option("callers", {
    type: "number",
    describe: "concurrent callers of each request kind",
  })
  .option("pattern", {
    choices: Object.values(SchedulePattern),
    describe: "pattern of the faults; by default, the seed chooses one",
  })
  .option("lane", {
    type: "number",
    default: 1,
    describe: "1 to 254; different for each concurrent soak",
  })
  .option("logs", {
    type: "string",
    describe: "folder for the entries' logs of seeds with findings",
  })
  .strict()
  .parse();

// The exit handler kills the child processes, which a signal alone would not.
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.once(signal, () => process.exit(1));
}
const { entries, servers, callers, lane, logs } = size;
const cases: readonly SoakCase[] = regression
  ? REGRESSION_SEEDS
  : Array.from({ length: seeds }, (_, at) => ({
    seed: seed + at,
    seconds,
    ...size.pattern !== undefined && { pattern: size.pattern },
  }));
let failedCount = 0;
for (const { seed, seconds, pattern } of cases) {
  const result = await runSoak({
    seed,
    durationMs: seconds * 1_000,
    entries,
    servers,
    lane,
    ...callers !== undefined && { callers },
    ...pattern !== undefined && { pattern },
  });
  const { logs: lines, faults, ...summary } = result;
  const hasFindings = result.findings.length > 0;
  if (hasFindings) failedCount++;
  const reported = hasFindings ? { ...summary, faults } : summary;
  process.stdout.write(`${JSON.stringify(reported)}\n`);
  if (hasFindings && logs !== undefined) {
    await writeFile(`${logs}/seed-${seed}.log`, `${lines.join("\n")}\n`);
  }
}
const seedCount = cases.length;
process.stdout.write(
  `${seedCount - failedCount} of ${seedCount} seeds without a finding\n`,
);
process.exit(failedCount === 0 ? 0 : 1);
