/**
 * Exchanges the tallies of an order between entries, each of which is linked to
 * some of the others: every digest also carries a few tallies of other entries,
 * in turn, so that all entries know all of them soon.
 */

import type { RolloutTally, VersionCounts } from "./types.ts";
import {
  addResponse,
  type ObservedResponse,
  sumCounts,
} from "./version_counts.ts";

/** Tallies of other entries in one digest. */
const FORWARDED_PER_DIGEST = 6;
/** Tallies in one digest, that of the sender included. */
export const TALLIES_PER_DIGEST = FORWARDED_PER_DIGEST + 1;
/** Most tallies that are kept; each restart of an entry begins another one. */
const TALLIES_MAX = 2_000;

/** The tallies of one order, as far as an entry knows them. */
export class TallyExchange {
  #own: RolloutTally;
  /** Tallies of other processes by writer, those sent last at the end. */
  readonly #others = new Map<string, RolloutTally>();

  private constructor(writer: string) {
    this.#own = { writer, total: 0, counts: [] };
  }

  /** Starts without responses; `writer` identifies this process. */
  static create(writer: string): TallyExchange {
    return new TallyExchange(writer);
  }

  /** Counts a response that this entry received. */
  add(response: ObservedResponse): void {
    this.#own = {
      ...this.#own,
      total: this.#own.total + 1,
      counts: addResponse(this.#own.counts, response),
    };
  }

  /** Takes in tallies of a digest. */
  merge(tallies: readonly RolloutTally[]): void {
    for (const tally of tallies) {
      const { writer, total } = tally;
      const known = this.#others.get(writer);
      const isNew = writer !== this.#own.writer &&
        total > (known?.total ?? 0) &&
        (known !== undefined || this.#others.size < TALLIES_MAX);
      if (isNew) this.#others.set(writer, tally);
    }
  }

  /** Returns the tallies for the next digest, this entry's own first. */
  next(): readonly RolloutTally[] {
    const forwarded = [...this.#others.values()].slice(0, FORWARDED_PER_DIGEST);
    for (const tally of forwarded) {
      this.#others.delete(tally.writer);
      this.#others.set(tally.writer, tally);
    }
    return [this.#own, ...forwarded];
  }

  /** Returns the sum of all known tallies. */
  sum(): readonly VersionCounts[] {
    const tallies = [this.#own, ...this.#others.values()];
    return sumCounts(tallies.map(({ counts }) => counts));
  }
}
