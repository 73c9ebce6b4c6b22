/** Handling of requests suspected of crashing backend servers. */

import {
  SUSPICION_BLAME_AFTER_PROGRESS,
  SUSPICION_BLAME_BEFORE_PROGRESS,
  SUSPICION_PROGRESS_TOKENS,
} from "../constants.ts";
import type { Fingerprint } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { LOG_EVENTS } from "../process/log_events.ts";

/** Whether a backend server was recently lost while running the request. */
export function isSuspect(
  { suspicions }: EntryContext,
  fingerprint: Fingerprint,
): boolean {
  return suspicions.blameScore(fingerprint) > 0;
}

/**
 * Keeps other suspected requests off a server while a suspected one runs there.
 * Returns a function that ends the isolation.
 */
export function isolate(
  context: EntryContext,
  { server, fingerprint }: {
    readonly server: string;
    readonly fingerprint: Fingerprint;
  },
): () => void {
  let isIsolated = isSuspect(context, fingerprint);
  if (isIsolated) context.serverPool.addSuspect(server);
  return () => {
    if (isIsolated) context.serverPool.removeSuspect(server);
    isIsolated = false;
  };
}

/** Whether a stream with this many tokens counts as harmless for now. */
export function isProvenHarmless(tokens: number): boolean {
  return tokens >= SUSPICION_PROGRESS_TOKENS;
}

/**
 * Records that a server was lost while running a request, which had produced
 * `tokens` tokens there. The first loss counts in full, later ones less if the
 * request had proved harmless.
 */
export function recordServerLoss(
  { log, suspicions }: EntryContext,
  { fingerprint, server, tokens }: {
    readonly fingerprint: Fingerprint;
    readonly server: string;
    readonly tokens: number;
  },
): void {
  const previousScore = suspicions.blameScore(fingerprint);
  const isFullBlame = previousScore === 0 || !isProvenHarmless(tokens);
  const addedScore = isFullBlame
    ? SUSPICION_BLAME_BEFORE_PROGRESS
    : SUSPICION_BLAME_AFTER_PROGRESS;
  suspicions.record(fingerprint, { server, blame: addedScore });
  log(LOG_EVENTS.poisonRequestSuspected, {
    fingerprint,
    server,
    blame: suspicions.blameScore(fingerprint),
  });
}
