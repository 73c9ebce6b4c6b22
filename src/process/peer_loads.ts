/** Adds up the work that other entries say they gave to each server. */

import type { EntryId } from "../ids.ts";
import { addLoad, NO_LOAD, type ServerLoad } from "./live_server.ts";

/** Work by server name, as one entry told it. */
type Loads = readonly (readonly [string, ServerLoad])[];

interface EntryLoads {
  readonly loads: Loads;
  readonly heardMs: number;
}

/** Age at which an entry's word no longer counts, in ms; it speaks every 150 ms. */
const FRESH_MS = 1_500;

/** What each other entry said last. */
export class PeerLoads {
  readonly #now: () => number;
  readonly #entries = new Map<EntryId, EntryLoads>();

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts without entries; `now` is a monotonic clock in ms. */
  static create(now: () => number): PeerLoads {
    return new PeerLoads(now);
  }

  /** Takes over what an entry says. */
  set(entry: EntryId, loads: Loads): void {
    this.#entries.set(entry, { loads, heardMs: this.#now() });
  }

  /** Drops what an entry said whose process may have ended. */
  forget(entry: EntryId): void {
    this.#entries.delete(entry);
  }

  /** Count of entries heard of lately. */
  get peerCount(): number {
    this.#dropStale();
    return this.#entries.size;
  }

  /** Returns the sum over all entries heard of lately, by server name. */
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
    const sinceMs = this.#now() - FRESH_MS;
    for (const [entry, { heardMs }] of this.#entries) {
      if (heardMs < sinceMs) this.#entries.delete(entry);
    }
  }
}
