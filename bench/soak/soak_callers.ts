/** Callers of a soak, which keep and reuse their connections. */

import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type CallerRecord,
  REQUEST_DEADLINE_MS,
  SoakRequestKind,
  STREAM_EVENTS,
} from "./soak_checks.ts";
import type { SoakCluster, SoakEntry } from "./soak_cluster.ts";
import { CALLER_PORT, HOST_NAME, READY_PORT } from "./soak_deployment.ts";

/** Options of one request. */
export interface SoakRequest {
  readonly kind: SoakRequestKind;
  readonly entry: SoakEntry;
  readonly key: string;
  readonly agent?: Agent;
}

/** Number of concurrent callers of each request kind. */
const CALLERS_PER_KIND = 3;
const PAUSE_MS = 40;
const READY_POLL_MS = 500;
const READY_TIMEOUT_MS = 400;
/** Failed readiness checks that remove an entry, as on the platform. */
const FAILED_CHECKS_MAX = 2;
/** Time past the deadline until a caller closes its connection, in ms. */
const CLOSE_DELAY_MS = 1_500;

/** All callers, with the load balancer in front of the entries. */
export class SoakCallers {
  readonly records: CallerRecord[] = [];
  readonly #cluster: SoakCluster;
  readonly #failedChecks = new Map<number, number>();
  readonly #tasks: Promise<void>[] = [];
  #count = 0;
  #isClosed = false;

  private constructor(cluster: SoakCluster) {
    this.#cluster = cluster;
  }

  /** Creates idle callers. */
  static create(cluster: SoakCluster): SoakCallers {
    return new SoakCallers(cluster);
  }

  /** Starts sending requests until `close`. */
  start(): void {
    this.#tasks.push(this.#pollReadiness());
    for (const kind of Object.values(SoakRequestKind)) {
      for (let at = 0; at < CALLERS_PER_KIND; at++) {
        this.#tasks.push(this.#runCaller(kind));
      }
    }
  }

  /** Stops sending; resolves once all open requests have ended. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await Promise.all(this.#tasks);
  }

  /** Sends one request and records its outcome. */
  async send(options: SoakRequest): Promise<CallerRecord> {
    const { kind, entry } = options;
    const id = `id-${++this.#count}`;
    const query = kind === SoakRequestKind.Stream
      ? `?events=${STREAM_EVENTS}`
      : "";
    const path = `/${kind}/${id}`;
    const startMs = Date.now();
    const outcome = await exchange(options, { id, target: `${path}${query}` });
    const record: CallerRecord = {
      id,
      kind,
      path,
      entry: entry.index,
      startMs,
      endMs: Date.now(),
      ...outcome,
    };
    this.records.push(record);
    return record;
  }

  async #runCaller(kind: SoakRequestKind): Promise<void> {
    const agents = new Map<number, Agent>();
    while (!this.#isClosed) {
      const entry = this.#chooseEntry();
      const agent = agents.get(entry.index) ??
        new Agent({ keepAlive: true, maxSockets: 1 });
      agents.set(entry.index, agent);
      await this.send({ kind, entry, key: this.#cluster.key, agent });
      await sleep(PAUSE_MS);
    }
    for (const agent of agents.values()) agent.destroy();
  }

  #chooseEntry(): SoakEntry {
    const { entries } = this.#cluster;
    const ready = entries.filter(({ index }) =>
      (this.#failedChecks.get(index) ?? 0) < FAILED_CHECKS_MAX
    );
    const candidates = ready.length > 0 ? ready : entries;
    const at = Math.floor(Math.random() * candidates.length);
    return candidates[at] as SoakEntry;
  }

  async #pollReadiness(): Promise<void> {
    while (!this.#isClosed) {
      await Promise.all(this.#cluster.entries.map(async ({ index, host }) => {
        const isReady = await checkReadiness(host);
        this.#failedChecks.set(
          index,
          isReady ? 0 : (this.#failedChecks.get(index) ?? 0) + 1,
        );
      }));
      await sleep(READY_POLL_MS);
    }
  }
}

/** Sends a request, on an agent's open connection if it has one. */
function exchange(
  { kind, entry, key, agent }: SoakRequest,
  { id, target }: { readonly id: string; readonly target: string },
): Promise<Pick<CallerRecord, "status" | "body">> {
  return new Promise((resolve) => {
    let body = "";
    const outgoing = request({
      host: entry.host,
      port: CALLER_PORT,
      method: kind === SoakRequestKind.Read ? "GET" : "POST",
      path: target,
      agent: agent ?? false,
      headers: {
        host: HOST_NAME,
        authorization: `Bearer ${key}`,
        "x-request-id": id,
        "x-deadline-ms": String(REQUEST_DEADLINE_MS),
      },
    });
    const timer = setTimeout(
      () => outgoing.destroy(),
      REQUEST_DEADLINE_MS + CLOSE_DELAY_MS,
    );
    const settle = (status: number) => {
      clearTimeout(timer);
      resolve({ status, body });
    };
    outgoing.on("response", (response) => {
      response.setEncoding("utf8");
      response.on("data", (text: string) => body += text);
      response.on("end", () => {
        settle(response.complete ? response.statusCode ?? 0 : 0);
      });
      response.on("error", () => settle(0));
    });
    outgoing.on("error", () => settle(0));
    outgoing.end();
  });
}

function checkReadiness(host: string): Promise<boolean> {
  return new Promise((resolve) => {
    const check = request({
      host,
      port: READY_PORT,
      path: "/v1/readyz",
      agent: false,
      timeout: READY_TIMEOUT_MS,
    });
    check.on("timeout", () => check.destroy());
    check.on("error", () => resolve(false));
    check.on("response", (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    check.end();
  });
}
