/** Detects zones in which several backend servers failed at once. */

/** Failed servers within `WINDOW_MS` that make a zone suspect. */
const FAILURES_MIN = 2;
const WINDOW_MS = 300;
/**
 * How long a zone stays suspect, in ms; outages in the users' specifications
 * last 1.2 s.
 */
const SUSPECT_MS = 1_500;

interface ZoneFailures {
  /** When each server failed, by name, in ms. */
  readonly failedMs: Map<string, number>;
  suspectedMs: number;
}

/** A server that failed. */
export interface FailedServer {
  readonly zone: string;
  readonly name: string;
}

/** Recent server failures by zone. */
export class ZoneFailureDetector {
  readonly #now: () => number;
  readonly #zones = new Map<string, ZoneFailures>();

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Creates a detector without failures; `now` is a monotonic clock in ms. */
  static create(now: () => number): ZoneFailureDetector {
    return new ZoneFailureDetector(now);
  }

  /**
   * Records the failure of a server. Returns how many servers of its zone
   * failed at once if that makes the zone newly suspect, else 0.
   */
  record({ zone, name }: FailedServer): number {
    const nowMs = this.#now();
    const failures = this.#zones.get(zone) ??
      { failedMs: new Map<string, number>(), suspectedMs: -Infinity };
    this.#zones.set(zone, failures);
    for (const [server, failedMs] of failures.failedMs) {
      if (nowMs - failedMs > WINDOW_MS) failures.failedMs.delete(server);
    }
    failures.failedMs.set(name, nowMs);
    const { size } = failures.failedMs;
    if (size < FAILURES_MIN) return 0;
    const isNew = nowMs - failures.suspectedMs > SUSPECT_MS;
    failures.suspectedMs = nowMs;
    return isNew ? size : 0;
  }

  /** Returns the suspect zones, with the time of the last failure. */
  suspectZones(): ReadonlyMap<string, number> {
    const nowMs = this.#now();
    const suspects = new Map<string, number>();
    for (const [zone, { suspectedMs }] of this.#zones) {
      if (nowMs - suspectedMs <= SUSPECT_MS) suspects.set(zone, suspectedMs);
    }
    return suspects;
  }
}
