#!/usr/bin/env node
/** The entry daemon. */

import process from "node:process";
import { openValues } from "../../platform/open_values.ts";
import { Entry } from "../process/entry.ts";
import { EVENTS } from "../process/event_catalog.ts";
import { createLog } from "../process/log.ts";
import { ExitCode, PROGRAM_VERSION } from "../process/exit_code.ts";
import { loadSettings } from "../process/program.ts";
import { readEntrySettings } from "../process/settings.ts";

const settings = await loadSettings("gypsumridge-entry", readEntrySettings);
const log = createLog({
  program: settings.id,
  level: settings.logLevel,
});
const platform = openValues({
  address: settings.platformAddress,
  timeoutMs: settings.platformTimeoutMs,
});
const entry = Entry.create({ settings, log, platform });
log(EVENTS.started, { version: PROGRAM_VERSION });
const ports = await entry.start();
process.stdout.write(`${JSON.stringify(ports)}\n`);

process.once("SIGTERM", async () => {
  process.once("SIGTERM", () => {
    log(EVENTS.stopForced);
    process.exit(ExitCode.Failure);
  });
  const isClean = await entry.stop();
  process.exit(isClean ? ExitCode.Success : ExitCode.Failure);
});
