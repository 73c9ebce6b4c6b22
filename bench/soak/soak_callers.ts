/** Callers of a soak: they keep connections open and use them until they end. */

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

/** What one request is sent as. */
export interface SoakRequest {
  readonly kind: SoakRequestKind;
  readonly entry: SoakEntry;
  readonly key: string;
  readonly agent?: Agent;
}

/** Callers of each sort that send at the same time. */
const CALLERS_EACH = 3;
const PAUSE_MS = 40;
const READY_POLL_MS = 500;
const READY_TIMEOUT_MS = 400;
/** Questions without a 200 that take an entry out, as the platform does it. */
const MISSES_MAX = 2;
/** Time past the deadline after which a caller closes its connection, in ms. */
const PATIENCE_MS = 1_500;

/** All callers, and the balancer before the entries. */
export class SoakCallers {
  readonly records: CallerRecord[] = [];
  readonly #cluster: SoakCluster;
  readonly #misses = new Map<number, number>();
  readonly #tasks: Promise<void>[] = [];
  #count = 0;
  #isEnded = false;

  private constructor(cluster: SoakCluster) {
    this.#cluster = cluster;
  }

  /** Makes callers; `start` lets them send. */
  static create(cluster: SoakCluster): SoakCallers {
    return new SoakCallers(cluster);
  }

  /** Sends until `close`. */
  start(): void {
    this.#tasks.push(this.#watchReady());
    for (const sort of Object.values(SoakRequestKind)) {
      for (let at = 0; at < CALLERS_EACH; at++) {
        this.#tasks.push(this.#callAgain(sort));
      }
    }
  }

  /** Lets open requests end, and stops. */
  async close(): Promise<void> {
    this.#isEnded = true;
    await Promise.all(this.#tasks);
  }

  /** Sends one request and records what came of it. */
  async send(sending: SoakRequest): Promise<CallerRecord> {
    const { kind: sort, entry } = sending;
    const id = `id-${++this.#count}`;
    const query = sort === SoakRequestKind.Stream
      ? `?events=${STREAM_EVENTS}`
      : "";
    const path = `/${sort}/${id}`;
    const startMs = Date.now();
    const seen = await exchange(sending, { id, target: `${path}${query}` });
    const record: CallerRecord = {
      id,
      kind: sort,
      path,
      entry: entry.index,
      startMs,
      endMs: Date.now(),
      ...seen,
    };
    this.records.push(record);
    return record;
  }

  async #callAgain(sort: SoakRequestKind): Promise<void> {
    const agents = new Map<number, Agent>();
    while (!this.#isEnded) {
      const entry = this.#choose();
      const agent = agents.get(entry.index) ??
        new Agent({ keepAlive: true, maxSockets: 1 });
      agents.set(entry.index, agent);
      await this.send({ kind: sort, entry, key: this.#cluster.key, agent });
      await sleep(PAUSE_MS);
    }
    for (const agent of agents.values()) agent.destroy();
  }

  #choose(): SoakEntry {
    const { entries } = this.#cluster;
    const ready = entries.filter(({ index }) =>
      (this.#misses.get(index) ?? 0) < MISSES_MAX
    );
    const candidates = ready.length > 0 ? ready : entries;
    const at = Math.floor(Math.random() * candidates.length);
    return candidates[at] as SoakEntry;
  }

  async #watchReady(): Promise<void> {
    while (!this.#isEnded) {
      await Promise.all(this.#cluster.entries.map(async ({ index, host }) => {
        const isReady = await askReady(host);
        this.#misses.set(
          index,
          isReady ? 0 : (this.#misses.get(index) ?? 0) + 1,
        );
      }));
      await sleep(READY_POLL_MS);
    }
  }
}

/** Sends over a kept connection, where there is one. */
function exchange(
  { kind: sort, entry, key, agent }: SoakRequest,
  { id, target }: { readonly id: string; readonly target: string },
): Promise<Pick<CallerRecord, "status" | "body">> {
  return new Promise((resolve) => {
    let body = "";
    const outgoing = request({
      host: entry.host,
      port: CALLER_PORT,
      method: sort === SoakRequestKind.Read ? "GET" : "POST",
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
      REQUEST_DEADLINE_MS + PATIENCE_MS,
    );
    const settle = (status: number) => {
      clearTimeout(timer);
      resolve({ status, body });
    };
    outgoing.on("response", (incoming) => {
      incoming.setEncoding("utf8");
      incoming.on("data", (text: string) => body += text);
      incoming.on("end", () => {
        settle(incoming.complete ? incoming.statusCode ?? 0 : 0);
      });
      incoming.on("error", () => settle(0));
    });
    outgoing.on("error", () => settle(0));
    outgoing.end();
  });
}

function askReady(host: string): Promise<boolean> {
  return new Promise((resolve) => {
    const asked = request({
      host,
      port: READY_PORT,
      path: "/v1/readyz",
      agent: false,
      timeout: READY_TIMEOUT_MS,
    });
    asked.on("timeout", () => asked.destroy());
    asked.on("error", () => resolve(false));
    asked.on("response", (incoming) => {
      incoming.resume();
      resolve(incoming.statusCode === 200);
    });
    asked.end();
  });
}
