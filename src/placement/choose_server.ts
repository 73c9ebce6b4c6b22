/**
 * Chooses the backend server for a request.
 *
 * Engines run many requests in one batch, so their KV cache fills up before
 * their slots, and the prefill of a prompt delays all other requests on the
 * engine.
 */

import { PREFILL_TOKENS_PER_MS } from "../constants.ts";
import { rendezvousHash } from "../hashing.ts";
import { costOf, hasReport } from "./server_cost.ts";
import {
  addLoad,
  type RegisteredServer,
  type RegisteredServerView,
} from "../process/registered_server.ts";

/** Failure of a server that was handling the request. */
export interface RecentFailure {
  readonly zone: string;
  /** When it failed, on the monotonic clock in ms. */
  readonly atMs: number;
}

/** What a request requires of a server. */
export interface SelectionCriteria {
  readonly service: string;
  /** KV cache that the request needs, in tokens. */
  readonly tokens: number;
  /** Prompt tokens that a server has to prefill; 0 when it has them cached. */
  readonly unreadTokens?: number;
  /**
   * Until this time, on the monotonic clock in ms, the request waits rather
   * than queues behind the prefill of other prompts; after it, the accepted
   * backlog grows with the wait. Any backlog is accepted if absent.
   */
  readonly avoidBacklogUntilMs?: number;
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Condition that the server has to meet; none if absent. */
  readonly isAllowed?: ((server: RegisteredServer) => boolean) | undefined;
  /**
   * Whether servers whose reports count are preferred to all others, since most
   * load is unknown here; see `LoadInquiry`.
   */
  readonly prefersReported?: boolean;
  /** Name of the server to prefer while it has capacity, or empty. */
  readonly preferred?: string;
  /**
   * Key of the prompt, if any. Among servers of equal load every entry chooses
   * the same one for it, so a repeated request finds its prompt cached without
   * coordination.
   */
  readonly prompt?: string;
  /**
   * Recent failure of a server that was handling this request, if any. Servers
   * of a zone fail together, so those of that zone without activity since come
   * last.
   */
  readonly recentFailure?: RecentFailure;
  /** Zone whose servers must not be chosen, if any. */
  readonly excludedZone?: string;
  /**
   * Zones in which several servers failed at once, with the time of the last
   * failure.
   */
  readonly suspectZones: ReadonlyMap<string, number>;
}

/** Clock and random source of a choice. */
export interface SelectionContext {
  /** Monotonic clock, in ms. */
  readonly nowMs: number;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

/** What a choice follows from. */
export interface ChoiceInput extends SelectionContext {
  readonly criteria: SelectionCriteria;
}

/**
 * Unread prompt tokens, including the request's own, above which a request that
 * can wait avoids a server: two seconds of prefill, so that the server is not
 * idle meanwhile.
 */
const BACKLOG_MAX_TOKENS = 10_000;
/**
 * Calls per slot that a plain service's server may have: the load from peer
 * entries is known 150 ms late, and with an empty queue the server would idle.
 */
const CALLS_PER_SLOT = 2;
/**
 * Servers compared per choice: the best of them is hardly worse than the best
 * of all, and a choice costs the same with 80 servers and with 6,800.
 */
export const CANDIDATES_MAX = 48;
/**
 * Servers whose costs differ by less count as equal, as a fraction of a server:
 * a KV cache backup adds about one step, a generation delayed by prefill three.
 */
const COST_STEP = 0.04;

/**
 * Whether a server could serve the request once it is healthy and has capacity.
 */
export function isEligible(
  { server, ejectedUntilMs }: RegisteredServerView,
  criteria: SelectionCriteria,
): boolean {
  return server.service === criteria.service &&
    !server.isLeaving &&
    !criteria.excluded.has(server.name) &&
    server.zone !== criteria.excludedZone &&
    criteria.isAllowed?.(server) !== false &&
    ejectedUntilMs < Number.POSITIVE_INFINITY;
}

/**
 * Whether the prompts queued on a server would delay the request for too long.
 */
function exceedsBacklogLimit(
  view: RegisteredServerView,
  { criteria, nowMs }: ChoiceInput,
): boolean {
  const { unreadTokens = 0, avoidBacklogUntilMs } = criteria;
  if (avoidBacklogUntilMs === undefined) return false;
  const backlogTokens = addLoad(view.ownLoad, view.peerLoad).unreadTokens;
  // Queueing at once would have been no faster: this much was prefilled
  // meanwhile.
  const prefilledTokens = Math.max(0, nowMs - avoidBacklogUntilMs) *
    PREFILL_TOKENS_PER_MS;
  return backlogTokens > 0 &&
    backlogTokens + unreadTokens > BACKLOG_MAX_TOKENS + prefilledTokens;
}

/** Whether a server has slots and KV cache left for the request. */
function canFit(view: RegisteredServerView, tokens: number): boolean {
  const load = addLoad(view.ownLoad, view.peerLoad);
  return load.requests < requestLimitOf(view) &&
    load.tokens + tokens <= view.kvCacheTokens;
}

/** Concurrent requests that a server may have, from all entries. */
function requestLimitOf(
  { server, kvCacheTokens }: RegisteredServerView,
): number {
  const isEngine = Number.isFinite(kvCacheTokens);
  return isEngine ? server.slots : server.slots * CALLS_PER_SLOT;
}

/**
 * Returns the preferred server if it can take the request, else the one of lowest
 * cost among the first `CANDIDATES_MAX` of `views` that can take the request,
 * if there is one. If all eligible servers are ejected, they are tried anyway:
 * failures on the way to a service must not make it unavailable.
 */
export function chooseServer(
  views: Iterable<RegisteredServerView>,
  criteria: SelectionCriteria,
  context: SelectionContext,
): RegisteredServerView | undefined {
  const input: ChoiceInput = { ...context, criteria };
  const candidates = findCandidates(views, input);
  // It has the prompt cached, so its prefill backlog does not matter.
  const preferred = candidates.find(({ view }) =>
    view.server.name === criteria.preferred
  );
  if (preferred !== undefined) return preferred.view;
  const ready = candidates.filter(({ isBacklogged }) => !isBacklogged)
    .map(({ view }) => view);
  const reported = criteria.prefersReported === true
    ? ready.filter((view) => hasReport(view, input.nowMs))
    : [];
  const ranked = (reported.length > 0 ? reported : ready)
    .map((view) => ({
      view,
      cost: Math.round(costOf(view, input) / COST_STEP),
      tieBreak: criteria.prompt
        ? rendezvousHash(view.server.name, criteria.prompt)
        : input.random(),
    }))
    .sort((a, b) => a.cost - b.cost || a.tieBreak - b.tieBreak);
  return ranked[0]?.view;
}

/** A server with capacity for the request. */
interface Candidate {
  readonly view: RegisteredServerView;
  /** Whether its prefill backlog is too long for the request. */
  readonly isBacklogged: boolean;
}

/** Returns the healthy servers, or the ejected ones if no server is healthy. */
function findCandidates(
  views: Iterable<RegisteredServerView>,
  input: ChoiceInput,
): readonly Candidate[] {
  const { criteria, nowMs } = input;
  const healthy: Candidate[] = [];
  const ejected: Candidate[] = [];
  let hasHealthy = false;
  let readyCount = 0;
  for (const view of views) {
    if (!isEligible(view, criteria)) continue;
    const isHealthy = view.ejectedUntilMs <= nowMs;
    hasHealthy ||= isHealthy;
    if (view.fullUntilMs > nowMs || !canFit(view, criteria.tokens)) continue;
    const isBacklogged = exceedsBacklogLimit(view, input);
    (isHealthy ? healthy : ejected).push({ view, isBacklogged });
    if (isHealthy && !isBacklogged && ++readyCount === CANDIDATES_MAX) break;
  }
  return hasHealthy ? healthy : ejected;
}
