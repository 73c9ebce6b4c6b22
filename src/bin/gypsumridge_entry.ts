#!/usr/bin/env node
/** The entry daemon: accepts requests and proxies them to backend servers. */

import process from "node:process";
import { openKeyValueStore } from "../../platform/open_key_value_store.ts";
import { Entry } from "../process/entry.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import { createLog } from "../process/log.ts";
import { ExitCode, PROGRAM_VERSION } from "../process/exit_code.ts";
import { loadSettings } from "../process/program.ts";
import { parseEntrySettings } from "../process/settings.ts";

const settings = await loadSettings("gypsumridge-entry", parseEntrySettings);
const log = createLog({
  program: settings.id,
  level: settings.logLevel,
});
const platform = openKeyValueStore({
  address: settings.platformAddress,
  timeoutMs: settings.platformTimeoutMs,
});
const entry = Entry.create({ settings, log, platform });
log(LOG_EVENTS.started, { version: PROGRAM_VERSION });
const ports = await entry.start();
process.stdout.write(`${JSON.stringify(ports)}\n`);

process.once("SIGTERM", async () => {
  process.once("SIGTERM", () => {
    log(LOG_EVENTS.shutdownForced);
    entry.endRequests();
    process.exit(ExitCode.Failure);
  });
  const isClean = await entry.stop();
  process.exit(isClean ? ExitCode.Success : ExitCode.Failure);
});
