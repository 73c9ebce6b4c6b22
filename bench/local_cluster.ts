/**
 * A complete deployment on loopback for tests, the demo and measurements:
 * stand-ins, entries and the command line, each in its own process.
 */

import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { callHttp, type HttpResponse } from "../src/connection/http_call.ts";
import { type Instance, InstanceState } from "../src/connection/instance.ts";
import { Child } from "./child.ts";
import { reservePort } from "./reserve_port.ts";
import {
  CompletionClient,
  type CompletionClientOptions,
} from "../src/connection/completion_client.ts";
import {
  bearerKey,
  formatLocalDeployment,
  GENERATION_SERVICE,
  type LocalCustomer,
  PLAIN_SERVICE,
} from "./local_deployment.ts";

/** Size and settings of a cluster. */
export interface ClusterOptions {
  readonly engines?: number;
  readonly services?: number;
  readonly entries?: number;
  readonly slots?: number;
  readonly customers?: readonly LocalCustomer[];
  readonly modelVersion?: string;
  /** Stand-in switches of every engine. */
  readonly engineSwitches?: Readonly<Record<string, unknown>>;
  /** Lines of the entries' `[limits]` and `[stop]` sections. */
  readonly limits?: readonly string[];
  readonly stop?: readonly string[];
  /** Lines of the entries' `[policy]` section. */
  readonly policy?: readonly string[];
  readonly urgentTargetMs?: number;
  readonly patientTargetMs?: number;
  /** Command-line options for Node in the entries. */
  readonly entryNodeOptions?: readonly string[];
}

/** Result of a call of the operators' command line. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** A call to a plain service. */
export interface PlainServiceCall {
  readonly entry: Child;
  readonly method: string;
  readonly path: string;
  readonly customer?: string;
  readonly body?: string;
  readonly idempotencyKey?: string;
}

const WAIT_TIMEOUT_MS = 20_000;
const WAIT_POLL_INTERVAL_MS = 10;
const CALL_TIMEOUT_MS = 30_000;

/** Resolves once `condition` is true. Errors: rejects after about 20 s. */
export async function waitFor(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const polls = WAIT_TIMEOUT_MS / WAIT_POLL_INTERVAL_MS;
  for (let poll = 0; poll < polls; poll++) {
    if (await condition()) return;
    await sleep(WAIT_POLL_INTERVAL_MS);
  }
  throw new Error(`condition not met after 20 s: ${description}`);
}

/** The processes of one deployment. */
export class LocalCluster {
  readonly #options: ClusterOptions;
  readonly #folder: string;
  readonly #children: Child[] = [];
  readonly engines: Child[] = [];
  readonly services: Child[] = [];
  readonly entries: Child[] = [];
  readonly #drainingEngines = new Set<string>();
  platform!: Child;

  private constructor(options: ClusterOptions, folder: string) {
    this.#options = options;
    this.#folder = folder;
  }

  /** Starts the processes, publishes the deployment, waits until it serves. */
  static async create(options: ClusterOptions = {}): Promise<LocalCluster> {
    const folder = await mkdtemp(join(tmpdir(), "gypsumridge-"));
    const cluster = new LocalCluster(options, folder);
    try {
      await cluster.#startAll();
    } catch (error) {
      await cluster.close();
      throw error;
    }
    return cluster;
  }

  /** Kills all processes that this cluster started. */
  async close(): Promise<void> {
    for (const child of this.#children) child.signal("SIGKILL");
    await Promise.all(this.#children.map(({ exited }) => exited));
    await rm(this.#folder, { recursive: true, force: true });
  }

  /** Returns the entry at an index. Errors: throws if there is none. */
  entry(index = 0): Child {
    return childAt(this.entries, index);
  }

  /** Returns the engine at an index. Errors: throws if there is none. */
  engine(index = 0): Child {
    return childAt(this.engines, index);
  }

  /** Waits until an engine runs a stream; returns the engine's index. */
  async servingEngineIndex(): Promise<number> {
    let engineIndex = -1;
    await waitFor("an engine runs a stream", async () => {
      const running = await Promise.all(
        this.engines.map((engine) =>
          engine.get<{ readonly running: number }>("/v1/load")
            .then((report) => report.running)
            .catch(() => 0)
        ),
      );
      engineIndex = running.findIndex((count) => count > 0);
      return engineIndex >= 0;
    });
    return engineIndex;
  }

  /** Returns the plain service at an index. Errors: throws if there is none. */
  service(index = 0): Child {
    return childAt(this.services, index);
  }

  /** Requests a streamed completion. */
  complete(
    options: Omit<CompletionClientOptions, "address" | "key" | "service"> & {
      readonly entry?: Child;
      readonly customer?: string;
    },
  ): CompletionClient {
    const { entry = this.entry(), customer = "alpha", ...rest } = options;
    return CompletionClient.create({
      address: entry.address,
      key: bearerKey(customer),
      service: GENERATION_SERVICE,
      ...rest,
    });
  }

  /** Requests a completion that is not streamed. */
  async completeUnstreamed(
    options: { readonly prompt: string; readonly maxTokens: number },
  ): Promise<{ readonly status: number; readonly text: string }> {
    const response = await callHttp({
      address: this.entry().address,
      method: "POST",
      path: "/v1/completions",
      headers: { authorization: `Bearer ${bearerKey("alpha")}` },
      body: JSON.stringify({
        model: GENERATION_SERVICE,
        prompt: options.prompt,
        max_tokens: options.maxTokens,
      }),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const body = JSON.parse(response.body.toString());
    return { status: response.status, text: body.choices?.[0].text ?? "" };
  }

  /** Sends a call to a plain service through an entry. */
  callService(options: PlainServiceCall): Promise<HttpResponse> {
    return callHttp({
      address: options.entry.address,
      method: options.method,
      path: `/services/${PLAIN_SERVICE}${options.path}`,
      headers: {
        authorization: `Bearer ${bearerKey(options.customer ?? "alpha")}`,
        "content-type": "application/json",
        ...(options.idempotencyKey === undefined
          ? {}
          : { "idempotency-key": options.idempotencyKey }),
      },
      body: options.body ?? "",
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  /** Runs the operators' command line against this cluster's platform. */
  async runCommand(args: readonly string[]): Promise<CommandResult> {
    const program = new URL("../src/bin/gypsumridge.js", import.meta.url);
    const compiled = program.pathname.includes("/dist/")
      ? program.pathname
      : new URL("../dist/src/bin/gypsumridge.js", import.meta.url).pathname;
    const commandArgs = [
      compiled,
      ...args,
      "--platform",
      this.platform.address,
    ];
    return await new Promise((resolve) => {
      execFile(process.execPath, commandArgs, (error, stdout, stderr) => {
        const code = error === null ? 0 : Number(error.code);
        resolve({ code, stdout, stderr });
      });
    });
  }

  /** Writes a file into the cluster's temporary folder; returns its path. */
  async writeFile(name: string, text: string): Promise<string> {
    const path = join(this.#folder, name);
    await writeFile(path, text);
    return path;
  }

  /** Publishes the cluster's deployment with the given overrides. */
  async publish(
    overrides: {
      readonly operator?: string;
      readonly reason?: string;
      readonly customers?: readonly LocalCustomer[];
      readonly modelVersion?: string;
    } = {},
  ): Promise<CommandResult> {
    const { operator = "operator", reason = "test" } = overrides;
    const file = await this.writeFile(
      `deployment-${operator}.ini`,
      this.deploymentText(overrides),
    );
    const operatorArgs = ["--operator", operator, "--reason", reason];
    return await this.runCommand(["publish", file, ...operatorArgs]);
  }

  /** Returns the deployment as INI text, with the given overrides. */
  deploymentText(
    overrides: {
      readonly customers?: readonly LocalCustomer[];
      readonly modelVersion?: string;
    } = {},
  ): string {
    const servers = [
      ...this.engines.map(({ address }, index) => ({
        name: engineName(index),
        address,
        service: GENERATION_SERVICE,
      })),
      ...this.services.map(({ address }, index) => ({
        name: serviceName(index),
        address,
        service: PLAIN_SERVICE,
      })),
    ];
    const { slots = 8, modelVersion = "1" } = this.#options;
    return formatLocalDeployment({
      servers,
      customers: overrides.customers ?? this.#options.customers ??
        [{ name: "alpha" }, { name: "beta" }],
      slots,
      modelVersion: overrides.modelVersion ?? modelVersion,
      urgentTargetMs: this.#options.urgentTargetMs,
      patientTargetMs: this.#options.patientTargetMs,
    });
  }

  /** Starts another entry, or restarts the one at an index under its name. */
  async startEntry(index = this.entries.length): Promise<Child> {
    const settings = await this.writeFile(
      `entry-${index}.ini`,
      this.#entrySettings(index),
    );
    const entry = await this.#start("src/bin/gypsumridge_entry.js", [
      "--settings",
      settings,
    ], this.#options.entryNodeOptions);
    this.entries[index] = entry;
    return entry;
  }

  /** Changes the settings file of a running entry. */
  async changeEntrySettings(
    index: number,
    change: (text: string) => string,
  ): Promise<void> {
    const text = change(this.#entrySettings(index));
    await this.writeFile(`entry-${index}.ini`, text);
  }

  /** Starts a steward with the given lines in its `[steward]` section. */
  async startSteward(
    id: string,
    lines: readonly string[],
    { limits = [], nodeOptions }: {
      /** Lines of its `[limits]` section. */
      readonly limits?: readonly string[];
      readonly nodeOptions?: readonly string[];
    } = {},
  ): Promise<Child> {
    const settings = await this.writeFile(
      `${id}.ini`,
      `[steward]
id = ${id}
${lines.join("\n")}

[limits]
${limits.join("\n")}

[platform]
address = ${this.platform.address}
`,
    );
    return await this.#start("src/bin/gypsumridge_steward.js", [
      "--settings",
      settings,
    ], nodeOptions);
  }

  /** Starts an engine on the port of the one that it replaces. */
  async restartEngine(index: number): Promise<Child> {
    const port = String(this.engine(index).port);
    const engine = await this.#start("standins/engine.js", ["--port", port]);
    await engine.control(this.#engineSwitches());
    this.engines[index] = engine;
    return engine;
  }

  /** Starts one engine process that listens on `count` extra ports. */
  startManyEngines(count: number): Promise<Child> {
    return this.#start("standins/engine.js", ["--extra-ports", String(count)]);
  }

  /** Starts a plain service on the port of the one that it replaces. */
  async restartService(index: number): Promise<Child> {
    const port = String(this.service(index).port);
    const service = await this.#start("standins/service.js", ["--port", port]);
    this.services[index] = service;
    return service;
  }

  /** Marks an engine as draining in the platform's list of instances. */
  async listEngineDraining(index: number): Promise<void> {
    this.#drainingEngines.add(engineName(index));
    await this.publishInstances();
  }

  /** Sets the platform's list of instances to the cluster's current ones. */
  async publishInstances(): Promise<void> {
    const entries = this.entries.map((entry, index): Instance => ({
      name: entryName(index),
      address: `127.0.0.1:${entry.ports.peerPort}`,
      role: "entry",
      state: InstanceState.Live,
    }));
    const engines = this.engines.map((engine, index): Instance => ({
      name: engineName(index),
      address: engine.address,
      role: "backend-server",
      state: this.#drainingEngines.has(engineName(index))
        ? InstanceState.Leaving
        : InstanceState.Live,
    }));
    await this.platform.control({ instances: [...entries, ...engines] });
  }

  /** Keys of all runs that stand-ins printed, even if they have been killed. */
  announcedRuns(): string[] {
    return this.#children.flatMap((child) => child.announcedRuns());
  }

  /** Overwrites the object at a path of the platform, regardless of its revision. */
  async putObject(path: string, spec: unknown): Promise<void> {
    await callHttp({
      address: this.platform.address,
      method: "PUT",
      path,
      body: JSON.stringify({ spec }),
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  /** Returns the revision that an entry has adopted. */
  async revisionOf(entry: Child): Promise<number> {
    const ready = await entry.get<{ readonly revision: number }>("/readyz");
    return ready.revision;
  }

  async #startAll(): Promise<void> {
    const { engines = 2, services = 0, entries = 1 } = this.#options;
    this.platform = await this.#start("standins/platform.js", []);
    for (let index = 0; index < engines; index++) {
      const engine = await this.#startOnReservedPort("standins/engine.js");
      await engine.control(this.#engineSwitches());
      this.engines.push(engine);
    }
    for (let index = 0; index < services; index++) {
      this.services.push(
        await this.#startOnReservedPort("standins/service.js"),
      );
    }
    for (let index = 0; index < entries; index++) await this.startEntry(index);
    await this.publishInstances();
    const result = await this.publish({ reason: "first deployment" });
    if (result.code !== 0) throw new Error(result.stderr);
    await this.waitUntilServing();
  }

  /** Resolves once every entry uses all backend servers and knows its peers. */
  async waitUntilServing(): Promise<void> {
    for (const entry of this.entries) {
      await waitFor("entry serves", async () => {
        const revision = await this.revisionOf(entry);
        if (revision === 0) return false;
        const text = (await callHttp({
          address: entry.address,
          method: "GET",
          path: "/metrics",
          timeoutMs: CALL_TIMEOUT_MS,
        })).body.toString();
        const total = this.engines.length + this.services.length;
        const count = this.entries.length;
        return text.includes(`gypsumridge_serving_servers ${total}\n`) &&
          text.includes(`gypsumridge_live_entries ${count}\n`);
      });
    }
  }

  #engineSwitches(): Readonly<Record<string, unknown>> {
    const { slots = 8, modelVersion = "1", engineSwitches } = this.#options;
    return { slots, modelVersion, ...engineSwitches };
  }

  #entrySettings(index: number): string {
    return `[entry]
id = ${entryName(index)}
zone = zone-${"abc"[index % 3]}
cursor_key = loopback-cursor-key
peer_key = loopback-peer-key

[platform]
address = ${this.platform.address}

[limits]
${(this.#options.limits ?? []).join("\n")}

[stop]
${(this.#options.stop ?? ["notice_ms = 300"]).join("\n")}

[policy]
${(this.#options.policy ?? []).join("\n")}
`;
  }

  /** Starts a process that opens and reads streams at entries or engines. */
  startStreamReader(options: {
    readonly from: readonly Child[];
    readonly isDirect: boolean;
    readonly streams: number;
  }): Promise<Child> {
    return this.#start("bench/stream_reader_main.js", [
      ...options.from.flatMap(({ address }) => ["--address", address]),
      ...(options.isDirect ? ["--direct"] : []),
      "--streams",
      String(options.streams),
    ]);
  }

  /** Starts a stand-in on a reserved port, which a restart can reuse. */
  async #startOnReservedPort(module: string): Promise<Child> {
    return this.#start(module, ["--port", String(await reservePort())]);
  }

  async #start(
    module: string,
    args: readonly string[],
    nodeOptions: readonly string[] = [],
  ): Promise<Child> {
    const child = await Child.create({ module, args, nodeOptions });
    this.#children.push(child);
    return child;
  }
}

/** Returns the name of the entry at an index. */
export function entryName(index: number): string {
  return `entry-${index}`;
}

/** Returns the name of the engine at an index. */
export function engineName(index: number): string {
  return `engine-${index}`;
}

function serviceName(index: number): string {
  return `service-${index}`;
}

function childAt(children: readonly Child[], index: number): Child {
  const child = children[index];
  if (child === undefined) {
    throw new Error(`cluster has no process at index ${index}`);
  }
  return child;
}
