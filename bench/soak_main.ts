/** `npm run soak`: soaks of several seeds, one JSON line each. */

import { writeFile } from "node:fs/promises";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { REGRESSION_SEEDS } from "./soak/regression_seeds.ts";
import { runSoak } from "./soak/run_soak.ts";

const { seed, seeds, seconds, regression, ...size } = await yargs(
  hideBin(process.argv),
)
  .usage("soak: real processes under random faults")
  .option("seed", { type: "number", default: 1, describe: "first seed" })
  .option("seeds", { type: "number", default: 1, describe: "count of seeds" })
  .option("regression", {
    type: "boolean",
    default: false,
    describe: "play the seeds that failed once",
  })
  .option("seconds", { type: "number", default: 15, describe: "of faults" })
  .option("entries", { type: "number", default: 3 })
  .option("servers", { type: "number", default: 9 })
  .option("lane", {
    type: "number",
    default: 1,
    describe: "differs for soaks that run at the same time, up to 254",
  })
  .option("logs", {
    type: "string",
    describe: "folder for the entries' logs of a seed with findings",
  })
  .strict()
  .parse();

// An end by signal ends the started processes too.
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.once(signal, () => process.exit(1));
}
const cases = regression
  ? REGRESSION_SEEDS
  : Array.from({ length: seeds }, (_, at) => ({ seed: seed + at, seconds }));
let failed = 0;
for (const { seed, seconds } of cases) {
  const { entries, servers, lane, logs } = size;
  const result = await runSoak({
    seed,
    durationMs: seconds * 1_000,
    entries,
    servers,
    lane,
  });
  const { logs: lines, faults, ...shown } = result;
  const hasFindings = result.findings.length > 0;
  if (hasFindings) failed++;
  const details = hasFindings ? { ...shown, faults } : shown;
  process.stdout.write(`${JSON.stringify(details)}\n`);
  if (hasFindings && logs !== undefined) {
    await writeFile(`${logs}/seed-${seed}.log`, `${lines.join("\n")}\n`);
  }
}
const count = cases.length;
process.stdout.write(`${count - failed} of ${count} seeds without a finding\n`);
process.exit(failed === 0 ? 0 : 1);
