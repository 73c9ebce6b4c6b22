#!/usr/bin/env node
/** The steward daemon: holds a lease and runs maintenance tasks. */

import { createServer } from "node:http";
import process from "node:process";
import { openKeyValueStore } from "../../platform/open_key_value_store.ts";
import { collectDefaultMetrics, Gauge, Registry } from "prom-client";
import { listen, sendJson } from "../connection/http_server.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import { createLog } from "../process/log.ts";
import { ExitCode, PROGRAM_VERSION } from "../process/exit_code.ts";
import { loadSettings } from "../process/program.ts";
import { parseStewardSettings } from "../process/settings.ts";
import { Steward } from "../process/steward.ts";

const settings = await loadSettings(
  "gypsumridge-steward",
  parseStewardSettings,
);
const log = createLog({
  program: settings.id,
  level: settings.logLevel,
});
const platform = openKeyValueStore({
  address: settings.platformAddress,
  timeoutMs: settings.platformTimeoutMs,
});
const steward = Steward.create({ settings, log, platform });
const registry = new Registry();
collectDefaultMetrics({ register: registry });
const holderGauge = new Gauge({
  name: "gypsumridge_steward_holder",
  help: "Whether this steward holds the lease",
  registers: [registry],
});

const server = createServer(async (request, response) => {
  if (request.url !== "/metrics") {
    return sendJson(response, 200, { status: "ok" });
  }
  holderGauge.set(steward.isLeaseHolder ? 1 : 0);
  response.writeHead(200, { "content-type": registry.contentType });
  response.end(await registry.metrics());
});
const port = await listen(server, settings.host, settings.port);
log(LOG_EVENTS.started, { version: PROGRAM_VERSION });
process.stdout.write(`${JSON.stringify({ port })}\n`);

process.once("SIGTERM", () => {
  steward.close();
  log(LOG_EVENTS.stopped);
  process.exit(ExitCode.Success);
});
await steward.run();
