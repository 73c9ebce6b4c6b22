/** Tests that an entry serves addresses that its settings name later. */

import { afterEach, expect, test } from "vitest";
import { reservePort } from "../bench/reserve_port.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import {
  HOST,
  type LocalEntry,
  startLocalEntry,
} from "./local_platform_entry.ts";

let local: LocalEntry;
const logged: unknown[] = [];

afterEach(async () => await local.entry.close());

async function start(): Promise<void> {
  // Nothing listens there: the entry stays without a configuration.
  const storeAddress = `${HOST}:${await reservePort()}`;
  local = await startLocalEntry("entry-1", storeAddress, {
    log: ({ number }) => logged.push(number),
  });
}

async function statusOf(address: string): Promise<number> {
  const headers = { "x-deadline-ms": "100" };
  return (await fetch(`http://${address}/`, { headers })).status;
}

test("a changed address for callers or probes is served, and the earlier one still is", async () => {
  await start();
  const { entry, settings } = local;
  const changed = {
    ...settings,
    callerAddress: `${HOST}:${await reservePort()}`,
    readinessAddress: `${HOST}:${await reservePort()}`,
  };
  entry.applySettings(changed);
  for (const { callerAddress, readinessAddress } of [settings, changed]) {
    expect(await statusOf(callerAddress)).toBe(503);
    expect(await statusOf(readinessAddress)).toBe(503);
  }
});

test("a changed address that can't be served is logged", async () => {
  await start();
  const { entry, settings } = local;
  // From a network that is for documentation.
  entry.applySettings({ ...settings, callerAddress: "192.0.2.1:8740" });
  await expect.poll(() => logged)
    .toContain(LOG_EVENTS.settingsNeedRestart.number);
  expect(await statusOf(settings.callerAddress)).toBe(503);
});
