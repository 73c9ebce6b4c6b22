/** Runs a crowd in processes of its own. */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { fileURLToPath } from "node:url";
import type { Crowd, Target } from "./crowds.ts";

const PROGRAM = fileURLToPath(
  new URL("../../dist/tests/crowd/crowd_main.js", import.meta.url),
);
const PROCESSES = 3;

/** The processes of one crowd. */
export class CrowdProcesses {
  readonly #children: readonly ChildProcess[];

  private constructor(children: readonly ChildProcess[]) {
    this.#children = children;
  }

  /** Opens a crowd; resolves once all of it is sent. */
  static async create(crowd: Crowd, target: Target): Promise<CrowdProcesses> {
    const connections = String(Math.ceil(crowd.connections / PROCESSES));
    const children = Array.from({ length: PROCESSES }, () =>
      spawn(
        process.execPath,
        [PROGRAM, crowd.name, connections, JSON.stringify(target)],
        { stdio: ["pipe", "pipe", "inherit"] },
      ));
    const processes = new CrowdProcesses(children);
    await Promise.all(children.map(({ stdout }) => once(stdout, "data")));
    return processes;
  }

  /** Ends the processes, and with them the connections. */
  close(): void {
    for (const child of this.#children) child.kill("SIGKILL");
  }
}
