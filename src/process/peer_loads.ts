/** Adds up the load that peer entries report for each server. */

import type { EntryId } from "../ids.ts";
import { addLoad, NO_LOAD, type ServerLoad } from "./registered_server.ts";

/** Load by server name, as one entry reported it. */
type ServerLoads = readonly (readonly [string, ServerLoad])[];

interface EntryReport {
  readonly loads: ServerLoads;
  readonly receivedMs: number;
}

/** Age from which a report is ignored, in ms; entries report every 150 ms. */
const REPORT_MAX_AGE_MS = 1_500;

/** The latest report of each peer entry. */
export class PeerLoads {
  readonly #now: () => number;
  readonly #entries = new Map<EntryId, EntryReport>();

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Creates an empty set; `now` is a monotonic clock in ms. */
  static create(now: () => number): PeerLoads {
    return new PeerLoads(now);
  }

  /** Stores an entry's latest report. */
  set(entry: EntryId, loads: ServerLoads): void {
    this.#entries.set(entry, { loads, receivedMs: this.#now() });
  }

  /** Drops the report of an entry that may have ended. */
  forgetPeer(entry: EntryId): void {
    this.#entries.delete(entry);
  }

  /** Number of entries with a recent report. */
  get peerCount(): number {
    this.#dropStale();
    return this.#entries.size;
  }

  /** Returns the total load over all recent reports, by server name. */
  total(): ReadonlyMap<string, ServerLoad> {
    this.#dropStale();
    const total = new Map<string, ServerLoad>();
    for (const { loads } of this.#entries.values()) {
      for (const [server, load] of loads) {
        total.set(server, addLoad(total.get(server) ?? NO_LOAD, load));
      }
    }
    return total;
  }

  #dropStale(): void {
    const sinceMs = this.#now() - REPORT_MAX_AGE_MS;
    for (const [entry, { receivedMs }] of this.#entries) {
      if (receivedMs < sinceMs) this.#entries.delete(entry);
    }
  }
}
