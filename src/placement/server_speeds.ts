/**
 * Learns how fast servers prefill prompts, from the streams of all entries.
 *
 * Answers the load of servers of one service that differ: one that is twice as
 * fast answers sooner with two prompts than another one with a single one. With
 * servers that are alike, placing does not regard speeds.
 */

import type { RegisteredServer } from "../process/registered_server.ts";

/**
 * What is known of a server's speed, as entries exchange it. Prompts that waited
 * for others show too low a rate, and never too high a one.
 */
export interface ServerSpeed {
  readonly server: string;
  /** Start of the incarnation, in ms on the server's clock. */
  readonly startedMs: number;
  /** Highest prefill rate of a prompt, in tokens per ms. */
  readonly highestRate: number;
  /** Highest rate of another prompt; 0 if there is none. */
  readonly rate: number;
}

/** Dependencies of the speeds. */
export interface ServerSpeedsOptions {
  /** Returns the listed servers of a service. */
  readonly serversOf: (service: string) => Iterable<RegisteredServer>;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}

/** Rate above which a prompt was cached, in tokens per ms. */
const RATE_MAX = 20;
/** Servers of known speed without which those of a service are alike. */
const SERVERS_MIN = 6;
/** Ratio of fast servers' rate to that of slow ones from which they differ. */
const UNEVEN_RATIO = 1.6;
/** Parts of the known servers that are slower than a slow and a fast one. */
const SLOW_QUANTILE = 0.2;
const FAST_QUANTILE = 0.8;
/** How often the rates of a service are compared, in ms. */
const COMPARE_INTERVAL_MS = 500;
/** Speeds in one digest: those that changed last. */
export const SPEEDS_PER_DIGEST = 6;
/** How long a changed speed is sent, in ms: several digests. */
const ANNOUNCED_MS = 1_500;

/** The rates of a service's servers, compared. */
interface ServiceRates {
  readonly atMs: number;
  /** Median rate; `undefined` if too few are known. */
  readonly median: number | undefined;
  readonly isUneven: boolean;
}

/** The speeds of all servers, as far as they are known. */
export class ServerSpeeds {
  readonly #options: ServerSpeedsOptions;
  readonly #speeds = new Map<string, ServerSpeed>();
  /** When a server's speed changed here, the latest last. */
  readonly #changedMs = new Map<string, number>();
  readonly #rates = new Map<string, ServiceRates>();

  private constructor(options: ServerSpeedsOptions) {
    this.#options = options;
  }

  /** Starts without knowledge. */
  static create(options: ServerSpeedsOptions): ServerSpeeds {
    return new ServerSpeeds(options);
  }

  /** Records that a server that had nothing else to do prefilled a prompt. */
  record(
    { name, startedMs }: Pick<RegisteredServer, "name" | "startedMs">,
    { tokens, durationMs }: {
      readonly tokens: number;
      readonly durationMs: number;
    },
  ): void {
    const highestRate = tokens / durationMs;
    if (highestRate > RATE_MAX) return;
    this.merge([{ server: name, startedMs, highestRate, rate: 0 }]);
  }

  /** Takes in what a peer knows. */
  merge(speeds: readonly ServerSpeed[]): void {
    for (const speed of speeds) {
      const known = this.#speeds.get(speed.server);
      const isNewer = known === undefined || speed.startedMs > known.startedMs;
      if (isNewer) this.#set(speed);
      else if (speed.startedMs === known.startedMs) {
        this.#setIfHigher(known, speed);
      }
    }
  }

  #setIfHigher(known: ServerSpeed, added: ServerSpeed): void {
    const highestRate = Math.max(known.highestRate, added.highestRate);
    // The same rate is that of the same prompt.
    const isSame = known.highestRate === added.highestRate;
    const rate = Math.max(
      known.rate,
      added.rate,
      isSame ? 0 : Math.min(known.highestRate, added.highestRate),
    );
    const isChanged = highestRate > known.highestRate || rate > known.rate;
    if (isChanged) this.#set({ ...known, highestRate, rate });
  }

  /** Returns the speeds for the next digest. */
  digest(): readonly ServerSpeed[] {
    const sinceMs = this.#options.now() - ANNOUNCED_MS;
    const names = [...this.#changedMs].filter(([, atMs]) => atMs >= sinceMs)
      .map(([name]) => name).slice(-SPEEDS_PER_DIGEST);
    return names.flatMap((name) => this.#speeds.get(name) ?? []);
  }

  /** Forgets a server that is no longer listed. */
  forget(name: string): void {
    this.#speeds.delete(name);
    this.#changedMs.delete(name);
  }

  /**
   * Returns a server's prefill rate, in tokens per ms: its own, else the median
   * of its service, else `fallback`.
   */
  rateOf(
    { name, startedMs, service }: RegisteredServer,
    fallback: number,
  ): number {
    const own = this.#speeds.get(name);
    const isOwnKnown = own?.startedMs === startedMs && own.rate > 0;
    const { median, isUneven } = this.#ratesOf(service);
    return (isOwnKnown && isUneven ? own.rate : median) ?? fallback;
  }

  /** Whether the servers of a service are known to differ. */
  isUneven(service: string): boolean {
    return this.#ratesOf(service).isUneven;
  }

  /**
   * Returns how many times as fast a server is as the median of its service; 1
   * if servers are alike or its speed is unknown.
   */
  relativeSpeedOf(server: RegisteredServer): number {
    const { median, isUneven } = this.#ratesOf(server.service);
    if (!isUneven || median === undefined) return 1;
    return this.rateOf(server, median) / median;
  }

  #set(speed: ServerSpeed): void {
    this.#speeds.set(speed.server, speed);
    this.#changedMs.delete(speed.server);
    this.#changedMs.set(speed.server, this.#options.now());
  }

  #ratesOf(service: string): ServiceRates {
    const { now, serversOf } = this.#options;
    const cached = this.#rates.get(service);
    if (cached !== undefined && now() - cached.atMs < COMPARE_INTERVAL_MS) {
      return cached;
    }
    const rates = [...serversOf(service)].flatMap(({ name, startedMs }) => {
      const speed = this.#speeds.get(name);
      const isKnown = speed?.startedMs === startedMs && speed.rate > 0;
      return isKnown ? [speed.rate] : [];
    }).toSorted((a, b) => a - b);
    const compared = compareRates(rates, now());
    this.#rates.set(service, compared);
    return compared;
  }
}

/** Compares rates, the lowest first. */
function compareRates(rates: readonly number[], atMs: number): ServiceRates {
  if (rates.length < SERVERS_MIN) {
    return { atMs, median: undefined, isUneven: false };
  }
  const at = (quantile: number) =>
    rates[Math.floor(quantile * (rates.length - 1))] ?? 0;
  const isUneven = at(FAST_QUANTILE) >= UNEVEN_RATIO * at(SLOW_QUANTILE);
  return { atMs, median: at(0.5), isUneven };
}
