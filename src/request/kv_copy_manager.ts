/**
 * Maintains a copy of a run's KV cache on another server while its stream is
 * open. The run's server replicates to a backup server from the start; if that
 * fails, snapshots are copied to another server.
 */

import { HoldOffRequested, messageOf, ServerHeldOff } from "../errors.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type {
  RegisteredServer,
  ServerLoad,
} from "../process/registered_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { chooseBackupServer } from "./choose_backup_server.ts";
import type { ProxyRequest } from "./proxy_request.ts";
import { requestLoad, reserveLoad } from "./acquire_slot.ts";

/** A copy of a run's KV cache, from which the run can be resumed. */
export interface KvCopy {
  /** Server that holds the copy. */
  readonly server: RegisteredServer;
  /** A snapshot's handle and the server that made it; absent for a backup. */
  readonly snapshot?: {
    readonly source: RegisteredServer;
    readonly handle: string;
  };
}

/** A run whose KV cache is to be copied. */
export interface KvCopyRequest {
  /** Request id of the run. */
  readonly id: string;
  readonly source: RegisteredServer;
  readonly target: RegisteredServer;
}

/** Copies a run's current KV cache; resolves with a handle. Errors: rejects. */
export type KvCopier = (request: KvCopyRequest) => Promise<string>;

/** Releases a copy that is no longer needed. Errors: rejects. */
export type KvCopyReleaser = (
  copy: { readonly source: RegisteredServer; readonly handle: string },
) => Promise<void>;

/** Options of a `KvCopyManager`. */
export interface KvCopyManagerOptions {
  readonly context: RelayContext;
  readonly request: ProxyRequest;
  /** Server that runs the request. */
  readonly server: RegisteredServer;
  /** Names of servers that must not hold a copy. */
  readonly excluded: ReadonlySet<string>;
}

/** How often the copy is checked, in ms. */
const CHECK_INTERVAL_MS = 300;
/** How often a snapshot is renewed, in ms; servers drop one after 4 s. */
const REFRESH_INTERVAL_MS = 1_200;
/** Failed copies after which no further one is tried. */
const COPY_FAILURES_MAX = 2;

/** Maintains the KV cache copy of one attempt. */
export class KvCopyManager {
  readonly #options: KvCopyManagerOptions;
  /** Server that the run's server replicates the KV cache to, if any. */
  readonly backup: RegisteredServer | undefined;
  readonly #timer: NodeJS.Timeout;
  #copy: KvCopy | undefined;
  #releaseLoad: () => void = () => undefined;
  #snapshotMs = 0;
  #failureCount = 0;
  #hasEvents = false;
  #isCopying = false;
  #isClosed = false;

  private constructor(options: KvCopyManagerOptions) {
    this.#options = options;
    this.backup = this.#chooseTarget();
    if (this.backup !== undefined) this.#setCopy({ server: this.backup }, 0);
    this.#timer = setInterval(() => this.#checkCopy(), CHECK_INTERVAL_MS);
  }

  /** Chooses a backup server and starts to maintain the copy. */
  static create(options: KvCopyManagerOptions): KvCopyManager {
    return new KvCopyManager(options);
  }

  /** Records that the run has produced events; only then is a copy useful. */
  markEventsSeen(): void {
    this.#hasEvents = true;
  }

  /** The copy to resume from if the run's server fails, if there is one. */
  get copy(): KvCopy | undefined {
    return this.#hasEvents ? this.#copy : undefined;
  }

  /**
   * Stops maintaining the copy.
   *
   * @param shouldReleaseCopy whether to release a snapshot that nobody will use
   */
  close(shouldReleaseCopy: boolean): void {
    this.#isClosed = true;
    clearInterval(this.#timer);
    this.#releaseLoad();
    const snapshot = this.#copy?.snapshot;
    if (shouldReleaseCopy && snapshot !== undefined) {
      this.#releaseSnapshot(snapshot);
    }
  }

  #chooseTarget(): RegisteredServer | undefined {
    const { context, request, server, excluded } = this.#options;
    const { isResumable, service } = request;
    if (!isResumable || !context.supportsKvBackup(service)) return undefined;
    return chooseBackupServer(context, {
      request,
      server,
      excluded,
    });
  }

  /** Sets the copy and adds its tokens and `requests` to its server's load. */
  #setCopy(copy: KvCopy, requests: number): void {
    this.#releaseLoad();
    const { context, request } = this.#options;
    const load: ServerLoad = { ...requestLoad(request), requests };
    this.#releaseLoad = reserveLoad(context, { name: copy.server.name, load });
    this.#copy = copy;
  }

  async #checkCopy(): Promise<void> {
    if (!this.#hasEvents || this.#isCopying) return;
    if (this.#failureCount >= COPY_FAILURES_MAX) return;
    const { context, server } = this.#options;
    if (context.servers.isHeldOff(server)) return;
    const copy = this.#copy;
    const isHeld = copy !== undefined &&
      !context.rollouts.isRetiring(copy.server) &&
      context.servers.mayHoldBackup(copy.server.name);
    const isFresh = copy?.snapshot === undefined ||
      context.now() - this.#snapshotMs < REFRESH_INTERVAL_MS;
    if (isHeld && isFresh) return;
    const target = isHeld ? copy.server : this.#chooseTarget();
    if (target === undefined) return;
    this.#isCopying = true;
    await this.#createSnapshot(target);
    this.#isCopying = false;
  }

  async #createSnapshot(target: RegisteredServer): Promise<void> {
    const { context, request, server: source } = this.#options;
    const logDetails = {
      request: request.id,
      server: source.name,
      target: target.name,
    };
    try {
      const handle = await context.copyKvCache({
        id: request.id,
        source,
        target,
      });
      if (this.#isClosed) return this.#releaseSnapshot({ source, handle });
      this.#snapshotMs = context.now();
      this.#setCopy({ server: target, snapshot: { source, handle } }, 1);
      context.log(LOG_EVENTS.kvCacheCopied, logDetails);
    } catch (error) {
      if (error instanceof HoldOffRequested) {
        context.servers.holdOff(source, error.holdOffMs);
      }
      this.#failureCount++;
      context.log(LOG_EVENTS.kvCacheCopyFailed, {
        ...logDetails,
        reason: messageOf(error),
      });
    }
  }

  async #releaseSnapshot(
    snapshot: { readonly source: RegisteredServer; readonly handle: string },
  ): Promise<void> {
    const { context, request } = this.#options;
    const { source } = snapshot;
    try {
      if (context.servers.isHeldOff(source)) {
        throw new ServerHeldOff(source.name);
      }
      await context.releaseKvCopy(snapshot);
    } catch (error) {
      if (error instanceof HoldOffRequested) {
        context.servers.holdOff(source, error.holdOffMs);
      }
      // The servers drop a snapshot themselves when it expires.
      context.log(LOG_EVENTS.kvCacheCopyFailed, {
        request: request.id,
        server: source.name,
        reason: messageOf(error),
      });
    }
  }
}
