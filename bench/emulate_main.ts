/** `npm run emulate`: service quality with emulated entries and engines. */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { REFERENCE_ENGINE } from "./emulator/emulated_engine.ts";
import type { RequestClass } from "./emulator/emulated_load.ts";
import { emulate } from "./emulator/emulation.ts";

const DEFAULT_SEED = 20_261_204;
const MS_PER_S = 1_000;

const args = await yargs(hideBin(process.argv))
  .option("entries", { type: "number", default: 59 })
  .option("servers", { type: "number", default: 80 })
  .option("dialled", {
    type: "number",
    default: 6,
    describe: "peers to which each entry opens a link",
  })
  .option("rate", {
    type: "number",
    default: 18.7,
    describe: "streams per second, 10 % of them urgent",
  })
  .option("slots", { type: "number", default: REFERENCE_ENGINE.slots })
  .option("burst", {
    type: "number",
    default: 1,
    describe: "factor on the rate of routine streams from 3 to 9 s",
  })
  .option("slow", {
    type: "number",
    default: 0,
    describe: "number of engines that run at a quarter speed from 8 to 14 s",
  })
  .option("seconds", { type: "number", default: 40 })
  .option("backups", { type: "boolean", default: true })
  .option("seed", { type: "number", default: DEFAULT_SEED })
  .strict()
  .parse();

/** The two request classes of the users' larger deployments. */
const URGENT: RequestClass = {
  name: "urgent",
  arrivalsPerS: args.rate * 0.1,
  promptTokens: 5_200,
  eventCount: 130,
  targetMs: 4_009,
  maxPauseMs: 700,
  deadlineMs: 25_000,
  priority: 1,
  customers: ["a", "b", "c"],
};
const ROUTINE: RequestClass = {
  ...URGENT,
  name: "routine",
  arrivalsPerS: args.rate * 0.9,
  targetMs: 10_009,
  priority: 4,
  bursts: [{ factor: args.burst, fromMs: 3_000, toMs: 9_000 }],
};

const results = await emulate({
  ...args,
  supportsKvBackup: args.backups,
  engine: { ...REFERENCE_ENGINE, slots: args.slots },
  slowdowns: [
    { engines: args.slow, slowdownFactor: 4, fromMs: 8_000, toMs: 14_000 },
  ],
  durationMs: args.seconds * MS_PER_S,
  classes: [URGENT, ROUTINE],
});
for (const line of results) process.stdout.write(`${JSON.stringify(line)}\n`);
