/**
 * Relays that share scripted engines, of which one crashes whenever it begins
 * to answer a request with a part that crashes servers. No network.
 */

import { setTimeout as sleep } from "node:timers/promises";
import {
  abortError,
  type BackendRequest,
  type BackendResponse,
} from "../../src/connection/backend_request.ts";
import { AttemptError, FailureCause } from "../../src/errors.ts";
import type {
  EntryId,
  Fingerprint,
  ObjectRevision,
  PromptPart,
  RequestId,
} from "../../src/ids.ts";
import type { RegisteredServer } from "../../src/process/registered_server.ts";
import type { Relay } from "../../src/process/relay.ts";
import type { ProxyRequest } from "../../src/request/proxy_request.ts";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createServer,
  RecordedCaller,
} from "./scripted.ts";

/** The size of a fleet and the behavior of its servers. */
export interface CrashingFleetOptions {
  readonly relays: number;
  readonly servers: number;
  readonly zones: number;
  /** Whether a request crashes the server that begins to answer it. */
  readonly isDeadly: (request: ProxyRequest) => boolean;
}

/** A request with a deadly part that reached a server. */
export interface Arrival {
  readonly request: RequestId;
  readonly server: string;
  readonly atMs: number;
}

/** How one request ended. */
export interface ServedRequest {
  readonly ending: string;
  readonly attempts: number;
  readonly retryAfterS: number | undefined;
  readonly tookMs: number;
}

/** Time to prefill a prompt, in ms. */
const PREFILL_MS = 60;
/** Time from a response's head to the crash, in ms. */
const CRASH_MS = 20;
/** Time that a server is down after a crash, in ms. */
const DOWN_MS = 400;
/** Interval of digests between relays, in ms. */
const DIGEST_INTERVAL_MS = 150;
const EVENT_INTERVAL_MS = 60;
const EVENTS = 20;
const DEADLINE_MS = 8_000;

/** Engines and the relays before them. */
export class CrashingFleet {
  readonly #options: CrashingFleetOptions;
  readonly #relays: (Relay | undefined)[];
  readonly #servers: RegisteredServer[];
  /** Aborts all runs of a server when it crashes. */
  readonly #lives = new Map<string, AbortController>();
  readonly #digests: NodeJS.Timeout;
  readonly #isCut = new Set<number>();
  #revision: number;
  #requests = 0;
  /** Requests with a deadly part that reached a server, in order. */
  readonly arrivals: Arrival[] = [];
  /** When each server crashed, in order, in ms. */
  readonly crashesMs: number[] = [];

  private constructor(options: CrashingFleetOptions) {
    this.#options = options;
    this.#servers = Array.from(
      { length: options.servers },
      (_, at) => createServer(`${"abc".charAt(at % options.zones)}${at}`),
    );
    for (const { name } of this.#servers) this.#start(name);
    this.#revision = this.#servers.length;
    this.#relays = Array.from(
      { length: options.relays },
      (_, at) => this.#createRelay(at),
    );
    this.#digests = setInterval(
      () => this.#exchangeDigests(),
      DIGEST_INTERVAL_MS,
    );
  }

  static create(options: CrashingFleetOptions): CrashingFleet {
    return new CrashingFleet(options);
  }

  close(): void {
    clearInterval(this.#digests);
  }

  relay(at: number): Relay {
    const relay = this.#relays[at];
    if (relay === undefined) throw new Error(`relay ${at} does not exist`);
    return relay;
  }

  /** Replaces a relay by one without state. */
  restartRelay(at: number): void {
    this.#relays[at] = this.#createRelay(at);
  }

  /** Cuts a relay off from the others, or connects it again. */
  setCut(at: number, isCut: boolean): void {
    if (isCut) this.#isCut.add(at);
    else this.#isCut.delete(at);
  }

  /** Crashes all servers of a zone at once. */
  crashZone(zone: string): void {
    for (const server of this.#servers) {
      if (server.zone === `zone-${zone}`) this.#crash(server.name);
    }
  }

  /** Sends one request of its own to a relay. */
  async send(
    at: number,
    parts: readonly string[],
    changes: Partial<ProxyRequest> = {},
  ): Promise<ServedRequest> {
    const relay = this.relay(at);
    const number = ++this.#requests;
    const nowMs = performance.now();
    const request = createRequest({
      id: `request-${number}` as RequestId,
      fingerprint: `fingerprint-${number}` as Fingerprint,
      promptKey: `prompt-${number}`,
      promptParts: parts as readonly PromptPart[],
      receivedMs: nowMs,
      callerDeadlineMs: nowMs + DEADLINE_MS,
      routeDeadlineMs: nowMs + DEADLINE_MS,
      ...changes,
    });
    const caller = RecordedCaller.create();
    let attempts = 0;
    await serveRequest(relay.context, {
      request,
      caller,
      open: (target) => {
        attempts++;
        return this.#serve(target, request);
      },
    });
    return {
      ending: caller.ending,
      attempts,
      retryAfterS: caller.refusal?.retryAfterS,
      tookMs: performance.now() - nowMs,
    };
  }

  /** Requests with a deadly part that reached a server after `fromMs`. */
  arrivalsAfter(fromMs: number): number {
    return this.arrivals.filter(({ atMs }) => atMs > fromMs).length;
  }

  #createRelay(at: number): Relay {
    return createRelay(this.#servers, {
      entry: `entry-${at}` as EntryId,
      retryAllowance: 10_000,
      copyKvCache: () => Promise.reject(new Error("no room")),
      fetchReport: ({ name, startedMs }) =>
        this.#lives.get(name)?.signal.aborted === false
          ? Promise.resolve({
            startedMs,
            runs: undefined,
            waiting: 0,
            prefilling: undefined,
          })
          : Promise.reject(new Error("connection refused")),
    });
  }

  #exchangeDigests(): void {
    const digests = this.#relays.map((relay) => relay?.createDigest());
    for (const [to, relay] of this.#relays.entries()) {
      for (const [from, digest] of digests.entries()) {
        const isLinked = from !== to && !this.#isCut.has(from) &&
          !this.#isCut.has(to);
        if (isLinked && digest !== undefined) {
          relay?.mergeDigest(structuredClone(digest));
        }
      }
    }
  }

  #start(name: string): void {
    this.#lives.set(name, new AbortController());
  }

  #crash(name: string): void {
    const life = this.#lives.get(name);
    if (life === undefined || life.signal.aborted) return;
    this.crashesMs.push(performance.now());
    life.abort(new AttemptError(FailureCause.Closed, "aborted"));
    setTimeout(() => this.#restart(name), DOWN_MS).unref();
  }

  /** Starts a server again under a new name, as the platform does. */
  #restart(name: string): void {
    const at = this.#servers.findIndex((server) => server.name === name);
    const previous = this.#servers[at];
    if (previous === undefined) return;
    const started = {
      ...previous,
      name: `${previous.name.replace(/-.*/, "")}-${++this.#revision}`,
      startedMs: previous.startedMs + 1,
    };
    this.#servers[at] = started;
    this.#start(started.name);
    for (const relay of this.#relays) {
      relay?.applyServerChanges([
        {
          name,
          revision: ++this.#revision as ObjectRevision,
          server: undefined,
          isRemoved: true,
        },
        {
          name: started.name,
          revision: ++this.#revision as ObjectRevision,
          server: started,
        },
      ], false);
    }
  }

  async #serve(
    target: BackendRequest,
    request: ProxyRequest,
  ): Promise<BackendResponse> {
    const { name } = target.server;
    const life = this.#lives.get(name)?.signal;
    if (life === undefined || life.aborted) {
      throw new AttemptError(FailureCause.Unreachable, "connection refused");
    }
    target.onSent();
    const isDeadly = this.#options.isDeadly(request);
    if (isDeadly) {
      this.arrivals.push({
        request: request.id,
        server: name,
        atMs: performance.now(),
      });
    }
    const signal = AbortSignal.any([life, target.signal]);
    const pause = async (ms: number) => {
      await sleep(ms, undefined, { signal }).catch(() => undefined);
      if (signal.aborted) throw abortError(signal);
    };
    await pause(PREFILL_MS);
    const crash = () => this.#crash(name);
    const firstId = Number(target.lastEventId ?? 0) + 1;
    return {
      head: { status: 200, headers: [], isFramed: true },
      hasNotRun: false,
      isMisdirected: false,
      body: async function* () {
        if (isDeadly) {
          setTimeout(crash, CRASH_MS);
          await pause(DEADLINE_MS);
        }
        for (let id = firstId; id <= EVENTS; id++) {
          yield Buffer.from(`id: ${id}\ndata: x\n\n`);
          await pause(EVENT_INTERVAL_MS);
        }
      },
    };
  }
}
