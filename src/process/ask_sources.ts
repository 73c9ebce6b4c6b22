/**
 * Asks sources for the same thing without waiting for one that is overdue: the
 * next one is asked beside it, and the first answer counts.
 */

/** A source that may hold what is sought. */
export interface Source<T> {
  /**
   * Resolves with `undefined` if the source does not hold it or can't be
   * reached; never rejects.
   */
  readonly ask: () => Promise<T | undefined>;
  /** Time after which the next source is asked too, in ms. */
  readonly overdueMs: number;
}

/**
 * Resolves with the first answer, or `undefined` when all sources that were
 * asked have none. Answers that come later are dropped.
 *
 * @param sources where to ask next; yields `undefined` while there is no
 * further source, and is asked again as long as an answer is pending
 */
export async function askSources<T>(
  sources: Iterator<Source<T> | undefined, void>,
): Promise<T | undefined> {
  let found: T | undefined;
  let pendingCount = 0;
  let overdueMs = 0;
  let wake: () => void = () => undefined;
  while (found === undefined) {
    const { value: source } = sources.next();
    if (source) {
      pendingCount++;
      overdueMs = source.overdueMs;
      source.ask().then((answer) => {
        pendingCount--;
        found ??= answer;
        wake();
      });
    }
    if (pendingCount === 0) return undefined;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, overdueMs);
      wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
  return found;
}
