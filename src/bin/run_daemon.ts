/** Runs a daemon until SIGTERM. */

import process from "node:process";
import { ExitCode } from "../process/exit_code.ts";
import type { Daemon } from "../process/program.ts";

/**
 * Loads and starts a daemon. SIGTERM shuts it down, a second one ends it at
 * once; SIGHUP makes it read its settings again.
 */
export async function runDaemon(load: () => Promise<Daemon>): Promise<void> {
  const running: { daemon?: Daemon } = {};
  let isStopping = false;
  // The default action of both signals is to end the process, so the handlers
  // are installed before the other modules are loaded.
  process.on("SIGTERM", async () => {
    const { daemon } = running;
    if (isStopping) {
      daemon?.forceStop();
      process.exit(ExitCode.Failure);
    }
    isStopping = true;
    process.exit(await daemon?.stop() ?? ExitCode.Success);
  });
  process.on("SIGHUP", () => running.daemon?.refreshSettings());
  running.daemon = await load();
  await running.daemon.start();
}
