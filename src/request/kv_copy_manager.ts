/**
 * Keeps a copy of a stream's run at another server, for as long as the stream
 * lasts: the server that was asked to keep it from the start, and another one
 * as soon as that is lost.
 */

import { messageOf } from "../errors.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { LiveServer, ServerLoad } from "../process/live_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { chooseBackupServer } from "./choose_backup_server.ts";
import type { ProxyRequest } from "./proxy_request.ts";
import { requestLoad, reserveLoad } from "./acquire_slot.ts";

/** A copy of a run's memory, from which the run can go on. */
export interface KvCopy {
  /** Server that holds the copy. */
  readonly server: LiveServer;
  /** Name of a copy made later, with the server that made it. */
  readonly snapshot?: { readonly source: LiveServer; readonly handle: string };
}

/** A run whose memory is to be copied. */
export interface KvCopyRequest {
  /** Request id of the run. */
  readonly id: string;
  readonly source: LiveServer;
  readonly target: LiveServer;
}

/** Copies a run's memory as it is now; resolves with its handle. Errors: rejects. */
export type KvCopier = (wish: KvCopyRequest) => Promise<string>;

/** Frees a copy that is no longer needed. Errors: rejects. */
export type KvCopyReleaser = (
  copy: { readonly source: LiveServer; readonly handle: string },
) => Promise<void>;

/** What a keeper needs of its stream. */
export interface KvCopyManagerOptions {
  readonly context: RelayContext;
  readonly request: ProxyRequest;
  /** Server that runs the order. */
  readonly server: LiveServer;
  /** Names of servers that must not hold a copy. */
  readonly excluded: ReadonlySet<string>;
}

/** How often a copy is looked after, in ms. */
const CHECK_MS = 300;
/** A copy made later is brought up to date so often, in ms; servers keep it for 4 s. */
const REFRESH_MS = 1_200;
/** Failures after which no further copy is made. */
const FAILURES_MAX = 2;

/** Looks after the copy of one sending. */
export class KvCopyManager {
  readonly #options: KvCopyManagerOptions;
  /** Server that the run's own server was asked to copy it to. */
  readonly backup: LiveServer | undefined;
  readonly #timer: NodeJS.Timeout;
  #copy: KvCopy | undefined;
  #release: () => void = () => undefined;
  #madeMs = 0;
  #failures = 0;
  #hasEvents = false;
  #isCopying = false;
  #closed = false;

  private constructor(options: KvCopyManagerOptions) {
    this.#options = options;
    this.backup = this.#choose();
    if (this.backup !== undefined) this.#keepAt({ server: this.backup }, 0);
    this.#timer = setInterval(() => this.#check(), CHECK_MS);
  }

  /** Chooses a server for the copy and begins to look after it. */
  static create(options: KvCopyManagerOptions): KvCopyManager {
    return new KvCopyManager(options);
  }

  /** Notes that the run has made events; before that there is nothing to copy. */
  markEventsSeen(): void {
    this.#hasEvents = true;
  }

  /** The copy to go on from when the run's server is lost, if there is one. */
  get copy(): KvCopy | undefined {
    return this.#hasEvents ? this.#copy : undefined;
  }

  /** Stops looking after the copy; `isOver` frees one that nobody will use. */
  close(isOver: boolean): void {
    this.#closed = true;
    clearInterval(this.#timer);
    this.#release();
    const made = this.#copy?.snapshot;
    if (isOver && made !== undefined) this.#free(made);
  }

  #choose(): LiveServer | undefined {
    const { context, request: order, server, excluded } = this.#options;
    const { isResumable, service } = order;
    if (!isResumable || !context.supportsKvBackup(service)) return undefined;
    return chooseBackupServer(context.servers, {
      request: order,
      server,
      excluded,
    });
  }

  /** Counts the memory at the server that holds the copy, and slots it takes. */
  #keepAt(copy: KvCopy, requests: number): void {
    this.#release();
    const { context, request: order } = this.#options;
    const load: ServerLoad = { ...requestLoad(order), requests };
    this.#release = reserveLoad(context, { name: copy.server.name, load });
    this.#copy = copy;
  }

  async #check(): Promise<void> {
    if (!this.#hasEvents || this.#isCopying) return;
    if (this.#failures >= FAILURES_MAX) return;
    const { context } = this.#options;
    const held = this.#copy;
    const isKept = held !== undefined &&
      context.servers.mayHoldBackup(held.server.name);
    const isFresh = held?.snapshot === undefined ||
      context.now() - this.#madeMs < REFRESH_MS;
    if (isKept && isFresh) return;
    const target = isKept ? held.server : this.#choose();
    if (target === undefined) return;
    this.#isCopying = true;
    await this.#make(target);
    this.#isCopying = false;
  }

  async #make(target: LiveServer): Promise<void> {
    const { context, request: order, server: source } = this.#options;
    const line = {
      request: order.id,
      server: source.name,
      target: target.name,
    };
    try {
      const handle = await context.copyKvCache({
        id: order.id,
        source,
        target,
      });
      if (this.#closed) return this.#free({ source, handle });
      this.#madeMs = context.now();
      this.#keepAt({ server: target, snapshot: { source, handle } }, 1);
      context.log(LOG_EVENTS.kvCacheCopied, line);
    } catch (error) {
      this.#failures++;
      context.log(LOG_EVENTS.kvCacheCopyFailed, {
        ...line,
        reason: messageOf(error),
      });
    }
  }

  async #free(
    made: { readonly source: LiveServer; readonly handle: string },
  ): Promise<void> {
    const { context, request: order } = this.#options;
    try {
      await context.releaseKvCopy(made);
    } catch (error) {
      // The servers drop it themselves after some seconds.
      context.log(LOG_EVENTS.kvCacheCopyFailed, {
        request: order.id,
        server: made.source.name,
        reason: messageOf(error),
      });
    }
  }
}
