/** An entry: everything that one `gypsumridge-entry` process holds and runs. */

import { createServer, type Server } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { listen } from "../connection/http_server.ts";
import type { ValueStore } from "../connection/value_store.ts";
import { type Digest, PeerMessageKind } from "../connection/peer_protocol.ts";
import { INSTANCE_LIST_INTERVAL_MS } from "../constants.ts";
import type { ContentHash } from "../ids.ts";
import { serve } from "../request/routes.ts";
import { chunkName, HEAD_NAME } from "../version/object_names.ts";
import { RevisionStore } from "../version/revision_store.ts";
import type { Head } from "../version/types.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { EntryContext } from "./entry_context.ts";
import { EntryStatusWriter } from "./entry_status.ts";
import { EVENTS } from "./event_catalog.ts";
import { Fleet } from "./fleet.ts";
import { Ledger } from "./ledger.ts";
import type { Log } from "./log.ts";
import { Metrics } from "./metrics.ts";
import { PauseGuard } from "./pause_guard.ts";
import { Peers } from "./peers.ts";
import { OpenRequests, stopServer } from "./planned_stop.ts";
import type { EntrySettings } from "./settings.ts";
import { Suspicions } from "./suspicions.ts";

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
  readonly platform: ValueStore;
}

/** One entry process. */
export class Entry {
  readonly #settings: EntrySettings;
  readonly #log: Log;
  readonly #platform: ValueStore;
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
      readChunk: (hash) => this.#context.store.chunk(hash),
    });
    this.#status = EntryStatusWriter.create(this.#context);
    this.#server = createServer((request, response) => {
      this.#open.begin(response);
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
    this.#log(EVENTS.listening, ports);
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
    const { stopNoticeMs, stopDeadlineMs } = this.#settings;
    this.#isStopping = true;
    return await stopServer({
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
    this.#context.guard.close();
    this.#context.fleet.close();
    this.#peers.close();
    this.#status.close();
    this.#platform.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #createContext(): EntryContext {
    const now = () => performance.now();
    const log = this.#log;
    const fleet = Fleet.create({
      now,
      random: Math.random,
      log,
      routing: this.#settings.policy.routing,
      standing: () => this.#peers.standing,
      onRoom: () => dispatcher.pump(),
    });
    const dispatcher = Dispatcher.create({
      now,
      fleet,
      queueLength: this.#settings.queueLength,
      policy: this.#settings.policy,
      log,
    });
    const metrics = Metrics.create();
    const store = RevisionStore.create((hash) => this.#fetchChunk(hash));
    store.subscribe((deployment) => {
      metrics.revision.set(deployment.revision);
      log(EVENTS.revisionAdopted, { revision: deployment.revision });
      fleet.setDeployment(deployment);
      this.#status.write();
    });
    return {
      settings: this.#settings,
      log,
      metrics,
      platform: this.#platform,
      store,
      fleet,
      dispatcher,
      ledger: Ledger.create({ platform: this.#platform, log, now }),
      suspicions: Suspicions.create({
        now,
        onRecord: () => this.#status.write(),
      }),
      guard: PauseGuard.create({
        now,
        refresh: (pausedMs) => this.#refresh(pausedMs),
      }),
      now,
      standing: () => this.#peers.standing,
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
        if (isReached) this.#log(EVENTS.platformLost);
        isReached = false;
        continue;
      }
      if (!isReached) this.#log(EVENTS.platformBack);
      isReached = true;
      await this.#adopt(JSON.parse(stored.value) as Head);
    }
  }

  /** Adopts a head, again and again until its chunks can be had. */
  async #adopt(head: Head): Promise<void> {
    while (!this.#closed) {
      if (await this.#context.store.adopt(head)) return;
      this.#log(EVENTS.revisionFailed, { revision: head.revision });
      await sleep(INSTANCE_LIST_INTERVAL_MS);
    }
  }

  async #watchInstances(): Promise<void> {
    while (!this.#closed) {
      try {
        const instances = await this.#platform.instances();
        this.#context.fleet.setInstances(instances);
        this.#peers.setInstances(instances);
        const { count } = this.#peers.standing;
        this.#context.metrics.liveEntries.set(count);
      } catch {
        // The last list stays in use; servers report their leaving themselves.
      }
      const spreadMs = this.#peers.standing.count * LIST_MS_PER_ENTRY;
      await sleep(Math.max(INSTANCE_LIST_INTERVAL_MS, spreadMs));
    }
  }

  /** After a pause: learn the head from the platform, or from a peer. */
  async #refresh(pausedMs: number): Promise<void> {
    this.#log(EVENTS.paused, { paused_ms: Math.round(pausedMs) });
    const read = async () => {
      const stored = await this.#platform.read(HEAD_NAME);
      if (stored === undefined) return;
      await this.#context.store.adopt(JSON.parse(stored.value) as Head);
    };
    const limit = sleep(REFRESH_LIMIT_MS);
    await Promise.race([read().catch(() => limit), limit]);
  }

  #createDigest(): Digest {
    return {
      kind: PeerMessageKind.Digest,
      entry: this.#settings.id,
      head: this.#context.store.head ?? null,
      suspicions: this.#context.suspicions.digest(),
    };
  }

  #takeDigest({ head, suspicions }: Digest): void {
    this.#context.suspicions.merge(suspicions);
    if (head !== null) this.#context.store.adopt(head);
  }
}
