/** Loads the settings of a steward daemon and runs the steward. */

import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { collectDefaultMetrics, Gauge, Registry } from "prom-client";
import { HttpObjectStore } from "../../platform/http_object_store.ts";
import { openKeyValueStore } from "../../platform/open_key_value_store.ts";
import { DOOR_OPTIONS, guardDoor } from "../connection/guarded_door.ts";
import { listen, sendJson } from "../connection/http_server.ts";
import { CallerGuard, Shed } from "../process/caller_guard.ts";
import { ExitCode, PROGRAM_VERSION } from "../process/exit_code.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import { createLog } from "../process/log.ts";
import { type Daemon, fileSource, loadSettings } from "../process/program.ts";
import { machineSize } from "../process/machine_size.ts";
import {
  FIXED_STEWARD_SETTINGS,
  parseStewardSettings,
} from "../process/settings.ts";
import { SettingsFile } from "../process/settings_file.ts";
import { Steward } from "../process/steward.ts";

/** Loads the settings; ends the process if they are invalid. */
export async function loadSteward(): Promise<Daemon> {
  const source = fileSource(parseStewardSettings);
  const loaded = await loadSettings("gypsumridge-steward", source);
  const { settings } = loaded;
  const log = createLog({ program: settings.id, level: settings.logLevel });
  const objects = HttpObjectStore.create({
    address: settings.platformAddress,
    timeoutMs: settings.platformTimeoutMs,
  });
  const platform = openKeyValueStore(objects);
  const steward = Steward.create({ settings, log, platform });
  const file = SettingsFile.create({
    ...source,
    loaded,
    log,
    fixedKeys: FIXED_STEWARD_SETTINGS,
    onChange: (changed) => {
      objects.setAddress(changed.platformAddress);
      steward.applySettings(changed);
    },
  });
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const holderGauge = new Gauge({
    name: "gypsumridge_steward_holder",
    help: "Whether this steward holds the lease",
    registers: [registry],
  });
  const guard = CallerGuard.create({
    machine: machineSize(settings.machine),
    registry,
    log,
    now: () => performance.now(),
  });
  const server = createServer(DOOR_OPTIONS, async (request, response) => {
    if (request.url !== "/metrics") {
      return sendJson(response, 200, { status: "ok" });
    }
    holderGauge.set(steward.isLeaseHolder ? 1 : 0);
    response.writeHead(200, { "content-type": registry.contentType });
    response.end(await registry.metrics());
  });
  guardDoor(server, {
    connectionsMax: guard.limits.probes,
    load: guard.load,
    onClosed: () => guard.record(Shed.Probe),
  });
  return {
    start: async () => {
      const port = await listen(server, settings.host, settings.port);
      file.watch();
      log(LOG_EVENTS.started, { version: PROGRAM_VERSION });
      process.stdout.write(`${JSON.stringify({ port })}\n`);
      steward.run();
    },
    stop: () => {
      steward.close();
      log(LOG_EVENTS.stopped);
      return Promise.resolve(ExitCode.Success);
    },
    forceStop: () => undefined,
    refreshSettings: () => {
      log(LOG_EVENTS.settingsFileChanged);
      file.refresh();
    },
  };
}
