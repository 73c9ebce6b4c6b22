/** Starts a platform entry in the test's process, on free loopback ports. */

import { reservePort } from "../bench/reserve_port.ts";
import { PlatformEntry } from "../platform/entry.ts";
import type { PlatformSettings } from "../platform/settings.ts";
import type { EntryId } from "../src/ids.ts";
import type { ExposureLimits } from "../src/rollout/exposure_budget.ts";
import type { Log } from "../src/process/log.ts";

/** Loopback IP on which entries and test servers listen. */
export const HOST = "127.0.0.1";

/** A started entry and its address for callers. */
export interface LocalEntry {
  readonly entry: PlatformEntry;
  /** IP and port for callers. */
  readonly address: string;
  readonly settings: PlatformSettings;
}

/**
 * Starts an entry that watches the object store at `storeAddress`. Errors:
 * rejects if it can't listen.
 */
export async function startLocalEntry(
  name: string,
  storeAddress: string,
  { log = () => undefined, exposureLimits }: {
    readonly log?: Log;
    /** See `PlatformSettings`. */
    readonly exposureLimits?: ExposureLimits;
  } = {},
): Promise<LocalEntry> {
  const address = `${HOST}:${await reservePort()}`;
  const settings: PlatformSettings = {
    entry: name as EntryId,
    zone: "zone-a",
    host: HOST,
    callerAddress: address,
    readinessAddress: `${HOST}:${await reservePort()}`,
    peerPort: await reservePort(),
    metricsPort: 0,
    heartbeatMs: 1_200,
    storeAddress,
    deployment: storeAddress,
    graceMs: 8_000,
    retryRatio: 1,
    retryAllowance: 100,
    retryWindowMs: 10_000,
    exposureLimits,
  };
  const entry = PlatformEntry.create(settings, log);
  await entry.start();
  return { entry, address, settings };
}
