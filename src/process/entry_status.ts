/** Writes what an entry makes of the deployment to its status object. */

import { STATUS_INTERVAL_MS } from "../constants.ts";
import type { EntryId, Fingerprint, Revision } from "../ids.ts";
import { entryStatusName } from "../version/object_names.ts";
import type { EntryContext } from "./entry_context.ts";
import { conditionOf, type ServerCondition } from "./server_view.ts";

/** Status of one entry. */
export interface EntryStatus {
  readonly entry: EntryId;
  readonly zone: string;
  readonly revision: Revision;
  /** ISO 8601 time of writing. */
  readonly time: string;
  readonly stopping: boolean;
  readonly servers: readonly ServerStatus[];
  readonly suspicions: readonly SuspicionStatus[];
}

/** What an entry makes of one backend server. */
export interface ServerStatus {
  readonly name: string;
  readonly service: string;
  readonly condition: ServerCondition;
  readonly inFlight: number;
}

/** A request that an entry suspects. */
export interface SuspicionStatus {
  readonly fingerprint: Fingerprint;
  readonly blame: number;
  readonly expiresInS: number;
}

/** Pause before a write, so that changes which come together make one. */
const MIN_PAUSE_MS = 100;
/** Spreads the writes of all entries after a change to 200 a second. */
const PAUSE_MS_PER_ENTRY = 5;

/** Writes an entry's status when it changes, and at an interval. */
export class EntryStatusWriter {
  readonly #context: EntryContext;
  #timer: NodeJS.Timeout | undefined;
  #pending: NodeJS.Timeout | undefined;

  private constructor(context: EntryContext) {
    this.#context = context;
  }

  /** Makes a writer; `start` begins the interval. */
  static create(context: EntryContext): EntryStatusWriter {
    return new EntryStatusWriter(context);
  }

  /** Begins to write at an interval. */
  start(): void {
    this.#timer = setInterval(() => this.scheduleWrite(), STATUS_INTERVAL_MS);
  }

  /** Stops writing. */
  close(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#pending);
  }

  /** Writes the status soon; calls that come together make one write. */
  scheduleWrite(): void {
    const spreadMs = this.#context.entryPosition().count * PAUSE_MS_PER_ENTRY;
    const pauseMs = MIN_PAUSE_MS + Math.random() * spreadMs;
    this.#pending ??= setTimeout(async () => {
      this.#pending = undefined;
      const { platform, settings } = this.#context;
      const value = JSON.stringify(createEntryStatus(this.#context));
      await platform.write(entryStatusName(settings.id), value)
        .catch(() => undefined);
    }, pauseMs);
  }
}

function createEntryStatus(context: EntryContext): EntryStatus {
  const { settings, revisionStore: store, serverPool: fleet, suspicions, now } =
    context;
  return {
    entry: settings.id,
    zone: settings.zone,
    revision: store.deployment.revision,
    time: new Date().toISOString(),
    stopping: context.isStopping(),
    servers: fleet.views().map((view) => ({
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
