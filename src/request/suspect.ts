/** Handling of requests that may crash the backend servers which run them. */

import {
  SUSPICION_PROOF_TOKENS,
  SUSPICION_PROVEN_BLAME,
  SUSPICION_UNPROVEN_BLAME,
} from "../constants.ts";
import type { Fingerprint } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { EVENTS } from "../process/event_catalog.ts";

/** Whether a backend server was lost under a request lately. */
export function isSuspect(
  { suspicions }: EntryContext,
  fingerprint: Fingerprint,
): boolean {
  return suspicions.blame(fingerprint) > 0;
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
  if (isUnproven) context.fleet.beginProof(server);
  return () => {
    if (isUnproven) context.fleet.endProof(server);
    isUnproven = false;
  };
}

/** Whether a stream that gave so many tokens has proved harmless for now. */
export function isProven(tokens: number): boolean {
  return tokens >= SUSPICION_PROOF_TOKENS;
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
  const earlier = suspicions.blame(fingerprint);
  const isFullBlame = earlier === 0 || !isProven(tokens);
  const added = isFullBlame ? SUSPICION_UNPROVEN_BLAME : SUSPICION_PROVEN_BLAME;
  suspicions.record(fingerprint, earlier + added);
  log(EVENTS.requestSuspected, { fingerprint, blame: earlier + added });
}
