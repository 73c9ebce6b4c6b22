#!/usr/bin/env node
/** The steward daemon: holds a lease and runs maintenance tasks. */

import { runDaemon } from "./run_daemon.ts";

await runDaemon(async () => {
  const { loadSteward } = await import("./steward_program.ts");
  return await loadSteward();
});
