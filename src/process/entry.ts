/** The `gypsumridge-entry` process: HTTP server, server pool and peer links. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerConnections } from "../connection/caller_connections.ts";
import { limitConnections } from "../connection/connection_limit.ts";
import { listen } from "../connection/http_server.ts";
import type { KeyValueStore } from "../connection/key_value_store.ts";
import { type GossipDigest, PeerMessageKind } from "../gossip/peer_protocol.ts";
import {
  memoryShareLimits,
  ResponseBuffers,
} from "../connection/response_buffers.ts";
import { INSTANCE_LIST_INTERVAL_MS } from "../constants.ts";
import { messageOf } from "../errors.ts";
import type { ContentHash } from "../ids.ts";
import {
  entryClosingMs,
  type RequestTimes,
} from "../request/entry_admission.ts";
import { RequestEnding } from "../request/request_ending.ts";
import { serve } from "../request/routes.ts";
import { ShutdownAdmission } from "../request/shutdown_admission.ts";
import { chunkName, HEAD_NAME } from "../version/object_names.ts";
import { RevisionStore } from "../version/revision_store.ts";
import { parseHead } from "../version/parse_head.ts";
import type { Head } from "../version/types.ts";
import { askSources, type Source } from "./ask_sources.ts";
import { Dispatcher } from "./dispatcher.ts";
import { CallerGuard, Shed } from "./caller_guard.ts";
import type { EntryContext } from "./entry_context.ts";
import { EntryStatusWriter } from "./entry_status.ts";
import { EventLoopMonitor } from "./event_loop_monitor.ts";
import { LOG_EVENTS } from "./log_events.ts";
import { machineSize } from "./machine_size.ts";
import { ServerPool } from "./server_pool.ts";
import { ActionStore } from "./action_store.ts";
import type { Log } from "./log.ts";
import { Metrics } from "./metrics.ts";
import { PauseDetector } from "./pause_detector.ts";
import { Peers } from "../gossip/peers.ts";
import { OpenRequests, shutDownGracefully } from "./graceful_shutdown.ts";
import type { EntrySettings } from "./settings.ts";
import { CrashSuspicions } from "./crash_suspicions.ts";

/** Ports that an entry listens on. */
export interface EntryPorts {
  readonly port: number;
  readonly peerPort: number;
}

/** How long new requests wait for the refresh after a pause, in ms. */
const REFRESH_TIMEOUT_MS = 1_000;
/** Longest time after a shutdown's deadline for last writes, in ms. */
const LAST_WRITES_MAX_MS = 500;
const LAST_WRITES_POLL_MS = 10;
/** Time after which a chunk is requested from peers too, in ms. */
const PLATFORM_OVERDUE_MS = 300;
/** How long callers' connections may stay idle, in ms. */
const IDLE_LIMIT_MS = 30_000;
/** Limits all entries together to 100 instance list calls a second. */
const LIST_INTERVAL_PER_ENTRY_MS = 10;

/** Dependencies and settings of an entry. */
export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly log: Log;
  /** The platform's store; closed with the entry. */
  readonly platform: KeyValueStore;
}

/** One entry process. */
export class Entry {
  #settings: EntrySettings;
  readonly #log: Log;
  readonly #platform: KeyValueStore;
  readonly #peers: Peers;
  readonly #context: EntryContext;
  readonly #server: Server;
  readonly #callerConnections: CallerConnections;
  readonly #statusWriter: EntryStatusWriter;
  readonly #eventLoopMonitor: EventLoopMonitor;
  readonly #openRequests = OpenRequests.create();
  /** Records of requests that were ended with the process. */
  readonly #lastRecords: Promise<void>[] = [];
  #isStopping = false;
  #isClosed = false;
  /** The last head that was read from the store. */
  #latestHead: Head | undefined;

  private constructor({ settings, log, platform }: EntryOptions) {
    this.#settings = settings;
    this.#log = log;
    this.#platform = platform;
    this.#context = this.#createContext();
    const { callerGuard } = this.#context;
    this.#peers = Peers.create({
      entry: settings.id,
      key: settings.peerKey,
      log,
      createDigest: () => this.#createDigest(),
      onDigest: (digest) => this.#mergeDigest(digest),
      readChunk: (hash) => this.#context.revisionStore.chunk(hash),
      door: {
        connectionsMax: callerGuard.limits.peers,
        load: callerGuard.load,
        onClosed: () => callerGuard.record(Shed.Peer),
      },
    });
    this.#statusWriter = EntryStatusWriter.create(this.#context);
    this.#eventLoopMonitor = EventLoopMonitor.create({
      log,
      registry: this.#context.metrics.registry,
    });
    this.#server = createServer((request, response) =>
      this.#handleRequest(request, response)
    );
    this.#callerConnections = CallerConnections.create({
      server: this.#server,
      now: () => performance.now(),
    });
    this.#callerConnections.setIdleLimit(IDLE_LIMIT_MS);
    callerGuard.load.watch(this.#server);
    limitConnections(this.#server, {
      max: callerGuard.limits.callers,
      isServing: (socket) => this.#callerConnections.isServing(socket),
      onClosed: () => callerGuard.record(Shed.Connection),
    });
  }

  /** Creates an entry; `start` makes it listen. */
  static create(options: EntryOptions): Entry {
    return new Entry(options);
  }

  /** Listens and starts the background tasks; resolves with the ports. */
  async start(): Promise<EntryPorts> {
    const { host, port, peerPort } = this.#settings;
    const ports = {
      port: await listen(this.#server, host, port),
      peerPort: await this.#peers.listen(host, peerPort),
    };
    this.#log(LOG_EVENTS.listening, ports);
    this.#watchHead();
    this.#watchInstances();
    this.#statusWriter.start();
    return ports;
  }

  /**
   * Shuts down gracefully: keeps accepting until the load balancer has had time
   * to notice, then waits for open requests. Resolves with whether all of them
   * ended before the deadline; the process must end in the same turn.
   */
  async stop(): Promise<boolean> {
    this.#isStopping = true;
    this.#context.shutdownAdmission.beginShutdown(this.#shutdownMs());
    const settings = () => this.#settings;
    const isClean = await shutDownGracefully({
      openRequests: this.#openRequests,
      log: this.#log,
      get noticeMs() {
        return settings().shutdownNoticeMs;
      },
      get deadlineMs() {
        return settings().shutdownDeadlineMs;
      },
    });
    if (!isClean) await this.#finishLastWrites();
    return isClean;
  }

  /** Takes over settings that may differ in all but `FIXED_ENTRY_SETTINGS`. */
  applySettings(settings: EntrySettings): void {
    this.#settings = settings;
    const { dispatcher, serverPool, shutdownAdmission } = this.#context;
    dispatcher.setLimits(settings);
    serverPool.setRouting(settings.policy.routing);
    this.#peers.setKey(settings.peerKey);
    shutdownAdmission.setDeadline(this.#shutdownMs());
  }

  /** Longest duration of a shutdown: until both of its times have passed. */
  #shutdownMs(): number {
    const { shutdownNoticeMs, shutdownDeadlineMs } = this.#settings;
    return Math.max(shutdownNoticeMs, shutdownDeadlineMs);
  }

  /** Responds to all open requests; the process must end in the same turn. */
  endRequests(): void {
    this.#openRequests.endAll();
  }

  /** Closes all connections and stops all tasks at once. */
  close(): void {
    this.#isClosed = true;
    this.#eventLoopMonitor.close();
    this.#context.pauseDetector.close();
    this.#context.callerGuard.close();
    this.#context.serverPool.close();
    this.#peers.close();
    this.#statusWriter.close();
    this.#platform.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Waits until the last responses are read and the last records stored. */
  async #finishLastWrites(): Promise<void> {
    const endMs = performance.now() + LAST_WRITES_MAX_MS;
    let areStored = false;
    Promise.allSettled(this.#lastRecords).then(() => areStored = true);
    const isPending = () => !areStored || this.#openRequests.count > 0;
    while (isPending() && performance.now() < endMs) {
      await sleep(LAST_WRITES_POLL_MS);
    }
    this.endRequests();
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    if (this.#callerConnections.isClosing(request)) {
      return void request.resume();
    }
    const ending = RequestEnding.create(response);
    this.#openRequests.track(
      response,
      () => this.#lastRecords.push(ending.end()),
    );
    serve(this.#context, {
      request,
      response,
      ending,
      callerLeft: this.#callerConnections.leftSignal(request),
    });
  }

  #decideClose(request: IncomingMessage, isRequired: boolean): boolean {
    // A response with a later one on its connection must not announce the end.
    const isClosing = isRequired ||
      this.#callerConnections.isLast(request) ||
      (this.#context.isStopping() &&
        this.#callerConnections.isLatest(request));
    if (isClosing) this.#callerConnections.markClosing(request);
    return isClosing;
  }

  #createContext(): EntryContext {
    const now = () => performance.now();
    const log = this.#log;
    const serverPool = ServerPool.create({
      now,
      random: Math.random,
      log,
      routing: this.#settings.policy.routing,
      entryPosition: () => this.#peers.entryPosition,
      onCapacityAvailable: () => dispatcher.pump(),
    });
    const dispatcher = Dispatcher.create({
      now,
      pool: serverPool,
      queueMaxLength: this.#settings.queueMaxLength,
      policy: this.#settings.policy,
      log,
    });
    const metrics = Metrics.create();
    const revisionStore = RevisionStore.create((hash) =>
      this.#fetchChunk(hash)
    );
    revisionStore.subscribe((deployment) => {
      metrics.revision.set(deployment.revision);
      log(LOG_EVENTS.revisionAdopted, { revision: deployment.revision });
      serverPool.setDeployment(deployment);
      this.#statusWriter.scheduleWrite();
    });
    const machine = machineSize(this.#settings.machine);
    const settings = () => this.#settings;
    return {
      get settings() {
        return settings();
      },
      log,
      metrics,
      platform: this.#platform,
      revisionStore,
      serverPool,
      dispatcher,
      actionStore: ActionStore.create({ platform: this.#platform, log, now }),
      callerGuard: CallerGuard.create({
        machine: { ...machine, bodyMaxBytes: this.#settings.bodyMaxBytes },
        registry: metrics.registry,
        log,
        now,
      }),
      responseBuffers: ResponseBuffers.create(
        memoryShareLimits(machine.memoryBytes),
      ),
      suspicions: CrashSuspicions.create({
        now,
        onRecord: () => {
          this.#statusWriter.scheduleWrite();
          this.#peers.scheduleDigestBroadcast();
        },
      }),
      pauseDetector: PauseDetector.create({
        now,
        refresh: (pausedMs) => this.#refresh(pausedMs),
      }),
      now,
      entryPosition: () => this.#peers.entryPosition,
      decideClose: (request, isRequired) =>
        this.#decideClose(request, isRequired),
      isStopping: () => this.#isStopping,
      shutdownAdmission: ShutdownAdmission.create({
        now,
        closingMs: (times: RequestTimes, shutdown) =>
          entryClosingMs(times, {
            ...shutdown,
            noticeEndMs: shutdown.startMs + this.#settings.shutdownNoticeMs,
          }),
        onKindClosed: () => dispatcher.rejectBlocked(),
      }),
    };
  }

  /** Reads a chunk from the platform, or from peers if that takes long. */
  #fetchChunk(hash: ContentHash): Promise<string | undefined> {
    return askSources(this.#chunkSources(hash));
  }

  *#chunkSources(hash: ContentHash): Generator<Source<string>, void> {
    yield {
      overdueMs: PLATFORM_OVERDUE_MS,
      ask: () => this.#readChunk(hash),
    };
    yield* this.#peers.chunkSources(hash);
  }

  async #readChunk(hash: ContentHash): Promise<string | undefined> {
    try {
      return (await this.#platform.read(chunkName(hash)))?.value;
    } catch (error) {
      this.#log(LOG_EVENTS.platformUnreachable, { reason: messageOf(error) });
      return undefined;
    }
  }

  async #watchHead(): Promise<void> {
    let isReachable = true;
    for await (const stored of this.#platform.watch(HEAD_NAME)) {
      if (stored === undefined) {
        if (isReachable) this.#log(LOG_EVENTS.platformUnreachable);
        isReachable = false;
        continue;
      }
      if (!isReachable) this.#log(LOG_EVENTS.platformRecovered);
      isReachable = true;
      const head = parseHead(stored.value);
      if (head !== undefined) this.#adoptHead(head);
      else this.#log(LOG_EVENTS.revisionFailed, { reason: "invalid head" });
    }
  }

  /**
   * Adopts a head; retries until all of its chunks could be fetched, or a later
   * one has been read.
   */
  async #adoptHead(head: Head): Promise<void> {
    this.#latestHead = head;
    while (!this.#isClosed && this.#latestHead === head) {
      if (await this.#context.revisionStore.adopt(head)) return;
      this.#log(LOG_EVENTS.revisionFailed, { revision: head.revision });
      await sleep(INSTANCE_LIST_INTERVAL_MS);
    }
  }

  async #watchInstances(): Promise<void> {
    while (!this.#isClosed) {
      try {
        const instances = await this.#platform.instances();
        this.#context.serverPool.setInstances(instances);
        this.#peers.setInstances(instances);
        const { count } = this.#peers.entryPosition;
        this.#context.metrics.liveEntries.set(count);
      } catch {
        // Keep the last list; servers also report that they are leaving.
      }
      const minIntervalMs = this.#peers.entryPosition.count *
        LIST_INTERVAL_PER_ENTRY_MS;
      await sleep(Math.max(INSTANCE_LIST_INTERVAL_MS, minIntervalMs));
    }
  }

  /** Reads the head again after a pause of the process. */
  async #refresh(pausedMs: number): Promise<void> {
    this.#log(LOG_EVENTS.paused, { paused_ms: Math.round(pausedMs) });
    const read = async () => {
      const stored = await this.#platform.read(HEAD_NAME);
      const head = stored && parseHead(stored.value);
      if (head !== undefined) await this.#context.revisionStore.adopt(head);
    };
    const timeout = sleep(REFRESH_TIMEOUT_MS);
    await Promise.race([read().catch(() => timeout), timeout]);
  }

  #createDigest(): GossipDigest {
    return {
      kind: PeerMessageKind.Digest,
      entry: this.#settings.id,
      head: this.#context.revisionStore.head ?? null,
      suspicions: this.#context.suspicions.digest(),
    };
  }

  #mergeDigest({ head, suspicions }: GossipDigest): void {
    this.#context.suspicions.merge(suspicions);
    if (head !== null) this.#context.revisionStore.adopt(head);
  }
}
