/** Tells zones in which several backend servers were lost at once. */

/** Losses in a zone within `WINDOW_MS` that make it suspect. */
const LOSSES_MIN = 2;
const WINDOW_MS = 300;
/** How long a zone stays suspect, in ms; zones on the sheets fail for 1.2 s. */
const SUSPECT_MS = 1_500;

interface LostServers {
  /** When each server was lost, by name, in ms. */
  readonly lostMs: Map<string, number>;
  suspectedMs: number;
}

/** A server that was lost. */
export interface FailedServer {
  readonly zone: string;
  readonly name: string;
}

/** The losses of late in each zone. */
export class ZoneFailureDetector {
  readonly #now: () => number;
  readonly #zones = new Map<string, LostServers>();

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts without losses; `now` is a monotonic clock in ms. */
  static create(now: () => number): ZoneFailureDetector {
    return new ZoneFailureDetector(now);
  }

  /**
   * Notes the loss of a server. Returns how many its zone lost at once when that
   * makes the zone suspect anew, else 0.
   */
  record({ zone, name }: FailedServer): number {
    const nowMs = this.#now();
    const losses = this.#zones.get(zone) ??
      { lostMs: new Map<string, number>(), suspectedMs: -Infinity };
    this.#zones.set(zone, losses);
    for (const [server, lostMs] of losses.lostMs) {
      if (nowMs - lostMs > WINDOW_MS) losses.lostMs.delete(server);
    }
    losses.lostMs.set(name, nowMs);
    const { size } = losses.lostMs;
    if (size < LOSSES_MIN) return 0;
    const isNew = nowMs - losses.suspectedMs > SUSPECT_MS;
    losses.suspectedMs = nowMs;
    return isNew ? size : 0;
  }

  /** Returns the zones that are suspect now, with the time of the last loss. */
  suspectZones(): ReadonlyMap<string, number> {
    const nowMs = this.#now();
    const suspects = new Map<string, number>();
    for (const [zone, { suspectedMs }] of this.#zones) {
      if (nowMs - suspectedMs <= SUSPECT_MS) suspects.set(zone, suspectedMs);
    }
    return suspects;
  }
}
