/** Which servers this entry finds silent, and which unreachable. */

import { ServerFailure } from "./server_ejection.ts";

/**
 * How long digests contain an unreachable server, in ms: three gossip
 * digests.
 */
const UNREACHABLE_GOSSIP_MS = 450;

/** The silent and the unreachable servers of one entry. */
export class ServerOutages {
  readonly #now: () => number;
  /** Names of the servers that were ejected because they were silent. */
  readonly #silent = new Set<string>();
  /** Servers that this entry found unreachable, with the time of detection. */
  readonly #unreachableSinceMs = new Map<string, number>();

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts without outages; `now` is a monotonic clock in ms. */
  static create(now: () => number): ServerOutages {
    return new ServerOutages(now);
  }

  /** Records a failure; returns whether it only prolongs a silence. */
  recordFailure(name: string, failure: ServerFailure): boolean {
    if (isReportedToPeers(failure)) {
      this.#unreachableSinceMs.set(name, this.#now());
    }
    const wasSilent = this.#silent.delete(name);
    if (isSilence(failure)) this.#silent.add(name);
    return wasSilent && failure === ServerFailure.Silent;
  }

  /** Records that a server proved healthy. */
  recordRecovery(name: string): void {
    this.endSilence(name);
    this.stopReporting(name);
  }

  /** Records that a server sent data, or that its incarnation is gone. */
  endSilence(name: string): void {
    this.#silent.delete(name);
  }

  /** Stops telling peers that a server is unreachable. */
  stopReporting(name: string): void {
    this.#unreachableSinceMs.delete(name);
  }

  /** Whether a server was ejected as silent and sent nothing since. */
  isSilent(name: string): boolean {
    return this.#silent.has(name);
  }

  /** Returns the servers that this entry recently found unreachable. */
  unreachableServers(): readonly string[] {
    const sinceMs = this.#now() - UNREACHABLE_GOSSIP_MS;
    for (const [name, detectedMs] of this.#unreachableSinceMs) {
      if (detectedMs < sinceMs) this.#unreachableSinceMs.delete(name);
    }
    return [...this.#unreachableSinceMs.keys()];
  }
}

function isSilence(failure: ServerFailure): boolean {
  return failure === ServerFailure.Silent ||
    failure === ServerFailure.Unresponsive;
}

function isReportedToPeers(failure: ServerFailure): boolean {
  return failure === ServerFailure.Unreachable ||
    failure === ServerFailure.Unresponsive;
}
