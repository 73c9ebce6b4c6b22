/** Selects a few of many keys at a time, so that digests repeat all in turn. */

/** Position in a changing set of keys. */
export class Rotation<Key extends string> {
  #last: Key | undefined;

  private constructor() {}

  /** Starts with the first key. */
  static create<Key extends string>(): Rotation<Key> {
    return new Rotation<Key>();
  }

  /** Returns the next `count` keys in sorted order, or all if they are fewer. */
  next(keys: readonly Key[], count: number): readonly Key[] {
    const sorted = keys.toSorted();
    const last = this.#last;
    const next = last === undefined ? 0 : sorted.findIndex((key) => key > last);
    const start = Math.max(0, next);
    const selected = [...sorted.slice(start), ...sorted.slice(0, start)]
      .slice(0, count);
    this.#last = selected.at(-1);
    return selected;
  }
}
