/**
 * The parts of prompts on servers that crashed, and which of them are kept as
 * possible causes. A head may have a thousand parts: peers are told the names of
 * a few, and all of them by a filter.
 */

import type { CrashCause } from "../ids.ts";
import { Rotation } from "./rotation.ts";
import { bitsOf, createPartsFilter, hasBits } from "./parts_filter.ts";

/** Dependencies of the parts. */
export interface CrashedPartsOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** When a run with a part last began that crashed no server, in ms. */
  readonly provenMs: (part: CrashCause) => number | undefined;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

/** A run of a request that may have crashed its server. */
export interface PartsOfRun {
  /** Equal for the repeats of a request. */
  readonly request: string;
  readonly parts: readonly CrashCause[];
  /** When its server crashed, on the monotonic clock in ms. */
  readonly atMs: number;
}

/** All parts of a request whose run may have crashed a server. */
export interface FilteredParts extends Omit<PartsOfRun, "parts"> {
  /** See `createPartsFilter`. */
  readonly filter: Uint8Array;
}

/** What is known of the parts of a request that had a crash. */
interface KnownParts {
  readonly atMs: number;
  /** Whether its run had not yet begun; others are more suspect. */
  readonly hasWaited: boolean;
  /** Whether it has a part; a filter also says so of a few others. */
  readonly has: (part: PartBits) => boolean;
  /** What peers are told; `undefined` if they needn't be. */
  readonly filter?: Uint8Array;
}

/** A part and the bits that stand for it in a filter. */
interface PartBits {
  readonly part: CrashCause;
  readonly bits: readonly number[];
}

/** The parts of a run that are kept as possible causes. */
export interface SelectedParts {
  readonly parts: readonly CrashCause[];
  /** Whether all are among them that have not run well lately. */
  readonly isComplete: boolean;
}

/** Requests whose parts are remembered. */
const REQUESTS_MAX = 16;
/** Requests whose parts are sent again to a peer that was cut off. */
const REPEATED_MAX = 4;
/** Age up to which a sound run shows that a part is hardly a cause, in ms. */
const RECENT_MS = 5_000;
/** Such parts that are kept of a run with many parts. */
const RECENT_MAX = 4;
/** How long the parts of a request are sent to peers, in ms. */
const FRESH_MS = 1_000;

/** The parts in recent crashes. */
export class CrashedParts {
  readonly #options: CrashedPartsOptions;
  /** By request, the latest last. */
  readonly #known = new Map<string, KnownParts>();
  /** When a request's parts became news to peers, in ms. */
  readonly #newsMs = new Map<string, number>();
  readonly #turns = Rotation.create<string>();

  private constructor(options: CrashedPartsOptions) {
    this.#options = options;
  }

  /** Starts without crashes. */
  static create(options: CrashedPartsOptions): CrashedParts {
    return new CrashedParts(options);
  }

  /**
   * Returns the most suspect parts of a run, at most `count`. Those that crashes
   * of other requests had too come first, and among equals those whose last sound
   * run is the longest ago. Which of equally suspect ones are chosen differs, so
   * that a cause is among them sooner or later. Of many parts only a few are kept
   * that have run well lately.
   */
  select(
    { request, parts }: Omit<PartsOfRun, "atMs">,
    count: number,
  ): SelectedParts {
    if (parts.length <= count) return { parts, isComplete: true };
    const { now, provenMs, random } = this.#options;
    const recentMs = now() - RECENT_MS;
    const others = [...this.#known]
      .filter(([other]) => other !== request)
      .map(([, known]) => known);
    const candidates = [...new Set(parts)]
      .map((part) => {
        const partBits = { part, bits: bitsOf(part) };
        const partProvenMs = provenMs(part) ?? -Infinity;
        const crashCount = others.filter(({ atMs, has }) =>
          atMs >= partProvenMs && has(partBits)
        ).length;
        return {
          part,
          crashCount,
          provenMs: partProvenMs,
          isRecent: partProvenMs >= recentMs,
          order: random(),
        };
      })
      .toSorted((a, b) =>
        Number(b.crashCount > 0) - Number(a.crashCount > 0) ||
        compare(a.provenMs, b.provenMs) ||
        b.crashCount - a.crashCount || a.order - b.order
      );
    const suspects = candidates.filter(({ isRecent }) => !isRecent);
    const proven = candidates.filter(({ isRecent }) => isRecent);
    const kept = [...suspects, ...proven.slice(0, RECENT_MAX)].slice(0, count);
    return {
      parts: kept.map(({ part }) => part),
      isComplete: suspects.length <= count,
    };
  }

  /** Remembers the parts of a run; peers are to be told if they are many. */
  record(run: PartsOfRun, { isNews, hasWaited }: {
    readonly isNews: boolean;
    /** Whether the run had not yet begun. */
    readonly hasWaited: boolean;
  }): void {
    const { request, atMs, parts } = run;
    const exact = new Set(parts);
    this.#add(request, {
      atMs,
      hasWaited,
      has: ({ part }) => exact.has(part),
      ...isNews && { filter: createPartsFilter(parts) },
    });
  }

  /** Remembers the parts of a request that a peer reports. */
  merge({ request, atMs, filter }: FilteredParts): void {
    if (this.#known.has(request)) return;
    this.#add(request, {
      atMs,
      hasWaited: false,
      has: ({ bits }) => hasBits(filter, bits),
      filter,
    });
  }

  /** Has peers told again of the parts of the last requests. */
  repeatNews(): void {
    const nowMs = this.#options.now();
    const latest = [...this.#known.keys()].slice(-REPEATED_MAX);
    for (const request of latest) this.#newsMs.set(request, nowMs);
  }

  /** Returns the parts of at most `count` requests for peers, in turn. */
  takeNews(count: number): readonly FilteredParts[] {
    const nowMs = this.#options.now();
    for (const [request, newsMs] of this.#newsMs) {
      if (nowMs - newsMs > FRESH_MS) this.#newsMs.delete(request);
    }
    const requests = this.#turns.next([...this.#newsMs.keys()], count);
    return requests.flatMap((request) => {
      const { atMs, filter } = this.#known.get(request) ?? {};
      if (atMs === undefined || filter === undefined) return [];
      return [{ request, atMs, filter }];
    });
  }

  #add(request: string, known: KnownParts): void {
    this.#known.delete(request);
    this.#known.set(request, known);
    if (this.#known.size > REQUESTS_MAX) this.#dropLeastSuspect();
    if (known.filter === undefined) return;
    this.#newsMs.delete(request);
    this.#newsMs.set(request, this.#options.now());
  }

  /** Drops the earliest request that had waited, or else the earliest. */
  #dropLeastSuspect(): void {
    const requests = [...this.#known];
    const [request] = requests.find(([, { hasWaited }]) => hasWaited) ??
      requests[0] ?? [];
    if (request !== undefined) this.#known.delete(request);
  }
}

/** Compares numbers that may be infinite. */
function compare(a: number, b: number): number {
  return a === b ? 0 : a - b;
}
