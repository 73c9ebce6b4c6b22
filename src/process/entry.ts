/** An entry: everything that one `gypsumridge-entry` process holds and runs. */

import { createServer, type Server } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { listen } from "../connection/http_server.ts";
import type { KeyValueStore } from "../connection/key_value_store.ts";
import {
  type GossipDigest,
  PeerMessageKind,
} from "../connection/peer_protocol.ts";
import { INSTANCE_LIST_INTERVAL_MS } from "../constants.ts";
import type { ContentHash } from "../ids.ts";
import { serve } from "../request/routes.ts";
import { chunkName, HEAD_NAME } from "../version/object_names.ts";
import { RevisionStore } from "../version/revision_store.ts";
import type { Head } from "../version/types.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { EntryContext } from "./entry_context.ts";
import { EntryStatusWriter } from "./entry_status.ts";
import { LOG_EVENTS } from "./log_events.ts";
import { ServerPool } from "./server_pool.ts";
import { ActionStore } from "./action_store.ts";
import type { Log } from "./log.ts";
import { Metrics } from "./metrics.ts";
import { PauseDetector } from "./pause_detector.ts";
import { Peers } from "./peers.ts";
import { OpenRequests, shutDownGracefully } from "./graceful_shutdown.ts";
import type { EntrySettings } from "./settings.ts";
import { CrashSuspicions } from "./crash_suspicions.ts";

/** Ports that an entry listens on. */
export interface EntryPorts {
  readonly port: number;
  readonly peerPort: number;
}

/** How long new work waits after a pause for fresh views, in ms. */
const REFRESH_LIMIT_MS = 1_000;
/** Keeps all entries together to 100 readings of the list a second. */
const LIST_MS_PER_ENTRY = 10;

/** What an entry is made of. */
export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly log: Log;
  /** The platform's store; closed with the entry. */
  readonly platform: KeyValueStore;
}

/** One entry process. */
export class Entry {
  readonly #settings: EntrySettings;
  readonly #log: Log;
  readonly #platform: KeyValueStore;
  readonly #peers: Peers;
  readonly #context: EntryContext;
  readonly #server: Server;
  readonly #status: EntryStatusWriter;
  readonly #open = OpenRequests.create();
  #isStopping = false;
  #closed = false;

  private constructor({ settings, log, platform }: EntryOptions) {
    this.#settings = settings;
    this.#log = log;
    this.#platform = platform;
    this.#context = this.#createContext();
    this.#peers = Peers.create({
      entry: settings.id,
      key: settings.peerKey,
      log,
      createDigest: () => this.#createDigest(),
      onDigest: (digest) => this.#takeDigest(digest),
      readChunk: (hash) => this.#context.revisionStore.chunk(hash),
    });
    this.#status = EntryStatusWriter.create(this.#context);
    this.#server = createServer((request, response) => {
      this.#open.track(response);
      serve(this.#context, request, response);
    });
    this.#server.keepAliveTimeout = 30_000;
  }

  /** Makes an entry; `start` opens it. */
  static create(options: EntryOptions): Entry {
    return new Entry(options);
  }

  /** Listens and starts the tasks that keep its views; resolves with ports. */
  async start(): Promise<EntryPorts> {
    const { host, port, peerPort } = this.#settings;
    const ports = {
      port: await listen(this.#server, host, port),
      peerPort: await this.#peers.listen(host, peerPort),
    };
    this.#log(LOG_EVENTS.listening, ports);
    this.#watchHead();
    this.#watchInstances();
    this.#status.start();
    return ports;
  }

  /**
   * Stops without cutting a request off: listens on until the balancer has had
   * time to notice, then waits for open requests. Resolves with whether all
   * of them ended before the deadline.
   */
  async stop(): Promise<boolean> {
    const {
      shutdownNoticeMs: stopNoticeMs,
      shutdownDeadlineMs: stopDeadlineMs,
    } = this.#settings;
    this.#isStopping = true;
    return await shutDownGracefully({
      server: this.#server,
      open: this.#open,
      log: this.#log,
      noticeMs: stopNoticeMs,
      deadlineMs: stopDeadlineMs,
      onDrained: () => Promise.resolve(this.close()),
    });
  }

  /** Ends everything at once. */
  close(): void {
    this.#closed = true;
    this.#context.pauseDetector.close();
    this.#context.serverPool.close();
    this.#peers.close();
    this.#status.close();
    this.#platform.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #createContext(): EntryContext {
    const now = () => performance.now();
    const log = this.#log;
    const fleet = ServerPool.create({
      now,
      random: Math.random,
      log,
      routing: this.#settings.policy.routing,
      entryPosition: () => this.#peers.entryPosition,
      onCapacityAvailable: () => dispatcher.pump(),
    });
    const dispatcher = Dispatcher.create({
      now,
      pool: fleet,
      queueMaxLength: this.#settings.queueMaxLength,
      policy: this.#settings.policy,
      log,
    });
    const metrics = Metrics.create();
    const store = RevisionStore.create((hash) => this.#fetchChunk(hash));
    store.subscribe((deployment) => {
      metrics.revision.set(deployment.revision);
      log(LOG_EVENTS.revisionAdopted, { revision: deployment.revision });
      fleet.setDeployment(deployment);
      this.#status.scheduleWrite();
    });
    return {
      settings: this.#settings,
      log,
      metrics,
      platform: this.#platform,
      revisionStore: store,
      serverPool: fleet,
      dispatcher,
      actionStore: ActionStore.create({ platform: this.#platform, log, now }),
      suspicions: CrashSuspicions.create({
        now,
        onRecord: () => this.#status.scheduleWrite(),
      }),
      pauseDetector: PauseDetector.create({
        now,
        refresh: (pausedMs) => this.#refresh(pausedMs),
      }),
      now,
      entryPosition: () => this.#peers.entryPosition,
      isStopping: () => this.#isStopping,
    };
  }

  /** The platform first; during an outage a peer supplies the chunk. */
  async #fetchChunk(hash: ContentHash): Promise<string | undefined> {
    try {
      const stored = await this.#platform.read(chunkName(hash));
      if (stored !== undefined) return stored.value;
    } catch {
      // The peers are asked instead.
    }
    return await this.#peers.fetchChunk(hash);
  }

  async #watchHead(): Promise<void> {
    let isReached = true;
    for await (const stored of this.#platform.watch(HEAD_NAME)) {
      if (stored === undefined) {
        if (isReached) this.#log(LOG_EVENTS.platformUnreachable);
        isReached = false;
        continue;
      }
      if (!isReached) this.#log(LOG_EVENTS.platformRecovered);
      isReached = true;
      await this.#adopt(JSON.parse(stored.value) as Head);
    }
  }

  /** Adopts a head, again and again until its chunks can be had. */
  async #adopt(head: Head): Promise<void> {
    while (!this.#closed) {
      if (await this.#context.revisionStore.adopt(head)) return;
      this.#log(LOG_EVENTS.revisionFailed, { revision: head.revision });
      await sleep(INSTANCE_LIST_INTERVAL_MS);
    }
  }

  async #watchInstances(): Promise<void> {
    while (!this.#closed) {
      try {
        const instances = await this.#platform.instances();
        this.#context.serverPool.setInstances(instances);
        this.#peers.setInstances(instances);
        const { count } = this.#peers.entryPosition;
        this.#context.metrics.liveEntries.set(count);
      } catch {
        // The last list stays in use; servers report their leaving themselves.
      }
      const spreadMs = this.#peers.entryPosition.count * LIST_MS_PER_ENTRY;
      await sleep(Math.max(INSTANCE_LIST_INTERVAL_MS, spreadMs));
    }
  }

  /** After a pause: learn the head from the platform, or from a peer. */
  async #refresh(pausedMs: number): Promise<void> {
    this.#log(LOG_EVENTS.paused, { paused_ms: Math.round(pausedMs) });
    const read = async () => {
      const stored = await this.#platform.read(HEAD_NAME);
      if (stored === undefined) return;
      await this.#context.revisionStore.adopt(JSON.parse(stored.value) as Head);
    };
    const limit = sleep(REFRESH_LIMIT_MS);
    await Promise.race([read().catch(() => limit), limit]);
  }

  #createDigest(): GossipDigest {
    return {
      kind: PeerMessageKind.Digest,
      entry: this.#settings.id,
      head: this.#context.revisionStore.head ?? null,
      suspicions: this.#context.suspicions.digest(),
    };
  }

  #takeDigest({ head, suspicions }: GossipDigest): void {
    this.#context.suspicions.merge(suspicions);
    if (head !== null) this.#context.revisionStore.adopt(head);
  }
}
