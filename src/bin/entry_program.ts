/** Loads the settings of an entry daemon and runs the entry. */

import process from "node:process";
import { HttpObjectStore } from "../../platform/http_object_store.ts";
import { openKeyValueStore } from "../../platform/open_key_value_store.ts";
import { Entry } from "../process/entry.ts";
import { ExitCode, PROGRAM_VERSION } from "../process/exit_code.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import { createLog } from "../process/log.ts";
import { type Daemon, fileSource, loadSettings } from "../process/program.ts";
import {
  FIXED_ENTRY_SETTINGS,
  parseEntrySettings,
  SECRET_ENTRY_SETTINGS,
} from "../process/settings.ts";
import { SettingsFile } from "../process/settings_file.ts";

/** Loads the settings; ends the process if they are invalid. */
export async function loadEntry(): Promise<Daemon> {
  const source = fileSource(parseEntrySettings);
  const loaded = await loadSettings("gypsumridge-entry", source);
  const { settings } = loaded;
  const log = createLog({ program: settings.id, level: settings.logLevel });
  const objects = HttpObjectStore.create({
    address: settings.platformAddress,
    timeoutMs: settings.platformTimeoutMs,
  });
  const platform = openKeyValueStore(objects);
  const entry = Entry.create({ settings, log, platform });
  const file = SettingsFile.create({
    ...source,
    loaded,
    log,
    fixedKeys: FIXED_ENTRY_SETTINGS,
    secretKeys: SECRET_ENTRY_SETTINGS,
    onChange: (changed) => {
      objects.setAddress(changed.platformAddress);
      entry.applySettings(changed);
    },
  });
  log(LOG_EVENTS.started, { version: PROGRAM_VERSION });
  return {
    start: async () => {
      const ports = await entry.start();
      file.watch();
      process.stdout.write(`${JSON.stringify(ports)}\n`);
    },
    stop: async () => {
      await file.refreshForStop();
      return await entry.stop() ? ExitCode.Success : ExitCode.Failure;
    },
    forceStop: () => {
      log(LOG_EVENTS.shutdownForced);
      entry.endRequests();
    },
    refreshSettings: () => {
      log(LOG_EVENTS.settingsFileChanged);
      file.refresh();
    },
  };
}
