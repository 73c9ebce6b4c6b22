/**
 * An entry as a process of its own, with the memory of a small machine, for
 * tests of crowds of callers that don't behave.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { expect } from "vitest";
import { LocalCluster } from "../../bench/local_cluster.ts";
import { reservePort } from "../../bench/reserve_port.ts";
import { HttpObjectStore } from "../../platform/http_object_store.ts";
import { callHttp } from "../../src/connection/http_call.ts";
import { CrowdProcesses } from "./crowd_processes.ts";
import type { Crowd, Target } from "./crowds.ts";
import { descriptorCount, peakMemoryMb } from "./process_watch.ts";

/** An IP of its own, since all entries have the same metrics port. */
const HOST = `127.8.${(process.pid >> 7) % 250}.${process.pid % 125 + 1}`;
const PROGRAM = fileURLToPath(
  new URL("../../dist/platform/main.js", import.meta.url),
);
/** The flags with which the deploy file starts an entry. */
const NODE_FLAGS = ["--max-old-space-size=96", "--max-semi-space-size=2"];
/** As in the deploy file. */
const METRICS_PORT = 9_464;
/** Size of the response to a path that ends with `/large`. */
const LARGE_RESPONSE = Buffer.alloc(4_000_000, "a");
/** Time that the backend server takes, in ms. */
const SERVER_DELAY_MS = 200;

/** What the settings state of a machine. */
export interface Machine {
  readonly memoryMb: number;
  readonly maxFds: number;
}

/** Limits of the machine that the settings state. */
export const MACHINE: Machine = { memoryMb: 210, maxFds: 256 };
export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Where a crowd connects. */
export enum Door {
  Callers = "callers",
  Readiness = "readiness",
  Peers = "peers",
  Metrics = "metrics",
}

/** Options of `CrowdEntry.create`. */
export interface CrowdEntryOptions {
  readonly machine?: Machine;
  /** Whether the store holds a configuration from the start. */
  readonly isConfigured?: boolean;
}

/** A running entry with its store, one backend server and a crowd. */
export class CrowdEntry {
  readonly #cluster: LocalCluster;
  readonly #store: HttpObjectStore;
  readonly #server: Server;
  readonly #folder: string;
  readonly #ports: Readonly<Record<Door, number>>;
  readonly #crowd: Socket[] = [];
  readonly #crowds: CrowdProcesses[] = [];
  readonly #machine: Machine;
  #process: ChildProcess | undefined;

  private constructor(
    cluster: LocalCluster,
    { server, folder, ports, machine }: {
      readonly server: Server;
      readonly folder: string;
      readonly machine: Machine;
      readonly ports: Readonly<Record<Door, number>>;
    },
  ) {
    this.#cluster = cluster;
    this.#server = server;
    this.#folder = folder;
    this.#ports = ports;
    this.#machine = machine;
    this.#store = HttpObjectStore.create({
      address: cluster.platform.address,
      timeoutMs: 1_000,
    });
  }

  /**
   * Starts all parts; resolves once an ordinary request is answered, or the
   * entry listens if it has no configuration.
   */
  static async create(
    { machine = MACHINE, isConfigured = true }: CrowdEntryOptions = {},
  ): Promise<CrowdEntry> {
    const server = createServer((request, response) => {
      request.resume();
      request.once("end", async () => {
        await sleep(SERVER_DELAY_MS);
        const id = String(request.headers["x-request-id"]);
        response.writeHead(200, { "x-request-id": id, "x-server-stamp": "s" });
        const isLarge = request.url?.endsWith("/large") === true;
        response.end(isLarge ? LARGE_RESPONSE : "done");
      });
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const entry = new CrowdEntry(
      await LocalCluster.create({ engines: 0, entries: 0 }),
      {
        server,
        machine,
        folder: await mkdtemp(join(tmpdir(), "gypsumridge-crowd-")),
        ports: {
          [Door.Callers]: await reservePort(),
          [Door.Readiness]: await reservePort(),
          [Door.Peers]: await reservePort(),
          [Door.Metrics]: METRICS_PORT,
        },
      },
    );
    await entry.#start(isConfigured);
    return entry;
  }

  /** Writes the configuration; resolves once it is served. */
  async configure(): Promise<void> {
    await this.#writeConfiguration();
    await expect.poll(() => this.isServing(), { timeout: 15_000 }).toBe(true);
  }

  async #writeConfiguration(): Promise<void> {
    const { port } = this.#server.address() as AddressInfo;
    const route = { host: "a", service: "s", timeoutMs: 20_000 };
    await this.#store.create("config", {
      name: "main",
      spec: {
        version: 1,
        routes: [{ ...route, pathPrefix: "/x/", routeKind: "idempotent" }],
        services: [{ name: "s" }],
        limits: LIMITS,
      },
    });
    await this.#store.create("servers", {
      name: "i-1",
      spec: {
        service: "s",
        address: `${HOST}:${port}`,
        zone: "zone-a",
        slots: 64,
        state: "ready",
      },
    });
  }

  async #start(isConfigured: boolean): Promise<void> {
    if (isConfigured) await this.#writeConfiguration();
    const path = join(this.#folder, "settings");
    await writeFile(
      path,
      [
        "nodeName=entry-1",
        "zone=zone-a",
        `ip=${HOST}`,
        `listen.frontend=${HOST}:${this.#ports.callers}`,
        `listen.ready=${HOST}:${this.#ports.readiness}`,
        `portRange=${this.#ports.peers},0`,
        `platform.address=${this.#cluster.platform.address}`,
        `limits.memoryMb=${this.#machine.memoryMb}`,
        `limits.maxFds=${this.#machine.maxFds}`,
        "",
      ].join("\n"),
    );
    this.#process = spawn(
      process.execPath,
      [...NODE_FLAGS, PROGRAM],
      {
        env: { ...process.env, GYPSUMRIDGE_CONFIG: path },
        stdio: ["ignore", "ignore", "inherit"],
      },
    );
    const isUp = () => isConfigured ? this.isServing() : this.isListening();
    await expect.poll(isUp, { timeout: 15_000 }).toBe(true);
  }

  /** Where a crowd connects; see `Crowd`. */
  target(door: Door, path: string): Target {
    return {
      host: HOST,
      port: this.#ports[door],
      path,
      bodyMaxBytes: LIMITS.maxBodyBytes,
    };
  }

  /** Opens a crowd, which `close` ends. */
  async openCrowd(crowd: Crowd, target: Target): Promise<void> {
    this.#crowds.push(await CrowdProcesses.create(crowd, target));
  }

  /** Opens connections of a crowd; each sends what `send` writes. */
  async open(
    door: Door,
    count: number,
    send: (socket: Socket) => void | Promise<void>,
  ): Promise<void> {
    await Promise.all(Array.from({ length: count }, async () => {
      const socket = connect(this.#ports[door], HOST);
      this.#crowd.push(socket);
      // Refused and closed connections are part of what is tested.
      socket.on("error", () => socket.destroy());
      await new Promise<void>((resolve) => {
        socket.once("connect", resolve);
        socket.once("close", () => resolve());
      });
      await send(socket);
    }));
  }

  /** Largest memory of the process while `action` runs, in MB. */
  peakMemoryMb(action: () => Promise<void>): Promise<number> {
    return peakMemoryMb(this.#process?.pid ?? 0, action);
  }

  /** Number of open descriptors of the process. */
  descriptorCount(): Promise<number> {
    return descriptorCount(this.#process?.pid ?? 0);
  }

  /** Whether the process runs. */
  get isAlive(): boolean {
    return this.#process?.exitCode === null &&
      this.#process.signalCode === null;
  }

  /** Whether an ordinary request is answered. */
  async isServing(): Promise<boolean> {
    const response = await callHttp({
      address: `${HOST}:${this.#ports.callers}`,
      method: "POST",
      path: "/x/ordinary",
      headers: {
        host: "a",
        "x-request-id": crypto.randomUUID(),
        "x-deadline-ms": "10000",
      },
      body: "ordinary",
      timeoutMs: 12_000,
    }).catch(() => undefined);
    return response?.status === 200;
  }

  /** Whether the readiness probe is answered. */
  async isListening(): Promise<boolean> {
    const response = await callHttp({
      address: `${HOST}:${this.#ports.readiness}`,
      method: "GET",
      path: "/v1/readyz",
      timeoutMs: 5_000,
    }).catch(() => undefined);
    return response !== undefined;
  }

  /** Closes the crowd's connections. */
  closeCrowd(): void {
    for (const socket of this.#crowd.splice(0)) socket.destroy();
    for (const crowd of this.#crowds.splice(0)) crowd.close();
  }

  /** Ends the process, the crowd and all other parts. */
  async close(): Promise<void> {
    this.closeCrowd();
    this.#process?.kill("SIGKILL");
    this.#server.close();
    this.#server.closeAllConnections();
    this.#store.close();
    await this.#cluster.close();
    await rm(this.#folder, { recursive: true, force: true });
  }
}
