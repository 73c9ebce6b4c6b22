/** A child process of a local cluster: startup, signals, control and logs. */

import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { callHttp, type HttpResponse } from "../src/connection/http_call.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";

/** Options for starting a process. */
export interface ChildOptions {
  /** Path of the compiled module, relative to the build output. */
  readonly module: string;
  readonly args: readonly string[];
  /** Command-line options for Node itself. */
  readonly nodeOptions?: readonly string[];
  /** Environment variables added to those of this process. */
  readonly env?: Readonly<Record<string, string>>;
  /**
   * Ports known in advance. If given, the process counts as started once its
   * log reports that it listens; otherwise once it has printed its ports.
   */
  readonly ports?: Readonly<Record<string, number>>;
}

/** A structured log line of a process. */
export interface LogLine {
  readonly event: number;
  readonly [detail: string]: unknown;
}

const LISTENING_EVENT = LOG_EVENTS.listening.number;
const ROOT = new URL("../", import.meta.url);
const START_TIMEOUT_MS = 15_000;
/** Time without output after which it is complete; logs are buffered for 50 ms. */
const OUTPUT_IDLE_MS = 400;
const CONTROL_TIMEOUT_MS = 5_000;

/** Running child processes, killed when this process exits. */
const runningChildren = new Set<ChildProcess>();
process.once("exit", () => {
  for (const child of runningChildren) child.kill("SIGKILL");
});

/** A started process whose ports are known. */
export class Child {
  readonly #process: ChildProcess;
  readonly #stdout: string[];
  readonly #stderr: string[];
  readonly #exited: Promise<number | null>;
  readonly ports: Readonly<Record<string, number>>;

  private constructor(parts: {
    readonly process: ChildProcess;
    readonly stdout: string[];
    readonly stderr: string[];
    readonly exited: Promise<number | null>;
    readonly ports: Readonly<Record<string, number>>;
  }) {
    this.#process = parts.process;
    this.#stdout = parts.stdout;
    this.#stderr = parts.stderr;
    this.#exited = parts.exited;
    this.ports = parts.ports;
  }

  /**
   * Starts a process and waits until it listens.
   *
   * Errors: rejects if it exits first or does not listen within 15 s.
   */
  static async create(options: ChildOptions): Promise<Child> {
    const module = new URL(options.module, compiledRoot()).pathname;
    const child = spawn(
      process.execPath,
      [...options.nodeOptions ?? [], module, ...options.args],
      {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, ...options.env },
      },
    );
    runningChildren.add(child);
    child.once("exit", () => runningChildren.delete(child));
    const stdout: string[] = [];
    const stderr: string[] = [];
    child.stdout.setEncoding("utf8");
    child.stdout.on("data", (text: string) => stdout.push(text));
    child.stderr.setEncoding("utf8");
    child.stderr.on("data", (text: string) => stderr.push(text));
    const exited = new Promise<number | null>((resolve) => {
      child.once("exit", (code) => resolve(code));
    });
    const ports = await readPorts(child, {
      stdout,
      stderr,
      knownPorts: options.ports,
    }).catch((error: unknown) => {
      child.kill("SIGKILL");
      throw error;
    });
    return new Child({ process: child, stdout, stderr, exited, ports });
  }

  /** Loopback IP and main port of the process. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** The main port; 0 if the process has none. */
  get port(): number {
    return this.ports.port ?? 0;
  }

  /** Process id; 0 if the process could not be spawned. */
  get pid(): number {
    return this.#process.pid ?? 0;
  }

  /** Resolves with the exit code, or `null` if a signal ended the process. */
  get exited(): Promise<number | null> {
    return this.#exited;
  }

  /** Whether the process has exited. */
  get hasExited(): boolean {
    return this.#process.exitCode !== null || this.#process.signalCode !== null;
  }

  /** Everything written to standard error so far. */
  get stderr(): string {
    return this.#stderr.join("");
  }

  /** Keys of the runs that a stand-in printed, even if it has been killed. */
  announcedRuns(): string[] {
    return this.#stdout.join("").split("\n")
      .filter((line) => line.startsWith('{"run"'))
      .map((line) => (JSON.parse(line) as { readonly run: string }).run);
  }

  /** Log lines written so far. */
  logLines(): LogLine[] {
    return this.#stdout.join("").split("\n")
      .filter(isLogLine)
      .map((line) => JSON.parse(line) as LogLine);
  }

  /** Resolves once the process's buffered output has been written. */
  async waitForOutput(): Promise<void> {
    let chunksSeen = -1;
    while (chunksSeen !== this.#stdout.length) {
      chunksSeen = this.#stdout.length;
      await sleep(OUTPUT_IDLE_MS);
    }
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.#process.kill(name);
  }

  /** Kills the process and waits for its exit. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }

  /** Suspends the process (SIGSTOP). */
  suspend(): void {
    this.signal("SIGSTOP");
  }

  /** Resumes a suspended process (SIGCONT). */
  resume(): void {
    this.signal("SIGCONT");
  }

  /** Sets the given switches of a stand-in; the others keep their values. */
  async control(switches: Readonly<Record<string, unknown>>): Promise<void> {
    await callHttp({
      address: this.address,
      method: "POST",
      path: "/standin/control",
      body: JSON.stringify(switches),
      timeoutMs: CONTROL_TIMEOUT_MS,
    });
  }

  /** Fetches a JSON document from the process. Errors: rejects after 5 s. */
  async get<Value>(path: string): Promise<Value> {
    const response = await this.#call(path);
    return JSON.parse(response.body.toString()) as Value;
  }

  /** Returns the response status for a path; 0 without a complete response. */
  async status(path: string): Promise<number> {
    const response = await this.#call(path).catch(() => undefined);
    return response?.status ?? 0;
  }

  #call(path: string): Promise<HttpResponse> {
    return callHttp({
      address: this.address,
      method: "GET",
      path,
      timeoutMs: CONTROL_TIMEOUT_MS,
    });
  }
}

/** Child processes run compiled code even if this module runs from source. */
function compiledRoot(): URL {
  return ROOT.pathname.endsWith("/dist/") ? ROOT : new URL("dist/", ROOT);
}

function eventNumber(line: string): number {
  return (JSON.parse(line) as LogLine).event;
}

function isLogLine(line: string): boolean {
  return /^\{.*"event":\d/.test(line);
}

function readPorts(
  child: ChildProcess,
  { stdout, stderr, knownPorts }: {
    readonly stdout: readonly string[];
    readonly stderr: readonly string[];
    readonly knownPorts: Readonly<Record<string, number>> | undefined;
  },
): Promise<Readonly<Record<string, number>>> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () =>
        reject(
          new Error(
            "process neither printed ports nor logged `listening` in 15 s",
          ),
        ),
      START_TIMEOUT_MS,
    );
    child.once("exit", (code) => {
      clearTimeout(timer);
      reject(
        new Error(
          `process exited with code ${code} before it listened: ${
            stderr.join("")
          }`,
        ),
      );
    });
    const checkOutput = () => {
      // The text after the last line feed is an incomplete line.
      const lines = stdout.join("").split("\n").slice(0, -1);
      const isListening = knownPorts !== undefined &&
        lines.some((line) =>
          isLogLine(line) && eventNumber(line) === LISTENING_EVENT
        );
      const portsLine = lines.find((line) => !isLogLine(line));
      if (!isListening && portsLine === undefined) return;
      clearTimeout(timer);
      // All output would be parsed again whenever some arrives.
      child.stdout?.off("data", checkOutput);
      resolve(knownPorts ?? JSON.parse(portsLine ?? "{}"));
    };
    child.stdout?.on("data", checkOutput);
  });
}
