/** Callers of a soak, which keep and reuse their connections. */

import { Agent, type ClientRequest, request } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type CallerRecord,
  IDLE_USE_FRACTION,
  type IdleClose,
  REQUEST_DEADLINE_MS,
  RequestEnd,
  SoakRequestKind,
  STREAM_EVENTS,
} from "./soak_checks.ts";
import type { SoakEntry } from "./soak_cluster.ts";
import {
  CALLER_PORT,
  HOST_NAME,
  READY_PORT,
  SHUTDOWN_GRACE_MS,
  STEADY_KEY,
} from "./soak_deployment.ts";

/** What callers know of an entry. */
type CalledEntry = Pick<SoakEntry, "index" | "host">;

/** Options of one request. */
export interface SoakRequest {
  readonly kind: SoakRequestKind;
  readonly entry: CalledEntry;
  readonly key: string;
  readonly agent?: Agent;
  /** Part of its prompt that crashes servers, if any. */
  readonly deadlyPart?: string;
  /** Time from its head to the end of its body, in ms, if it is slow. */
  readonly bodyMs?: number;
  /** Whether it ends its connection's sending direction after the request. */
  readonly endsSending?: boolean;
}

/** Number and behaviour of the callers. */
export interface SoakCallersOptions {
  /** Number of concurrent callers of each request kind. */
  readonly perKind: number;
  /** Number of further callers with slow bodies of each kind; 0 by default. */
  readonly slowPerKind?: number;
  /** Returns numbers in [0, 1). */
  readonly random: () => number;
}

/** What a caller saw of one request. */
type Exchange =
  & Pick<
    CallerRecord,
    "status" | "body" | "end" | "isReused" | "writtenMs" | "announcesLeaving"
  >
  & {
    /** The connection, if the response lets the caller keep it. */
    readonly kept?: Socket;
    /** Idle time that the response allows, in ms; 0 if it states none. */
    readonly announcedIdleMs: number;
  };

/** Pause of the callers that don't leave their connections idle for long. */
const PAUSE_MS = 40;
/** Time between two streams with a part that crashes servers, in ms. */
const DEADLY_PAUSE_MS = 250;
/** Part that all streams share. */
const SHARED_PART = "5a";
/** Share of pauses that are close to the longest allowed one. */
const LONGEST_PAUSE_SHARE = 0.6;
const LONGEST_PAUSE_MIN_FRACTION = 0.9;
const BODY_MAX_BYTES = 3_000;
/** Share of bodies that are sent in chunks, with a pause between them. */
const CHUNKED_SHARE = 0.5;
const CHUNK_PAUSE_MAX_MS = 150;
/** Pieces in which slow bodies are sent. */
const SLOW_PIECES = 5;
const SLOW_BODY_MIN_MS = 300;
const SLOW_BODY_MAX_MS = 5_000;
/** Share of slow bodies that take the longest, and the least of those, in ms. */
const LONGEST_BODY_SHARE = 0.4;
const LONGEST_BODY_MIN_MS = 4_000;
/** Longest time until a caller with slow bodies begins, in ms. */
const SLOW_START_MAX_MS = 2_000;
const SLOW_KINDS = [SoakRequestKind.Stream, SoakRequestKind.Write];
/** One caller with slow bodies in this many uses a new connection each time. */
const FRESH_STRIDE = 3;
const MS_PER_S = 1_000;
const READY_POLL_MS = 500;
const READY_TIMEOUT_MS = 400;
/** Failed readiness checks that remove an entry, as on the platform. */
const FAILED_CHECKS_MAX = 2;
/** Time past the deadline until a caller closes its connection, in ms. */
const CLOSE_DELAY_MS = 1_500;

/** All callers, with the load balancer in front of the entries. */
export class SoakCallers {
  readonly records: CallerRecord[] = [];
  readonly idleCloses: IdleClose[] = [];
  readonly #entries: readonly CalledEntry[];
  readonly #options: SoakCallersOptions;
  readonly #failedChecks = new Map<number, number>();
  readonly #tasks: Promise<void>[] = [];
  #count = 0;
  #isClosed = false;

  private constructor(
    entries: readonly CalledEntry[],
    options: SoakCallersOptions,
  ) {
    this.#entries = entries;
    this.#options = options;
  }

  /** Creates idle callers. */
  static create(
    entries: readonly CalledEntry[],
    options: SoakCallersOptions,
  ): SoakCallers {
    return new SoakCallers(entries, options);
  }

  /** Starts sending requests until `close`. */
  start(): void {
    this.#tasks.push(this.#pollReadiness());
    for (const kind of Object.values(SoakRequestKind)) {
      for (let at = 0; at < this.#options.perKind; at++) {
        this.#tasks.push(this.#runCaller(kind, { isPatient: at % 2 === 1 }));
      }
    }
    for (const kind of SLOW_KINDS) {
      for (let at = 0; at < (this.#options.slowPerKind ?? 0); at++) {
        const isFresh = at % FRESH_STRIDE === 0;
        this.#tasks.push(this.#runSlowCaller(kind, { isFresh }));
      }
    }
  }

  /** Stops sending; resolves once all open requests have ended. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await Promise.all(this.#tasks);
  }

  /** Sends one request and records its outcome. */
  async send(options: SoakRequest): Promise<CallerRecord & Exchange> {
    const { kind, entry, key, deadlyPart, bodyMs = 0 } = options;
    const deadlineMs = REQUEST_DEADLINE_MS + bodyMs;
    const id = `id-${++this.#count}`;
    const query = kind === SoakRequestKind.Stream
      ? `?events=${STREAM_EVENTS}`
      : "";
    const path = `/${kind}/${id}`;
    const startMs = Date.now();
    const exchanged = await exchange(options, {
      id,
      target: `${path}${query}`,
      deadlineMs,
      random: this.#options.random,
    });
    const { kept: _kept, announcedIdleMs: _announcedIdleMs, ...outcome } =
      exchanged;
    const record: CallerRecord = {
      id,
      kind,
      path,
      entry: entry.index,
      hasSteadyKey: key === STEADY_KEY,
      startMs,
      deadlineMs,
      endMs: Date.now(),
      ...outcome,
      ...deadlyPart !== undefined && { deadlyPart },
    };
    this.records.push(record);
    return { ...record, ...exchanged };
  }

  /** Sends streams with a part that crashes servers to any entries. */
  async sendDeadly(deadlyPart: string, forMs: number): Promise<void> {
    const untilMs = Date.now() + forMs;
    const sent: Promise<unknown>[] = [];
    while (!this.#isClosed && Date.now() < untilMs) {
      const entry = this.#chooseEntry();
      const kind = SoakRequestKind.Stream;
      sent.push(this.send({ kind, entry, key: STEADY_KEY, deadlyPart }));
      await sleep(DEADLY_PAUSE_MS);
    }
    await Promise.all(sent);
  }

  /**
   * Sends a write whose body takes the whole grace period, so that an entry that
   * stops meanwhile has one that is still incomplete when it ends admission.
   */
  async sendThroughStop(entry: CalledEntry): Promise<void> {
    const kind = SoakRequestKind.Write;
    const bodyMs = SHUTDOWN_GRACE_MS;
    await this.send({ kind, entry, key: STEADY_KEY, bodyMs });
  }

  /**
   * Sends requests one after the other on a connection until the entry closes
   * it, then on a new one to an entry that the load balancer chooses.
   */
  async #runCaller(
    kind: SoakRequestKind,
    { isPatient }: { readonly isPatient: boolean },
  ): Promise<void> {
    while (!this.#isClosed) {
      const agent = createAgent();
      const entry = this.#chooseEntry();
      let isOpen = true;
      while (isOpen && !this.#isClosed) {
        const sent = await this.send({ kind, entry, key: STEADY_KEY, agent });
        const pauseMs = isPatient
          ? this.#choosePauseMs(sent.announcedIdleMs)
          : PAUSE_MS;
        isOpen = await this.#keepAfter(sent, pauseMs);
      }
      agent.destroy();
    }
  }

  /**
   * Sends requests with slow bodies, each on a connection of its own: a new one,
   * or one that has been idle for up to the grace period, so that requests begin
   * at any moment of a shutdown.
   */
  async #runSlowCaller(
    kind: SoakRequestKind,
    { isFresh }: { readonly isFresh: boolean },
  ): Promise<void> {
    const { random } = this.#options;
    await sleep(random() * SLOW_START_MAX_MS);
    while (!this.#isClosed) {
      const agent = createAgent();
      const entry = this.#chooseEntry();
      const key = STEADY_KEY;
      const bodyMs = this.#chooseBodyMs();
      let isOpen = true;
      if (!isFresh) {
        const read = { kind: SoakRequestKind.Read, entry, key, agent };
        const sent = await this.send(read);
        isOpen = await this.#keepAfter(sent, random() * SHUTDOWN_GRACE_MS);
      }
      if (isOpen && !this.#isClosed) {
        const endsSending = kind !== SoakRequestKind.Stream && isFresh;
        await this.send({ kind, entry, key, agent, bodyMs, endsSending });
      }
      agent.destroy();
      await sleep(PAUSE_MS);
    }
  }

  #chooseBodyMs(): number {
    const { random } = this.#options;
    const minMs = random() < LONGEST_BODY_SHARE
      ? LONGEST_BODY_MIN_MS
      : SLOW_BODY_MIN_MS;
    return Math.round(minMs + random() * (SLOW_BODY_MAX_MS - minMs));
  }

  #choosePauseMs(announcedIdleMs: number): number {
    const { random } = this.#options;
    const from = random() < LONGEST_PAUSE_SHARE
      ? LONGEST_PAUSE_MIN_FRACTION
      : 0;
    const fraction = from + random() * (1 - from);
    return Math.max(PAUSE_MS, fraction * IDLE_USE_FRACTION * announcedIdleMs);
  }

  /** Like `#keepIdle`, after a request; records if its connection closed. */
  async #keepAfter(
    { id, entry, kept, announcedIdleMs, endMs }: CallerRecord & Exchange,
    pauseMs: number,
  ): Promise<boolean> {
    const isOpen = await this.#keepIdle(kept, pauseMs);
    if (kept !== undefined && !isOpen) {
      const closedMs = Date.now();
      const idleMs = closedMs - endMs;
      this.idleCloses.push({ id, entry, idleMs, announcedIdleMs, closedMs });
    }
    return isOpen;
  }

  /** Resolves with whether the connection is still open after a pause. */
  async #keepIdle(
    connection: Socket | undefined,
    pauseMs: number,
  ): Promise<boolean> {
    const untilMs = Date.now() + pauseMs;
    let isOpen = connection !== undefined;
    const markClosed = () => isOpen = false;
    connection?.once("end", markClosed).once("close", markClosed);
    do {
      await sleep(Math.min(PAUSE_MS, Math.max(0, untilMs - Date.now())));
    } while (isOpen && !this.#isClosed && Date.now() < untilMs);
    connection?.off("end", markClosed).off("close", markClosed);
    return isOpen;
  }

  #chooseEntry(): CalledEntry {
    const ready = this.#entries.filter(({ index }) =>
      (this.#failedChecks.get(index) ?? 0) < FAILED_CHECKS_MAX
    );
    const candidates = ready.length > 0 ? ready : this.#entries;
    const at = Math.floor(this.#options.random() * candidates.length);
    return candidates[at] as CalledEntry;
  }

  async #pollReadiness(): Promise<void> {
    while (!this.#isClosed) {
      await Promise.all(this.#entries.map(async ({ index, host }) => {
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

/** Returns an agent with one connection, which it never closes by itself. */
function createAgent(): Agent {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  // Node's own agent closes a connection a second before the announced time.
  agent.keepSocketAlive = () => true;
  return agent;
}

/** Sends a request, on an agent's open connection if it has one. */
function exchange(
  { kind, entry, key, agent, deadlyPart, bodyMs, endsSending }: SoakRequest,
  { id, target, deadlineMs, random }: {
    readonly id: string;
    readonly target: string;
    readonly deadlineMs: number;
    readonly random: () => number;
  },
): Promise<Exchange> {
  return new Promise((resolve) => {
    let body = "";
    let socket: Socket | undefined;
    let writtenMs: number | undefined;
    let hasGivenUp = false;
    let announcesLeaving = false;
    let hasResponse = false;
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
        "x-deadline-ms": String(deadlineMs),
        ...kind === SoakRequestKind.Stream && {
          "x-prompt-prefix": formatPromptPrefix(id, deadlyPart),
        },
      },
    });
    const timer = setTimeout(() => {
      hasGivenUp = true;
      outgoing.destroy();
    }, deadlineMs + CLOSE_DELAY_MS);
    const settle = (
      end: RequestEnd,
      response: Pick<Exchange, "status" | "announcedIdleMs" | "kept">,
    ) => {
      clearTimeout(timer);
      const isReused = outgoing.reusedSocket;
      resolve({
        body,
        end: hasGivenUp ? RequestEnd.GivenUp : end,
        writtenMs,
        isReused,
        announcesLeaving,
        ...response,
      });
    };
    const none = { status: 0, announcedIdleMs: 0 };
    // The response no longer knows its connection once it has ended.
    outgoing.on("socket", (assigned) => socket = assigned);
    outgoing.on("finish", () => {
      writtenMs = Date.now();
      if (endsSending) socket?.end();
    });
    outgoing.on("response", (response) => {
      hasResponse = true;
      announcesLeaving = response.headers["server-leaving"] === "1";
      response.setEncoding("utf8");
      response.on("data", (text: string) => body += text);
      response.on("end", () => {
        if (!response.complete) return settle(RequestEnd.Cut, none);
        const { "keep-alive": keepAlive, connection } = response.headers;
        const isKept = agent !== undefined && socket !== undefined &&
          connection !== "close" && writtenMs !== undefined;
        settle(RequestEnd.Complete, {
          status: response.statusCode ?? 0,
          announcedIdleMs: parseIdleMs(String(keepAlive ?? "")),
          ...isKept && { kept: socket },
        });
        // The rest of the body is not sent, so the connection is of no use.
        if (writtenMs === undefined) outgoing.destroy();
      });
      response.on("error", () => settle(RequestEnd.Cut, none));
    });
    outgoing.on("error", () => settle(RequestEnd.Unanswered, none));
    if (kind === SoakRequestKind.Read) outgoing.end();
    else {
      const options = { random, bodyMs, hasResponse: () => hasResponse };
      void writeBody(outgoing, options);
    }
  });
}

function formatPromptPrefix(id: string, deadlyPart?: string): string {
  const own = id.replace("id-", "");
  const parts = [SHARED_PART, ...deadlyPart === undefined ? [] : [deadlyPart]];
  return [...parts, own].map((part) => `${part}:1`).join(",");
}

/**
 * Writes a body with a length, or in two chunks with a pause between them; a
 * slow one in pieces, in either form. Stops at the response.
 */
async function writeBody(
  outgoing: ClientRequest,
  { random, bodyMs, hasResponse }: {
    readonly random: () => number;
    readonly bodyMs: number | undefined;
    readonly hasResponse: () => boolean;
  },
): Promise<void> {
  const body = "x".repeat(Math.floor(random() * BODY_MAX_BYTES));
  const isChunked = random() < CHUNKED_SHARE;
  const mayWrite = () => !outgoing.destroyed && !hasResponse();
  if (bodyMs === undefined) {
    if (!isChunked) return void outgoing.end(body);
    outgoing.write(`${body}x`);
    await sleep(random() * CHUNK_PAUSE_MAX_MS);
    if (mayWrite()) outgoing.end("last chunk");
    return;
  }
  const piece = "x".repeat(Math.ceil((body.length + 1) / SLOW_PIECES));
  if (!isChunked) {
    outgoing.setHeader("content-length", piece.length * SLOW_PIECES);
  }
  const startMs = Date.now();
  for (let at = 0; at < SLOW_PIECES && mayWrite(); at++) {
    if (at === SLOW_PIECES - 1) return void outgoing.end(piece);
    outgoing.write(piece);
    const nextMs = startMs + (at + 1) / (SLOW_PIECES - 1) * bodyMs;
    await sleep(Math.max(0, nextMs - Date.now()));
  }
}

function parseIdleMs(keepAlive: string): number {
  return Number(/timeout=(\d+)/.exec(keepAlive)?.[1] ?? 0) * MS_PER_S;
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
