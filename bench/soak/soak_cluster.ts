/** The processes of a soak, the proxies between them, and fault injection. */

import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpObjectStore } from "../../platform/http_object_store.ts";
import {
  CONFIGURATION_KIND,
  CONFIGURATION_NAME,
} from "../../platform/parse_route_table.ts";
import { SERVER_KIND } from "../../platform/parse_server.ts";
import { Child } from "../child.ts";
import { reservePort } from "../reserve_port.ts";
import { FaultProxy, ProxyFault } from "./fault_proxy.ts";
import { type Fault, FaultKind } from "./fault_schedule.ts";
import type { FaultWindow } from "./soak_checks.ts";
import {
  CALL_SERVICE,
  createConfiguration,
  formatEntrySettings,
  keyOfVersion,
  STREAM_SERVICE,
} from "./soak_deployment.ts";

/** Number of processes in a soak. */
export interface SoakSize {
  readonly entries: number;
  readonly servers: number;
  /** Third octet of the entries' IPs; concurrent soaks need different ones. */
  readonly lane?: number;
}

/** A backend server behind its proxy; a restart gives it a new id. */
interface SoakServer {
  readonly proxy: FaultProxy;
  readonly port: number;
  readonly service: string;
  readonly zone: string;
  child: Child;
  id: string;
}

/** An entry with its own proxy in front of the store. */
export interface SoakEntry {
  readonly index: number;
  readonly host: string;
  readonly storeProxy: FaultProxy;
  child: Child;
}

/** A configuration version that the store acknowledged. */
export interface AcceptedVersion {
  readonly version: number;
  readonly acceptedMs: number;
}

/** A drain of a server, with the time of its acknowledgement. */
export interface ServerDrain {
  readonly id: string;
  /** Index of the server, as in `Fault.target`. */
  readonly target: number;
  readonly acceptedMs: number;
}

const ZONES = ["zone-a", "zone-b", "zone-c"];
/** One backend server in this many serves plain calls. */
const PLAIN_SERVER_STRIDE = 3;
/** Time after which the platform removes a dead server, in ms. */
const REGISTRATION_TTL_MS = 1_200;
/**
 * Time that a draining server still serves, in ms, longer than the 2,000 ms in
 * which entries must stop using it.
 */
const DRAIN_DURATION_MS = 3_000;
const STORE_TIMEOUT_MS = 2_000;

/** The processes of one soak. */
export class SoakCluster {
  readonly entries: SoakEntry[] = [];
  readonly faultWindows: FaultWindow[] = [];
  readonly versions: AcceptedVersion[] = [];
  readonly drains: ServerDrain[] = [];
  readonly #servers: SoakServer[] = [];
  readonly #children: Child[] = [];
  /** Processes with an active fault; further faults on them are skipped. */
  readonly #faulted = new Set<Child>();
  readonly #folder: string;
  readonly #lane: number;
  #store!: Child;
  #objects!: HttpObjectStore;

  private constructor(folder: string, lane: number) {
    this.#folder = folder;
    this.#lane = lane;
  }

  /** Starts all processes, which may not serve yet when this resolves. */
  static async create(
    { entries, servers, lane = 1 }: SoakSize,
  ): Promise<SoakCluster> {
    const folder = await mkdtemp(join(tmpdir(), "soak-"));
    const cluster = new SoakCluster(folder, lane);
    cluster.#store = await cluster.#start({
      module: "standins/platform.js",
      args: [],
    });
    cluster.#objects = HttpObjectStore.create({
      address: cluster.#store.address,
      timeoutMs: STORE_TIMEOUT_MS,
    });
    await cluster.publish();
    for (let at = 0; at < servers; at++) await cluster.#addServer(at);
    for (let at = 0; at < entries; at++) await cluster.#addEntry(at);
    return cluster;
  }

  /** Kills all processes that this cluster started. */
  async close(): Promise<void> {
    for (const child of this.#children) child.signal("SIGKILL");
    await Promise.all(this.#children.map(({ exited }) => exited));
    for (const { proxy } of this.#servers) proxy.close();
    for (const { storeProxy } of this.entries) storeProxy.close();
    this.#objects.close();
    await rm(this.#folder, { recursive: true, force: true });
  }

  /** Lines of all runs, including those of killed servers. */
  runLines(): string[] {
    return this.#children.flatMap((child) => child.announcedRuns());
  }

  /** Log lines of all entries, including those of killed ones. */
  entryLogs(): string[] {
    return this.#children.flatMap((child) =>
      child.logLines().map((line) => JSON.stringify(line))
    );
  }

  /** Entries that have exited although no active fault ends them. */
  unexpectedlyExitedEntries(): string[] {
    return this.entries
      .filter(({ child }) => child.hasExited && !this.#faulted.has(child))
      .map(({ index }) => `entry ${index}`);
  }

  /** Publishes the next version, with its key and that of the one before. */
  async publish(): Promise<void> {
    const version = (this.versions.at(-1)?.version ?? 0) + 1;
    const object = {
      name: CONFIGURATION_NAME,
      spec: createConfiguration(version),
    };
    if (version === 1) await this.#objects.create(CONFIGURATION_KIND, object);
    else await this.#objects.replace(CONFIGURATION_KIND, object);
    this.versions.push({ version, acceptedMs: Date.now() });
  }

  /** Bearer key of the newest version. */
  get key(): string {
    return keyOfVersion(this.versions.at(-1)?.version ?? 0);
  }

  /** Injects a fault; resolves once it is over. */
  async injectFault(fault: Fault): Promise<void> {
    const { kind, target } = fault;
    const startMs = Date.now();
    const faultWindow: FaultWindow = { kind, target, startMs, endMs: Infinity };
    this.faultWindows.push(faultWindow);
    await this.#applyFault(fault);
    faultWindow.endMs = Date.now();
  }

  async #applyFault({ kind, target, forMs, proxy }: Fault): Promise<void> {
    const entry = this.entries[target];
    const server = this.#servers[target];
    switch (kind) {
      case FaultKind.ServerLink:
        return await injectProxyFault(server?.proxy, { proxy, forMs });
      case FaultKind.StoreLink:
        return await injectProxyFault(entry?.storeProxy, { proxy, forMs });
      case FaultKind.StoreOutage:
        await Promise.all(
          this.entries.map(({ storeProxy }) =>
            injectProxyFault(storeProxy, { proxy, forMs })
          ),
        );
        return;
      case FaultKind.StoreHistoryLoss: {
        const { revision } = await this.#objects.list({ kind: SERVER_KIND });
        return await this.#store.control({ historyFrom: revision });
      }
      case FaultKind.Configuration:
        return await this.publish();
      case FaultKind.ServerPause:
        return await this.#pause(server?.child, forMs);
      case FaultKind.EntryPause:
        return await this.#pause(entry?.child, forMs);
      case FaultKind.ServerKill:
        return await this.#replaceServer(server, (child) => child.kill());
      case FaultKind.ServerDrain:
        return await this.#replaceServer(server, async (child) => {
          await this.#updateState(server, "draining");
          const id = server?.id ?? "";
          this.drains.push({ id, target, acceptedMs: Date.now() });
          await sleep(DRAIN_DURATION_MS);
          await child.kill();
        });
      case FaultKind.EntryKill:
        return await this.#restartEntry(entry, (child) => child.kill());
      case FaultKind.EntryRestart:
        return await this.#restartEntry(entry, async (child) => {
          child.signal("SIGTERM");
          await child.exited;
        });
    }
  }

  async #pause(child: Child | undefined, forMs: number): Promise<void> {
    await this.#withExclusiveFault(child, async (suspended) => {
      suspended.suspend();
      await sleep(forMs);
      suspended.resume();
    });
  }

  async #replaceServer(
    server: SoakServer | undefined,
    end: (child: Child) => Promise<void>,
  ): Promise<void> {
    if (server === undefined) return;
    await this.#withExclusiveFault(server.child, async (child) => {
      await end(child);
      await sleep(REGISTRATION_TTL_MS);
      await this.#objects.remove(SERVER_KIND, { name: server.id });
      await this.#startServer(server);
    });
  }

  async #restartEntry(
    entry: SoakEntry | undefined,
    end: (child: Child) => Promise<void>,
  ): Promise<void> {
    if (entry === undefined) return;
    await this.#withExclusiveFault(entry.child, async (child) => {
      await end(child);
      entry.child = await this.#startEntry(entry.index, entry.storeProxy);
    });
  }

  async #withExclusiveFault(
    child: Child | undefined,
    applyTo: (child: Child) => Promise<void>,
  ): Promise<void> {
    if (child === undefined || this.#faulted.has(child)) return;
    this.#faulted.add(child);
    await applyTo(child);
    this.#faulted.delete(child);
  }

  async #addServer(at: number): Promise<void> {
    const port = await reservePort();
    const child = await this.#startRunner(port);
    const server: SoakServer = {
      proxy: await FaultProxy.create(port),
      port,
      service: at % PLAIN_SERVER_STRIDE === 0 ? CALL_SERVICE : STREAM_SERVICE,
      zone: ZONES[at % ZONES.length] ?? "",
      child,
      id: "",
    };
    this.#servers.push(server);
    await this.#register(server);
  }

  async #startServer(server: SoakServer): Promise<void> {
    server.child = await this.#startRunner(server.port);
    await this.#register(server);
  }

  #startRunner(port: number): Promise<Child> {
    const args = ["--port", String(port)];
    return this.#start({ module: "standins/runner.js", args });
  }

  async #register(server: SoakServer): Promise<void> {
    server.id = `i-${server.port}-${Date.now()}`;
    await server.child.control({ id: server.id });
    await this.#objects.create(SERVER_KIND, {
      name: server.id,
      spec: this.#createSpec(server, "ready"),
    });
  }

  async #updateState(
    server: SoakServer | undefined,
    state: string,
  ): Promise<void> {
    if (server === undefined) return;
    await this.#objects.replace(SERVER_KIND, {
      name: server.id,
      spec: this.#createSpec(server, state),
    });
  }

  #createSpec({ service, zone, proxy }: SoakServer, state: string) {
    return { service, address: proxy.address, zone, slots: 16, state };
  }

  async #addEntry(index: number): Promise<void> {
    const storeProxy = await FaultProxy.create(this.#store.port);
    const child = await this.#startEntry(index, storeProxy);
    const host = this.#entryHost(index);
    this.entries.push({ index, host, storeProxy, child });
  }

  async #startEntry(index: number, storeProxy: FaultProxy): Promise<Child> {
    const path = join(this.#folder, `entry-${index}.conf`);
    const host = this.#entryHost(index);
    const text = formatEntrySettings({
      name: `entry-${index}`,
      zone: ZONES[index % ZONES.length] ?? "",
      host,
      storeAddress: storeProxy.address,
    });
    await writeFile(path, text);
    return await this.#start({
      module: "platform/main.js",
      args: [],
      env: { GYPSUMRIDGE_CONFIG: path },
      ports: {},
    });
  }

  /** Each entry listens on its own loopback address. */
  #entryHost(index: number): string {
    return `127.0.${this.#lane}.${index + 1}`;
  }

  async #start(options: Parameters<typeof Child.create>[0]): Promise<Child> {
    const child = await Child.create(options);
    this.#children.push(child);
    return child;
  }
}

async function injectProxyFault(
  proxy: FaultProxy | undefined,
  { proxy: fault, forMs }: Pick<Fault, "proxy" | "forMs">,
): Promise<void> {
  if (proxy === undefined) return;
  proxy.fault = fault;
  await sleep(forMs);
  proxy.fault = ProxyFault.None;
}
