/**
 * Client of the platform's object API: values with versions, conditional
 * updates, watches, and the list of instances.
 */

import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import { PLATFORM_RETRY_MS, WATCH_WAIT_MS } from "../constants.ts";
import { messageOf, PlatformUnavailable, VersionConflict } from "../errors.ts";
import type { Brand } from "../ids.ts";
import { callHttp, type HttpAnswer } from "./http_call.ts";

/** Version of a stored object; grows with each write. */
export type ObjectVersion = Brand<number, "object version">;

/** A stored object. */
export interface StoredObject {
  readonly version: ObjectVersion;
  readonly value: string;
}

/** One row of a listing, without the value. */
export interface ListedObject {
  readonly name: string;
  readonly version: ObjectVersion;
  /** Platform's time of the last write, ms since the epoch. */
  readonly updatedMs: number;
}

/** What the platform says of an instance. */
export enum InstanceState {
  Live = "live",
  Leaving = "leaving",
}

/** One row of the platform's list of instances, which lags. */
export interface Instance {
  /** Name of an entry or of a backend server. */
  readonly name: string;
  /** IP and port: the peer port of an entry. */
  readonly address: string;
  readonly role: "entry" | "backend-server";
  readonly state: InstanceState;
}

/** Where the platform is and how long a call may take. */
export interface PlatformOptions {
  readonly address: string;
  readonly timeoutMs: number;
}

interface ObjectCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly timeoutMs?: number;
}

const NO_VERSION = 0 as ObjectVersion;

/** A client that never retries a write by itself. */
export class PlatformClient {
  readonly #options: PlatformOptions;
  readonly #agent = new Agent({ keepAlive: true });
  #closed = false;

  private constructor(options: PlatformOptions) {
    this.#options = options;
  }

  /** Makes a client; connections open at the first call. */
  static create(options: PlatformOptions): PlatformClient {
    return new PlatformClient(options);
  }

  /** Closes kept connections and ends watches. */
  close(): void {
    this.#closed = true;
    this.#agent.destroy();
  }

  /** Reads an object. Errors: `PlatformUnavailable`. */
  async read(name: string): Promise<StoredObject | undefined> {
    const answer = await this.#call({ method: "GET", path: objectPath(name) });
    if (answer.status === 404) return undefined;
    return this.#parse<StoredObject>(answer);
  }

  /**
   * Creates an object.
   *
   * Errors: `VersionConflict` when it exists; `PlatformUnavailable` when the
   * write may or may not have taken effect.
   */
  create(name: string, value: string): Promise<ObjectVersion> {
    return this.#put(name, value, { "if-none-match": "*" });
  }

  /** Replaces an object at `version`. Errors: as for `create`. */
  update(
    name: string,
    version: ObjectVersion,
    value: string,
  ): Promise<ObjectVersion> {
    return this.#put(name, value, { "if-match": String(version) });
  }

  /** Writes an object whatever its version. Errors: `PlatformUnavailable`. */
  write(name: string, value: string): Promise<ObjectVersion> {
    return this.#put(name, value, {});
  }

  /** Removes an object at `version`. Errors: as for `create`. */
  async remove(name: string, version: ObjectVersion): Promise<void> {
    const answer = await this.#call({
      method: "DELETE",
      path: objectPath(name),
      headers: { "if-match": String(version) },
    });
    if (answer.status === 404) return;
    this.#requireSuccess(name, answer);
  }

  /** Lists objects by the start of their name. Errors: `PlatformUnavailable`. */
  async list(prefix: string): Promise<readonly ListedObject[]> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    return this.#parse(await this.#call({ method: "GET", path }));
  }

  /** Reads the list of instances. Errors: `PlatformUnavailable`. */
  async instances(): Promise<readonly Instance[]> {
    return this.#parse(await this.#call({ method: "GET", path: "/instances" }));
  }

  /**
   * Yields an object each time its version differs from the last one seen,
   * and `undefined` each time the platform could not be reached.
   */
  async *watch(name: string): AsyncGenerator<StoredObject | undefined> {
    let seen = NO_VERSION;
    while (!this.#closed) {
      try {
        const object = await this.#waitForChange(name, seen);
        if (object === undefined) continue;
        seen = object.version;
        yield object;
      } catch {
        if (this.#closed) return;
        yield undefined;
        await sleep(PLATFORM_RETRY_MS);
      }
    }
  }

  async #waitForChange(
    name: string,
    seen: ObjectVersion,
  ): Promise<StoredObject | undefined> {
    const query = `after=${seen}&wait=${WATCH_WAIT_MS}`;
    const answer = await this.#call({
      method: "GET",
      path: `/watch/${encodeURIComponent(name)}?${query}`,
      timeoutMs: WATCH_WAIT_MS + this.#options.timeoutMs,
    });
    if (answer.status === 204) return undefined;
    return this.#parse<StoredObject>(answer);
  }

  async #put(
    name: string,
    value: string,
    headers: Record<string, string>,
  ): Promise<ObjectVersion> {
    const answer = await this.#call({
      method: "PUT",
      path: objectPath(name),
      headers,
      body: value,
    });
    this.#requireSuccess(name, answer);
    return this.#parse<StoredObject>(answer).version;
  }

  #requireSuccess(name: string, answer: HttpAnswer): void {
    match(answer.status)
      .with(200, () => undefined)
      .with(412, () => {
        throw new VersionConflict(name);
      })
      .otherwise((status) => {
        throw new PlatformUnavailable(`status ${status}`);
      });
  }

  #parse<Value>(answer: HttpAnswer): Value {
    if (answer.status !== 200) {
      throw new PlatformUnavailable(`status ${answer.status}`);
    }
    return JSON.parse(answer.body.toString()) as Value;
  }

  async #call(call: ObjectCall): Promise<HttpAnswer> {
    try {
      return await callHttp({
        timeoutMs: this.#options.timeoutMs,
        ...call,
        address: this.#options.address,
        agent: this.#agent,
      });
    } catch (error) {
      throw new PlatformUnavailable(messageOf(error));
    }
  }
}

function objectPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}
