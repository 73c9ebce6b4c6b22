#!/usr/bin/env node
/** The entry daemon: accepts requests and proxies them to backend servers. */

import { runDaemon } from "./run_daemon.ts";

await runDaemon(async () => {
  const { loadEntry } = await import("./entry_program.ts");
  return await loadEntry();
});
