/** Handling of requests that may crash the backend servers which run them. */

import {
  SUSPICION_BLAME_AFTER_PROGRESS,
  SUSPICION_BLAME_BEFORE_PROGRESS,
  SUSPICION_PROGRESS_TOKENS,
} from "../constants.ts";
import type { Fingerprint } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { LOG_EVENTS } from "../process/log_events.ts";

/** Whether a backend server was lost under a request lately. */
export function isSuspect(
  { suspicions }: EntryContext,
  fingerprint: Fingerprint,
): boolean {
  return suspicions.blameScore(fingerprint) > 0;
}

/** Keeps other suspected requests off a server; returns what ends that. */
export function isolate(
  context: EntryContext,
  { server, fingerprint }: {
    readonly server: string;
    readonly fingerprint: Fingerprint;
  },
): () => void {
  let isUnproven = isSuspect(context, fingerprint);
  if (isUnproven) context.serverPool.addSuspect(server);
  return () => {
    if (isUnproven) context.serverPool.removeSuspect(server);
    isUnproven = false;
  };
}

/** Whether a stream that gave so many tokens has proved harmless for now. */
export function isProvenHarmless(tokens: number): boolean {
  return tokens >= SUSPICION_PROGRESS_TOKENS;
}

/**
 * Records that a server was lost under a request which had given `tokens` there.
 * The first loss counts in full, later ones less if the request was proven.
 */
export function recordServerLoss(
  { log, suspicions }: EntryContext,
  { fingerprint, tokens }: {
    readonly fingerprint: Fingerprint;
    readonly tokens: number;
  },
): void {
  const earlier = suspicions.blameScore(fingerprint);
  const isFullBlame = earlier === 0 || !isProvenHarmless(tokens);
  const added = isFullBlame
    ? SUSPICION_BLAME_BEFORE_PROGRESS
    : SUSPICION_BLAME_AFTER_PROGRESS;
  suspicions.record(fingerprint, earlier + added);
  log(LOG_EVENTS.poisonRequestSuspected, {
    fingerprint,
    blame: earlier + added,
  });
}
