/** A timer that lets the event loop read before it fires. */

/**
 * Calls `expire` after `delayMs`. Timers run before the reads of the same turn,
 * so if the event loop was blocked, what has arrived meanwhile is read first.
 *
 * @returns stops the timer
 */
export function startReadTimer(
  delayMs: number,
  expire: () => void,
): () => void {
  let check: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => check = setImmediate(expire), delayMs);
  return () => {
    clearTimeout(timer);
    clearImmediate(check);
  };
}
