/**
 * Tracks the requests that were running on backend servers that failed, so that
 * a request that crashes servers is refused instead of being retried on others.
 */

import type { Suspicion } from "../gossip/peer_protocol.ts";
import { SUSPICION_BLAME_LIMIT, SUSPICION_TTL_MS } from "../constants.ts";
import type { Fingerprint } from "../ids.ts";
import { Rotation } from "./rotation.ts";

/** Dependencies of the suspicions. */
export interface CrashSuspicionsOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called when this entry has recorded a suspicion. */
  readonly onRecord: () => void;
}

interface StoredSuspicion {
  /** Blame by the server that was lost. */
  readonly blames: ReadonlyMap<string, number>;
  readonly expiresMs: number;
}

/** The loss of a server during a request. */
export interface ServerLoss {
  readonly server: string;
  readonly blame: number;
}

/** Suspicions per gossip digest. */
const DIGEST_SUSPICIONS_MAX = 4;
/** Digests carry suspicions renewed within this time, in ms. */
const DIGEST_MAX_AGE_MS = 30_000;
/** Refused requests per digest, in turn, regardless of their age. */
const DIGEST_REFUSED_MAX = 2;
const SUSPICIONS_MAX = 10_000;
/** Servers kept per suspicion. */
const SERVERS_MAX = 8;
/** Stands for the servers of a digest that names none. */
const UNKNOWN_SERVER = "";

/** Suspicions by request fingerprint, with expiry. */
export class CrashSuspicions {
  readonly #now: () => number;
  readonly #onRecord: () => void;
  readonly #suspicions = new Map<Fingerprint, StoredSuspicion>();
  /** The refused requests that digests repeat. */
  readonly #repeated = Rotation.create<Fingerprint>();

  private constructor({ now, onRecord }: CrashSuspicionsOptions) {
    this.#now = now;
    this.#onRecord = onRecord;
  }

  /** Creates an empty set. */
  static create(options: CrashSuspicionsOptions): CrashSuspicions {
    return new CrashSuspicions(options);
  }

  /** Adds the blame for a server failure that this entry saw. */
  record(fingerprint: Fingerprint, { server, blame }: ServerLoss): void {
    const blames = new Map(this.#find(fingerprint)?.blames);
    blames.set(server, (blames.get(server) ?? 0) + blame);
    this.#store(fingerprint, {
      blames,
      expiresMs: this.#now() + SUSPICION_TTL_MS,
    });
    this.#onRecord();
  }

  /** Returns the blame of a request; 0 if none or expired. */
  blameScore(fingerprint: Fingerprint): number {
    return sumBlames(this.#find(fingerprint)?.blames);
  }

  /** Whether a request must not run, because of its blame. */
  isRefused(fingerprint: Fingerprint): boolean {
    return this.blameScore(fingerprint) >= SUSPICION_BLAME_LIMIT;
  }

  /** Clears a request that completed. */
  clear(fingerprint: Fingerprint): void {
    this.#suspicions.delete(fingerprint);
  }

  /**
   * Merges the suspicions of a peer entry: those of all servers add up; for one
   * server the higher blame wins, and the later expiry.
   */
  merge(suspicions: readonly Suspicion[]): void {
    for (const { fingerprint, blame, remainingMs, servers } of suspicions) {
      const stored = this.#find(fingerprint);
      const ttlMs = Math.min(remainingMs, SUSPICION_TTL_MS);
      const expiresMs = this.#now() + ttlMs;
      const blames = new Map(stored?.blames);
      for (const [server, added] of servers ?? [[UNKNOWN_SERVER, blame]]) {
        blames.set(server, Math.max(added, blames.get(server) ?? 0));
      }
      this.#store(fingerprint, {
        blames,
        expiresMs: Math.max(expiresMs, stored?.expiresMs ?? 0),
      });
    }
  }

  /** Returns all suspicions, the most recently renewed last. */
  snapshot(): readonly Suspicion[] {
    const now = this.#now();
    return [...this.#suspicions]
      .filter(([, stored]) => stored.expiresMs > now)
      .map(([fingerprint, { blames, expiresMs }]) => ({
        fingerprint,
        blame: sumBlames(blames),
        remainingMs: expiresMs - now,
        servers: [...blames],
      }));
  }

  /**
   * Returns the suspicions for a gossip digest: refused requests in turn, so
   * that entries which start later learn them, and of the others renewed
   * recently those with the most blame. The limit keeps digests small when many
   * requests are suspected.
   */
  digest(): readonly Suspicion[] {
    const minRemainingMs = SUSPICION_TTL_MS - DIGEST_MAX_AGE_MS;
    const all = this.snapshot();
    const refused = new Map(
      all.filter(({ blame }) => blame >= SUSPICION_BLAME_LIMIT)
        .map((suspicion) => [suspicion.fingerprint, suspicion] as const),
    );
    const repeated = this.#repeated.next(
      [...refused.keys()],
      DIGEST_REFUSED_MAX,
    )
      .flatMap((fingerprint) => refused.get(fingerprint) ?? []);
    const recent = all
      .filter((suspicion) =>
        suspicion.remainingMs > minRemainingMs && !repeated.includes(suspicion)
      )
      .toSorted((a, b) => b.blame - a.blame);
    return [...repeated, ...recent].slice(0, DIGEST_SUSPICIONS_MAX);
  }

  #find(fingerprint: Fingerprint): StoredSuspicion | undefined {
    const stored = this.#suspicions.get(fingerprint);
    if (stored === undefined || stored.expiresMs > this.#now()) return stored;
    this.#suspicions.delete(fingerprint);
    return undefined;
  }

  #store(
    fingerprint: Fingerprint,
    { blames, expiresMs }: StoredSuspicion,
  ): void {
    const latest = [...blames].slice(-SERVERS_MAX);
    this.#suspicions.delete(fingerprint);
    this.#suspicions.set(fingerprint, { blames: new Map(latest), expiresMs });
    if (this.#suspicions.size <= SUSPICIONS_MAX) return;
    const oldest = this.#suspicions.keys().next().value;
    if (oldest !== undefined) this.#suspicions.delete(oldest);
  }
}

function sumBlames(blames: ReadonlyMap<string, number> = new Map()): number {
  return [...blames.values()].reduce((sum, blame) => sum + blame, 0);
}
