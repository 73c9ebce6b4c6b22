/** Starts the project's entry with the `run` line of `deploy/system.toml`. */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** A loopback address of its own: the metrics port of entries is fixed. */
export function ownHost(at = 0) {
  return `127.52.${(process.pid >> 7) % 250}.${
    (process.pid % 120) * 2 + 1 + at
  }`;
}

/** Returns a free port of an address. */
export async function freePort(host) {
  const server = createServer();
  server.listen(0, host);
  await once(server, "listening");
  const { port } = server.address();
  server.close();
  await once(server, "close");
  return port;
}

/** Sends one request on a connection of its own and collects the answer. */
export function call({ host, port, method = "GET", path, headers, body }) {
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      method,
      path,
      headers,
      agent: false,
    });
    const fail = (error) => resolve({ status: 0, text: String(error) });
    outgoing.on("error", fail);
    outgoing.on("response", (incoming) => {
      const pieces = [];
      incoming.on("data", (piece) => pieces.push(piece));
      incoming.on("error", fail);
      incoming.on("end", () =>
        resolve({
          status: incoming.statusCode,
          headers: incoming.headers,
          text: Buffer.concat(pieces).toString("latin1"),
        }));
    });
    outgoing.setTimeout(10_000, () => outgoing.destroy(new Error("timeout")));
    outgoing.end(body);
  });
}

/**
 * Starts an entry with settings like those of bojka-flotila's machines and
 * waits until it says that it is ready.
 */
export async function startEntry({ name, host, store, settings = {} }) {
  const folder = await mkdtemp(join(tmpdir(), "gypsumridge-review-"));
  const path = join(folder, "boot.conf");
  const ports = {
    callers: await freePort(host),
    ready: await freePort(host),
    control: await freePort(host),
    peers: await freePort(host),
  };
  const values = {
    nodeName: name,
    role: "entry",
    machineClass: "edge",
    serves: "edge",
    ip: host,
    zone: "morava-a",
    region: "morava",
    "zones.morava-a": "morava",
    "listen.frontend": `${host}:${ports.callers}`,
    "listen.ready": `${host}:${ports.ready}`,
    "listen.controlPlane": `${host}:${ports.control}`,
    portRange: `${ports.peers},${ports.peers}`,
    bootstrap: "true",
    "limits.cpuShare": "0.675",
    "limits.cpuCores": "1",
    "limits.memoryMb": "350",
    "limits.maxFds": "4100",
    "limits.linkMbps": "1000.0",
    discovery: "platform",
    entryMode: "vip",
    heartbeatMs: "1200",
    "bounds.contactMs": "3000",
    "bounds.drainMs": "2000",
    "bounds.graceS": "8",
    "bounds.lossSlackMs": "200",
    "bounds.configApplyMs": "2000",
    "bounds.retryBudgetRatio": "0.8",
    "bounds.retryWindowS": "10",
    "bounds.retryAllowance": "150",
    "platform.address": store.address,
    "platform.form": "objects",
    "platform.writesPerS": "400",
    "platform.readsPerS": "2000",
    "platform.historyS": "20",
    "platform.valueBytes": "1048576",
    ...settings,
  };
  const lines = Object.entries(values).map(([key, value]) => `${key}=${value}`);
  await writeFile(path, `${lines.join("\n")}\n`);
  const deploy = await readFile(join(ROOT, "deploy/system.toml"), "utf8");
  const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
  const { PATH, HOME, LANG } = process.env;
  const child = spawn(program, words, {
    cwd: ROOT,
    env: { PATH, HOME, LANG, GYPSUMRIDGE_CONFIG: path },
    stdio: ["ignore", "pipe", "pipe"],
  });
  process.once("exit", () => child.kill("SIGKILL"));
  const log = [];
  for (const stream of [child.stdout, child.stderr]) {
    stream.on("data", (bytes) => log.push(bytes));
  }
  const ended = once(child, "exit").then(([code, signal]) => {
    entry.end = { code, signal };
  });
  const entry = {
    host,
    ports,
    pid: child.pid,
    /** How the process has ended; `undefined` while it runs. */
    end: undefined,
    kill: (signal) => child.kill(signal),
    output: () => Buffer.concat(log).toString(),
    close: async () => {
      child.kill("SIGKILL");
      await ended;
      await rm(folder, { recursive: true, force: true });
    },
  };
  for (let tries = 0; tries < 150; tries++) {
    const { status } = await call({
      host,
      port: ports.ready,
      path: "/v1/readyz",
    });
    if (status === 200) return entry;
    if (entry.end !== undefined) break;
    await sleep(100);
  }
  await entry.close();
  throw new Error(`entry is not ready: ${entry.output().slice(-2_000)}`);
}

/** Resident memory of a process in MB; 0 once it has ended. */
export async function memoryMb(pid) {
  const path = `/proc/${pid}/status`;
  const status = await readFile(path, "utf8").catch(() => "");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
}
