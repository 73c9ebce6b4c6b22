/** Tests what running daemons do when their settings change. */

import { execFile, spawn } from "node:child_process";
import { mkdtemp, open, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { expect, test } from "vitest";
import type { Child } from "../bench/child.ts";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";

const REQUEST = { prompt: "settings", maxTokens: 100 };

async function waitForEvent(child: Child, number: number): Promise<void> {
  await waitFor(
    `event ${number}`,
    () => child.logLines().some(({ event }) => event === number),
  );
}

test("SIGHUP cuts off no stream of an entry, which stops by the changed times", async () => {
  const cluster = await LocalCluster.create({
    engines: 1,
    engineSwitches: { tokenMs: 20 },
  });
  try {
    const caller = cluster.complete(REQUEST);
    await caller.waitForTokens(5);
    await cluster.changeEntrySettings(
      0,
      (text) =>
        text.replace("notice_ms = 300", "notice_ms = 100\ndeadline_ms = 500")
          .replace("peer_key = ", "peer_key = changed-")
          .replace("zone = zone-a", "zone = zone-b"),
    );
    const entry = cluster.entry();
    entry.signal("SIGHUP");
    await waitForEvent(entry, LOG_EVENTS.settingsNeedRestart.number);
    expect((await caller.ended).outcome).toBe("done");
    const changes = entry.logLines().flatMap(({ changed = [] }) => changed);
    expect(changes).toEqual([
      "peerKey",
      "shutdownNoticeMs: 300 to 100",
      "shutdownDeadlineMs: 900000 to 500",
      'zone: "zone-a" to "zone-b"',
    ]);
    const late = cluster.complete({ ...REQUEST, maxTokens: 1_000 });
    await late.waitForTokens(5);
    entry.signal("SIGTERM");
    expect(await Promise.race([entry.exited, sleep(3_000, "late")])).toBe(1);
  } finally {
    await cluster.close();
  }
});

test("SIGHUP does not end a steward, which takes over its changed interval", async () => {
  const cluster = await LocalCluster.create({ engines: 0, entries: 0 });
  try {
    const steward = await cluster.startSteward("steward-a", []);
    await cluster.writeFile(
      "steward-a.ini",
      `[steward]\nid = steward-a\ninterval_ms = 300\n[platform]\naddress = ${cluster.platform.address}`,
    );
    steward.signal("SIGHUP");
    await waitForEvent(steward, LOG_EVENTS.settingsApplied.number);
    expect(steward.hasExited).toBe(false);
  } finally {
    await cluster.close();
  }
});

test.each(["SIGHUP", "SIGTERM"] as const)(
  "%s while an entry reads its settings is handled",
  async (signal) => {
    const folder = await mkdtemp(join(tmpdir(), "gypsumridge-settings-"));
    const path = join(folder, "entry.ini");
    await promisify(execFile)("mkfifo", [path]);
    const program = fileURLToPath(
      new URL("../dist/src/bin/gypsumridge_entry.js", import.meta.url),
    );
    const child = spawn(process.execPath, [program, "--settings", path]);
    const exited = new Promise((resolve) =>
      child.once("exit", (code, killedBy) => resolve(killedBy ?? code))
    );
    // Opens once the process reads from the other end.
    const file = await open(path, "w");
    child.kill(signal);
    const outcome = await Promise.race([exited, sleep(500, "running")]);
    expect(outcome).toBe(signal === "SIGHUP" ? "running" : 0);
    child.kill("SIGKILL");
    await file.close();
    await rm(folder, { recursive: true });
  },
);
