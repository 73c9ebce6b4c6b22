/**
 * A small deployment on loopback: entries as separate processes with the command
 * of the deploy file, a store, a record of what happened, and clients.
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
/** Bounds of `sites/bojka-flotila.toml`, in ms. */
export const CONTACT_MS = 3_000;
const GRACE_S = 8;
export const HAS_TROUBLE = process.env.TROUBLE !== "0";
export const HOST_NAME = "stock.example";
export const KEY = "key-of-a-member";
/** Ports of an entry on its own loopback address. */
const FRONTEND_PORT = 18_740;
const READY_PORT = 18_749;
const CONTROL_PORT = 18_748;
const PEER_PORT = 17_200;
const METRICS_PORT = 9_464;
const READY_TIMEOUT_MS = 20_000;
const STATUS_OK = 200;

/** The case could not run: no statement on the rule. */
export class CannotRun extends Error {}

/** Runs a case: `play` returns a text if the rule was broken. */
export async function runCase(folderUrl, play) {
  const startMs = Date.now();
  const lines = [];
  const record = (entry) => {
    const time = ((Date.now() - startMs) / 1_000).toFixed(3);
    lines.push(`${time} ${JSON.stringify(entry)}`);
  };
  const cluster = new Cluster(record);
  let code = 2;
  try {
    record({ what: "begin", trouble: HAS_TROUBLE });
    await cluster.open();
    const broken = await play(cluster, record);
    code = broken === undefined ? 0 : 1;
    record({ what: "verdict", broken: broken ?? "the rule held" });
  } catch (error) {
    record({ what: "could not run", reason: String(error.stack ?? error) });
  }
  await cluster.close();
  const file = fileURLToPath(new URL("record.txt", folderUrl));
  await writeFile(file, `${lines.join("\n")}\n`);
  console.log(lines.at(-1));
  process.exit(code);
}

/** The processes and stand-ins of one case. */
export class Cluster {
  #record;
  #folder = "";
  #entries = [];
  #standins = [];
  /** First three octets of the loopback addresses of this case. */
  #net = "";
  store = new Store();

  constructor(record) {
    this.#record = record;
  }

  async open() {
    this.#folder = await mkdtemp(join(tmpdir(), "gypsumridge-review-"));
    this.#net = await findFreeNet();
  }

  /** Loopback address number `at`, 1 to 250. */
  ip(at) {
    return `${this.#net}.${at}`;
  }

  async startStore(onWrite) {
    await this.store.start(this.ip(250), onWrite);
  }

  /** Starts stand-ins, which are stopped at the end. */
  async start(standins) {
    for (const standin of standins) {
      await standin.start();
      this.#standins.push(standin);
    }
  }

  /** Creates entry number `at` of a zone; `start` starts its process. */
  entry(at, zone) {
    const entry = new Entry({
      name: `edge-${zone}-${at}`,
      ip: this.ip(at),
      zone,
      storeAddress: this.store.address,
      folder: this.#folder,
      record: this.#record,
    });
    this.#entries.push(entry);
    return entry;
  }

  async close() {
    for (const entry of this.#entries) await entry.kill();
    for (const standin of this.#standins) standin.stop();
    this.store.stop();
    await rm(this.#folder, { recursive: true, force: true });
  }
}

/** One entry process. */
export class Entry {
  #options;
  #child;
  #exited;
  /** The grace period in the settings, in s. */
  #graceS = GRACE_S;

  constructor(options) {
    this.#options = options;
  }

  get name() {
    return this.#options.name;
  }

  /** Changes the address of the store that the settings will name. */
  set storeAddress(storeAddress) {
    this.#options = { ...this.#options, storeAddress };
  }

  get #path() {
    return join(this.#options.folder, `${this.name}.conf`);
  }

  async #writeSettings() {
    const settings = settingsOf({ ...this.#options, graceS: this.#graceS });
    await writeFile(this.#path, settings);
  }

  async start() {
    const { name, record } = this.#options;
    await this.#writeSettings();
    const [program, ...args] = (await runLine()).split(" ");
    const { PATH, HOME, LANG } = process.env;
    this.#child = spawn(program === "node" ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, GYPSUMRIDGE_CONFIG: this.#path },
      stdio: "ignore",
    });
    this.#exited = once(this.#child, "exit");
    record({ what: "entry started", entry: name });
  }

  /** Changes the grace period in the settings file, and says so by SIGHUP. */
  async changeGrace(graceS) {
    this.#graceS = graceS;
    await this.#writeSettings();
    this.#options.record({ what: "SIGHUP", entry: this.name, graceS });
    this.#child.kill("SIGHUP");
  }

  /** Sends SIGTERM and, after `graceS`, SIGKILL, as the platform does. */
  async term() {
    const { name, record } = this.#options;
    record({ what: "SIGTERM", entry: name });
    this.#child.kill("SIGTERM");
    const timer = setTimeout(() => {
      record({ what: "SIGKILL", entry: name });
      this.#child.kill("SIGKILL");
    }, this.#graceS * 1_000);
    await this.#exited;
    clearTimeout(timer);
    record({ what: "entry ended", entry: name });
  }

  async kill() {
    if (this.#child === undefined) return;
    const isRunning = this.#child.exitCode === null &&
      this.#child.signalCode === null;
    if (!isRunning) return;
    this.#child.kill("SIGKILL");
    await this.#exited;
  }

  /** Waits until the entry counts as ready. */
  async ready() {
    const untilMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < untilMs) {
      const { status } = await call({
        host: this.#options.ip,
        port: READY_PORT,
        path: "/v1/readyz",
      });
      if (status === STATUS_OK) return;
      await sleep(50);
    }
    throw new CannotRun(`${this.name} is not ready`);
  }

  /**
   * Sends a client request; returns its status, 0 if none arrived.
   *
   * @param agent keeps the connection open; without it, the request has its own
   */
  async send(
    { id, path, method = "GET", deadlineMs = 1_000, headers = {}, agent },
  ) {
    const { ip, name, record } = this.#options;
    record({ what: "sent", request: id, path, method, entry: name });
    const { status, body, retryAfter } = await call({
      host: ip,
      port: FRONTEND_PORT,
      path,
      method,
      agent,
      headers: {
        host: HOST_NAME,
        "x-request-id": id,
        "x-deadline-ms": String(deadlineMs),
        authorization: `Bearer ${KEY}`,
        ...headers,
      },
    });
    record({ what: "answered", request: id, status, retryAfter, body });
    return status;
  }
}

async function runLine() {
  const text = await readFile(join(ROOT, "deploy/system.toml"), "utf8");
  const line = /^run = "([^"]+)"$/m.exec(text)?.[1];
  if (line === undefined) throw new CannotRun("no run line in the deploy file");
  return line;
}

function settingsOf({ name, ip, zone, storeAddress, graceS }) {
  return [
    `nodeName=${name}`,
    "role=entry",
    "machineClass=edge",
    "serves=edge",
    `ip=${ip}`,
    `zone=${zone}`,
    "region=morava",
    "zones.morava-a=morava",
    "zones.morava-b=morava",
    "zones.morava-c=morava",
    `listen.frontend=${ip}:${FRONTEND_PORT}`,
    `listen.ready=${ip}:${READY_PORT}`,
    `listen.controlPlane=${ip}:${CONTROL_PORT}`,
    `portRange=${PEER_PORT},${PEER_PORT + 15}`,
    "bootstrap=true",
    "faultCounted=false",
    "discovery=platform",
    "entryMode=vip",
    "heartbeatMs=1200",
    "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
    "bounds.contactMs=3000",
    "bounds.ackMs=4000",
    "bounds.drainMs=2000",
    `bounds.graceS=${graceS}`,
    "bounds.configApplyMs=2000",
    "bounds.retryBudgetRatio=0.8",
    "bounds.retryWindowS=10",
    "bounds.retryAllowance=150",
    "bounds.recoverS=12",
    `platform.address=${storeAddress}`,
    "platform.form=objects",
    "platform.writesPerS=400",
    "platform.readsPerS=2000",
    "platform.historyS=20",
    "platform.valueBytes=1048576",
    "",
  ].join("\n");
}

/** Finds loopback addresses on which the ports of the entries are free. */
async function findFreeNet() {
  for (let tries = 0; tries < 50; tries++) {
    const octet = () => 1 + Math.floor(Math.random() * 250);
    const net = `127.${octet()}.${octet()}`;
    if (await isFree(`${net}.1`, METRICS_PORT)) return net;
  }
  throw new CannotRun("no free loopback address");
}

async function isFree(host, port) {
  const server = createServer();
  const outcome = new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
  return await outcome;
}

/** Makes one HTTP call, on a new connection unless there is an agent. */
function call({ host, port, path, method = "GET", headers = {}, agent }) {
  return new Promise((resolve) => {
    const none = { status: 0, body: "", retryAfter: undefined };
    const outgoing = httpRequest({
      host,
      port,
      path,
      method,
      headers,
      agent: agent ?? false,
    });
    outgoing.setTimeout(30_000, () => outgoing.destroy());
    outgoing.on("error", () => resolve(none));
    outgoing.on("response", (incoming) => {
      const chunks = [];
      incoming.on("data", (chunk) => chunks.push(chunk));
      incoming.on("error", () => resolve(none));
      incoming.on("end", () =>
        resolve({
          status: incoming.statusCode,
          body: Buffer.concat(chunks).toString(),
          retryAfter: incoming.headers["retry-after"],
        }));
    });
    outgoing.end();
  });
}
