/** One real process of a local cluster: start, signals, control, logs. */

import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { callHttp, type HttpResponse } from "../src/connection/http_call.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";

/** How a process is started. */
export interface ChildOptions {
  /** Compiled module, relative to the compiled root. */
  readonly module: string;
  readonly args: readonly string[];
  /** Options of Node itself. */
  readonly nodeOptions?: readonly string[];
  /** Variables beside those of this process. */
  readonly env?: Readonly<Record<string, string>>;
  /** Ports that are known before; the process then says by its log that it listens. */
  readonly ports?: Readonly<Record<string, number>>;
}

/** A log line of a daemon. */
export interface LogLine {
  readonly event: number;
  readonly [detail: string]: unknown;
}

const LISTENING = LOG_EVENTS.listening.number;
const ROOT = new URL("../", import.meta.url);
const START_LIMIT_MS = 15_000;
/** Silence after which no gathered line is left; processes gather for 50 ms. */
const OUTPUT_QUIET_MS = 400;
const CONTROL_TIMEOUT_MS = 5_000;

/** Processes that run; none of them outlives this one. */
const started = new Set<ChildProcess>();
process.once("exit", () => {
  for (const child of started) child.kill("SIGKILL");
});

/** A started process that has reported its ports. */
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

  /** Starts a process and waits for the line with its ports. */
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
    started.add(child);
    child.once("exit", () => started.delete(child));
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
      known: options.ports,
    });
    return new Child({ process: child, stdout, stderr, exited, ports });
  }

  /** Address of the first port. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** The first port. */
  get port(): number {
    return this.ports.port ?? 0;
  }

  /** Process id. */
  get pid(): number {
    return this.#process.pid ?? 0;
  }

  /** Resolves with the exit code, `null` after a signal. */
  get exited(): Promise<number | null> {
    return this.#exited;
  }

  /** Whether the process has ended. */
  get hasExited(): boolean {
    return this.#process.exitCode !== null || this.#process.signalCode !== null;
  }

  /** All that was written to standard error. */
  get stderr(): string {
    return this.#stderr.join("");
  }

  /** Keys of the runs that a stand-in announced, also before a kill. */
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

  /** Resolves once output that was gathered has been written. */
  async waitForOutput(): Promise<void> {
    let seen = -1;
    while (seen !== this.#stdout.length) {
      seen = this.#stdout.length;
      await sleep(OUTPUT_QUIET_MS);
    }
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    this.#process.kill(name);
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }

  /** Stops the process where it stands. */
  freeze(): void {
    this.signal("SIGSTOP");
  }

  /** Lets a frozen process go on. */
  thaw(): void {
    this.signal("SIGCONT");
  }

  /** Sets switches of a stand-in. */
  async control(switches: Readonly<Record<string, unknown>>): Promise<void> {
    await callHttp({
      address: this.address,
      method: "POST",
      path: "/standin/control",
      body: JSON.stringify(switches),
      timeoutMs: CONTROL_TIMEOUT_MS,
    });
  }

  /** Reads a JSON document from the process. */
  async get<Value>(path: string): Promise<Value> {
    const answer = await this.#call(path);
    return JSON.parse(answer.body.toString()) as Value;
  }

  /** Returns the status of a path; 0 when its answer does not end. */
  async status(path: string): Promise<number> {
    const answer = await this.#call(path).catch(() => undefined);
    return answer?.status ?? 0;
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

/** Children run compiled code, also when this module runs from source. */
function compiledRoot(): URL {
  return ROOT.pathname.endsWith("/dist/") ? ROOT : new URL("dist/", ROOT);
}

function eventOf(line: string): number {
  return (JSON.parse(line) as LogLine).event;
}

function isLogLine(line: string): boolean {
  return /^\{.*"event":\d/.test(line);
}

function readPorts(
  child: ChildProcess,
  { stdout, stderr, known }: {
    readonly stdout: readonly string[];
    readonly stderr: readonly string[];
    readonly known: Readonly<Record<string, number>> | undefined;
  },
): Promise<Readonly<Record<string, number>>> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error("process did not start in time")),
      START_LIMIT_MS,
    );
    child.once("exit", (code) => {
      clearTimeout(timer);
      reject(new Error(`process ended with ${code}: ${stderr.join("")}`));
    });
    child.stdout?.on("data", () => {
      // The piece after the last line feed is not a whole line yet.
      const lines = stdout.join("").split("\n").slice(0, -1);
      const isListening = known !== undefined &&
        lines.some((line) => isLogLine(line) && eventOf(line) === LISTENING);
      const printed = lines.find((line) => !isLogLine(line));
      if (!isListening && printed === undefined) return;
      clearTimeout(timer);
      resolve(known ?? JSON.parse(printed ?? "{}"));
    });
  });
}
