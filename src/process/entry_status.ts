/** Writes an entry's view of the deployment to its status object. */

import { STATUS_INTERVAL_MS } from "../constants.ts";
import type { EntryId, Fingerprint, Revision } from "../ids.ts";
import { entryStatusName } from "../version/object_names.ts";
import type { EntryContext } from "./entry_context.ts";
import { conditionOf, type ServerCondition } from "./server_view.ts";

/** Status of one entry, as written to the platform. */
export interface EntryStatus {
  readonly entry: EntryId;
  readonly zone: string;
  readonly revision: Revision;
  /** Time of the write, in ISO 8601. */
  readonly time: string;
  readonly stopping: boolean;
  readonly servers: readonly ServerStatus[];
  readonly suspicions: readonly SuspicionStatus[];
}

/** An entry's view of one backend server. */
export interface ServerStatus {
  readonly name: string;
  readonly service: string;
  readonly condition: ServerCondition;
  readonly inFlight: number;
}

/** A request that an entry suspects of crashing backend servers. */
export interface SuspicionStatus {
  readonly fingerprint: Fingerprint;
  readonly blame: number;
  readonly expiresInS: number;
}

/** Delay before a write, in ms, so that a burst of changes makes one write. */
const WRITE_DELAY_MIN_MS = 100;
/** Limits the writes of all entries after a change to 200 a second. */
const WRITE_JITTER_PER_ENTRY_MS = 5;

/** Writes an entry's status when it changes, and periodically. */
export class EntryStatusWriter {
  readonly #context: EntryContext;
  #interval: NodeJS.Timeout | undefined;
  #pendingWrite: NodeJS.Timeout | undefined;

  private constructor(context: EntryContext) {
    this.#context = context;
  }

  /** Creates a writer; `start` begins the periodic writes. */
  static create(context: EntryContext): EntryStatusWriter {
    return new EntryStatusWriter(context);
  }

  /** Starts the periodic writes. */
  start(): void {
    this.#interval = setInterval(
      () => this.scheduleWrite(),
      STATUS_INTERVAL_MS,
    );
  }

  /** Stops writing. */
  close(): void {
    clearInterval(this.#interval);
    clearTimeout(this.#pendingWrite);
  }

  /** Schedules a write of the status; calls until then are coalesced. */
  scheduleWrite(): void {
    const maxJitterMs = this.#context.entryPosition().count *
      WRITE_JITTER_PER_ENTRY_MS;
    const delayMs = WRITE_DELAY_MIN_MS + Math.random() * maxJitterMs;
    this.#pendingWrite ??= setTimeout(async () => {
      this.#pendingWrite = undefined;
      const { platform, settings } = this.#context;
      const value = JSON.stringify(createEntryStatus(this.#context));
      await platform.write(entryStatusName(settings.id), value)
        .catch(() => undefined);
    }, delayMs);
  }
}

function createEntryStatus(context: EntryContext): EntryStatus {
  const { settings, revisionStore, serverPool, suspicions, now } = context;
  return {
    entry: settings.id,
    zone: settings.zone,
    revision: revisionStore.deployment.revision,
    time: new Date().toISOString(),
    stopping: context.isStopping(),
    servers: serverPool.views().map((view) => ({
      name: view.server.name,
      service: view.server.service,
      condition: conditionOf(view, now()),
      inFlight: view.inFlight,
    })),
    suspicions: suspicions.snapshot().map((suspicion) => ({
      fingerprint: suspicion.fingerprint,
      blame: suspicion.blame,
      expiresInS: Math.round(suspicion.remainingMs / 1_000),
    })),
  };
}
