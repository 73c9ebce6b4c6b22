/** What it costs to place a request on a server. */

import {
  addLoad,
  type RegisteredServerView,
  type ServerLoad,
} from "../process/registered_server.ts";
import type { ChoiceInput, SelectionCriteria } from "./choose_server.ts";
import { recentLoad } from "./load_inquiry.ts";

/**
 * Weight of unread prompt tokens relative to tokens that only take KV cache.
 */
const PREFILL_WEIGHT = 3;
/**
 * Fraction of a prompt's prefill time that each running request loses: an
 * engine prefills for 25 ms between decode steps of 4 ms.
 */
const PREFILL_DELAY_FRACTION = 0.85;
/**
 * Weight of tokens that only take KV cache when a prompt is to be prefilled.
 */
const MEMORY_WEIGHT = 0.3;
/** Added to the cost of a server that lately gave no report when asked. */
const NO_REPORT_PENALTY = 10;
/** Added to the cost of a server whose zone recently lost others. */
const SUSPECT_ZONE_PENALTY = 10;
/**
 * Returns the total delay from prefilling a prompt beside a load, in prompt
 * tokens. KV cache backups only take memory: no request waits for them.
 */
function prefillDelayOf(
  { requests, tokens, unreadTokens }: ServerLoad,
  promptTokens: number,
): number {
  return MEMORY_WEIGHT * tokens +
    PREFILL_WEIGHT * unreadTokens +
    PREFILL_DELAY_FRACTION * requests * promptTokens;
}

/** Whether a server has lately reported its load. */
export function hasReport(
  { reportedLoad }: RegisteredServerView,
  nowMs: number,
): boolean {
  return recentLoad(reportedLoad, nowMs)?.requests !== undefined;
}

/** Whether a server that was lately asked for its load gave no report. */
function lacksReport(view: RegisteredServerView, nowMs: number): boolean {
  return recentLoad(view.reportedLoad, nowMs) !== undefined &&
    !hasReport(view, nowMs);
}

/**
 * Returns a server's load with the requests that only its report shows, which
 * are taken to be like the one that is placed.
 */
function likelyLoadOf(
  view: RegisteredServerView,
  { criteria, nowMs }: ChoiceInput,
): ServerLoad {
  const known = addLoad(view.ownLoad, view.peerLoad);
  const { requests = 0, unread = 0 } = recentLoad(view.reportedLoad, nowMs) ??
    {};
  const otherCount = requests - known.requests;
  if (otherCount <= 0) return known;
  const unreadTokens = unread * (criteria.unreadTokens ?? 0);
  return {
    requests,
    tokens: known.tokens + otherCount * criteria.tokens,
    unreadTokens: Math.max(known.unreadTokens, unreadTokens),
  };
}

/**
 * Returns the cost of choosing a server, from 0; a full server costs about 1.
 */
export function costOf(view: RegisteredServerView, input: ChoiceInput): number {
  const { criteria, nowMs } = input;
  const load = likelyLoadOf(view, input);
  const slotUse = load.requests / view.server.slots;
  const loadTokens = criteria.unreadTokens === undefined
    ? load.tokens + PREFILL_WEIGHT * load.unreadTokens
    : prefillDelayOf(load, criteria.unreadTokens);
  const kvCacheUse = loadTokens / view.kvCacheTokens;
  return Math.max(slotUse, kvCacheUse) +
    (lacksReport(view, nowMs) ? NO_REPORT_PENALTY : 0) +
    (isZoneSuspect(view, criteria) ? SUSPECT_ZONE_PENALTY : 0);
}

/** Whether a server may have failed together with others of its zone. */
function isZoneSuspect(
  { server, lastActivityMs }: RegisteredServerView,
  { suspectZones, recentFailure }: SelectionCriteria,
): boolean {
  const suspectedMs = suspectZones.get(server.zone) ?? Number.NEGATIVE_INFINITY;
  const failedMs = recentFailure?.zone === server.zone
    ? recentFailure.atMs
    : Number.NEGATIVE_INFINITY;
  return lastActivityMs < Math.max(suspectedMs, failedMs);
}
