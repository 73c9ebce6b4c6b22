/** A stand-in platform with an entry in the test's process. */

import { expect } from "vitest";
import { LocalCluster } from "../bench/local_cluster.ts";
import { HttpObjectStore } from "../platform/http_object_store.ts";
import { callHttp, type HttpResponse } from "../src/connection/http_call.ts";
import type { LogDetails } from "../src/process/log.ts";
import type { LogEvent } from "../src/process/log_events.ts";
import { type LocalEntry, startLocalEntry } from "./local_platform_entry.ts";

/** Limits of a test's configuration. */
export const LIMITS = {
  maxHeaderBytes: 8_192,
  maxBodyBytes: 65_536,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Time by which a response may exceed its deadline, in ms. */
const LATE_MAX_MS = 1_000;

/** The platform's store, an entry and what the entry logs. */
export class LocalPlatform {
  readonly cluster: LocalCluster;
  readonly store: HttpObjectStore;
  readonly #logged: { event: LogEvent; details: LogDetails }[] = [];
  #started: LocalEntry | undefined;

  private constructor(cluster: LocalCluster) {
    this.cluster = cluster;
    this.store = HttpObjectStore.create({
      address: cluster.platform.address,
      timeoutMs: 1_000,
    });
  }

  /** Starts the platform, without an entry. */
  static async create(): Promise<LocalPlatform> {
    return new LocalPlatform(
      await LocalCluster.create({ engines: 0, entries: 0 }),
    );
  }

  /** Sets the configuration and starts an entry; resolves once it is ready. */
  async startEntry(configuration: object): Promise<void> {
    await this.store.create("config", { name: "main", spec: configuration });
    const { address } = this.cluster.platform;
    const started = await startLocalEntry("entry-1", address, {
      log: (event, details = {}) => this.#logged.push({ event, details }),
    });
    this.#started = started;
    await expect.poll(() => started.entry.isReady, { timeout: 5_000 })
      .toBe(true);
  }

  /** IP and port of the entry for callers. */
  get address(): string {
    if (this.#started === undefined) throw new Error("no entry was started");
    return this.#started.address;
  }

  /** Details of the entry's log lines of an event. */
  detailsOf(event: LogEvent): readonly LogDetails[] {
    return this.#logged.filter((line) => line.event === event)
      .map(({ details }) => details);
  }

  /** Sends a request through the entry. */
  call(
    path: string,
    { method = "POST", deadlineMs = 6_000 } = {},
  ): Promise<HttpResponse> {
    return callHttp({
      address: this.address,
      method,
      path,
      headers: {
        host: "a.example",
        "x-request-id": crypto.randomUUID(),
        "x-deadline-ms": String(deadlineMs),
      },
      timeoutMs: deadlineMs + LATE_MAX_MS,
    });
  }

  /** Closes the entry, the store's client and the platform. */
  async close(): Promise<void> {
    await this.#started?.entry.close();
    this.store.close();
    await this.cluster.close();
  }
}
