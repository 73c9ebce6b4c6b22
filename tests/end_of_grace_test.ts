/**
 * Tests what an entry process still sends at the end of its grace period, before
 * the platform kills it.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { reservePort } from "../bench/reserve_port.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import {
  createConfiguration,
  formatRequest,
  RawCaller,
} from "./scripted_platform.ts";

/** An IP of its own, since all entries have the same metrics port. */
const HOST = `127.8.${(process.pid >> 7) % 250}.${process.pid % 125 + 1}`;
const SERVER_HOST = "127.0.0.1";
const PROGRAM = fileURLToPath(
  new URL("../dist/platform/main.js", import.meta.url),
);
const OUTCOME_UNKNOWN = /HTTP\/1\.1 504 [^]*?"outcome_unknown"/g;

let cluster: LocalCluster;
let store: HttpObjectStore;
let server: Server;
let folder: string;
let entryProcess: ChildProcess;
let port: number;
let receivedCount: number;

beforeEach(async () => {
  cluster = await LocalCluster.create({ engines: 0, entries: 0 });
  const { address } = cluster.platform;
  store = HttpObjectStore.create({ address, timeoutMs: 1_000 });
  receivedCount = 0;
  // Answers nothing, so that all requests are open at the end.
  server = createServer((request, response) => {
    if (request.url === "/v1/report") return void response.end("{}");
    receivedCount++;
  });
  await new Promise<void>((resolve) => server.listen(0, SERVER_HOST, resolve));
  const { port: serverPort } = server.address() as AddressInfo;
  await store.create("servers", {
    name: "i-1",
    spec: {
      service: "engines",
      address: `${SERVER_HOST}:${serverPort}`,
      zone: "zone-a",
      slots: 4,
      state: "ready",
      born: 1,
    },
  });
  await store.create("config", {
    name: "main",
    spec: createConfiguration(1, {}),
  });
  folder = await mkdtemp(join(tmpdir(), "gypsumridge-grace-"));
});

afterEach(async () => {
  entryProcess.kill("SIGKILL");
  store.close();
  server.close();
  server.closeAllConnections();
  await cluster.close();
  await rm(folder, { recursive: true, force: true });
});

async function startEntry(graceS: number): Promise<void> {
  const settingsPath = join(folder, "settings");
  port = await reservePort();
  const readyPort = await reservePort();
  const settings = [
    "nodeName=entry-1",
    "zone=zone-a",
    `ip=${HOST}`,
    `listen.frontend=${HOST}:${port}`,
    `listen.ready=${HOST}:${readyPort}`,
    `portRange=${await reservePort()},0`,
    `platform.address=${cluster.platform.address}`,
    `bounds.graceS=${graceS}`,
    "",
  ];
  await writeFile(settingsPath, settings.join("\n"));
  entryProcess = spawn(process.execPath, [PROGRAM], {
    env: { ...process.env, GYPSUMRIDGE_CONFIG: settingsPath },
    stdio: ["ignore", "ignore", "inherit"],
  });
  const fetchStatus = async () => {
    const probe = fetch(`http://${HOST}:${readyPort}/v1/readyz`);
    return (await probe.catch(() => undefined))?.status;
  };
  await expect.poll(fetchStatus, { timeout: 15_000 }).toBe(200);
}

/** Sends SIGTERM, and SIGKILL once the grace period is over, as the platform. */
async function stopEntry(graceS: number): Promise<number | null> {
  const exited = new Promise<number | null>((resolve) =>
    entryProcess.once("exit", resolve)
  );
  entryProcess.kill("SIGTERM");
  const killed = setTimeout(
    () => entryProcess.kill("SIGKILL"),
    graceS * 1_000,
  );
  const exitCode = await exited;
  clearTimeout(killed);
  return exitCode;
}

test.each([2, 3, 8])(
  "a call that is open at the end of a grace period of %i s is answered",
  async (graceS) => {
    await startEntry(graceS);
    const caller = RawCaller.create(port, HOST);
    caller.socket.write(formatRequest("/call/1"));
    await expect.poll(() => receivedCount).toBe(1);
    expect(await stopEntry(graceS)).toBe(0);
    await expect.poll(() => caller.received).toMatch(OUTCOME_UNKNOWN);
  },
);

test("a call that is open at the end of the grace period is answered while the store is silent", async () => {
  await startEntry(4);
  const caller = RawCaller.create(port, HOST);
  caller.socket.write(formatRequest("/call/1"));
  await expect.poll(() => receivedCount).toBe(1);
  const stopped = stopEntry(4);
  await sleep(1_000);
  cluster.platform.signal("SIGSTOP");
  expect(await stopped).toBe(0);
  cluster.platform.signal("SIGCONT");
  await expect.poll(() => caller.received).toMatch(OUTCOME_UNKNOWN);
});

test("all calls that are open on one connection at the end of the grace period are answered", async () => {
  await startEntry(4);
  const caller = RawCaller.create(port, HOST);
  caller.socket.write(formatRequest("/call/1") + formatRequest("/call/2"));
  await expect.poll(() => receivedCount).toBe(2);
  expect(await stopEntry(4)).toBe(0);
  await expect.poll(() => caller.received.match(OUTCOME_UNKNOWN)?.length)
    .toBe(2);
});
