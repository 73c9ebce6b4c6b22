/**
 * Chooses the backend server for one request.
 *
 * Answers the load of many requests on engines that share a batch: memory binds
 * before slots, and a prompt that is being read delays every other request on
 * its engine.
 */

import { crc32 } from "node:zlib";
import { PREFILL_TOKENS_PER_MS } from "../constants.ts";
import {
  addLoad,
  type LiveServerView,
  type ServerLoad,
} from "./live_server.ts";

/** A zone in which a request lost a server. */
export interface RecentFailure {
  readonly zone: string;
  /** When, on the monotonic clock in ms. */
  readonly atMs: number;
}

/** What is wanted of a server. */
export interface SelectionCriteria {
  readonly service: string;
  /** Memory that the request takes, in tokens. */
  readonly tokens: number;
  /** Prompt tokens that a server would have to read; 0 when it has them. */
  readonly unreadTokens?: number;
  /**
   * Until then the request rather waits than lines up behind other prompts, and
   * afterwards behind more of them the longer it waits; on the monotonic clock in
   * ms. It lines up anywhere if absent.
   */
  readonly avoidBacklogUntilMs?: number;
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Name of the server to prefer while it has room, or empty. */
  readonly preferred?: string;
  /**
   * Names the prompt, if any: of servers alike, each entry chooses the same for
   * it, so that a request that comes again finds it cached without being told.
   */
  readonly prompt?: string;
  /**
   * Zone in which this request just lost a server, if any: the servers of a zone
   * fail together, so those not heard since come last.
   */
  readonly recentFailure?: RecentFailure;
  /** Zone whose servers must not be chosen, if any. */
  readonly excludedZone?: string;
  /** Zones in which many servers were lost just now, with the time of it. */
  readonly suspectZones: ReadonlyMap<string, number>;
}

/** Clock and chance of a choice. */
export interface SelectionContext {
  /** Monotonic clock, in ms. */
  readonly nowMs: number;
  /** Number from 0 up to 1. */
  readonly random: () => number;
}

/**
 * Unread prompt tokens that a server may hold before a patient request rather
 * waits: two seconds' reading, so that the server is not idle meanwhile.
 */
const LINE_MAX_TOKENS = 10_000;
/**
 * Calls that a plain server may have for each of its slots: what other entries
 * gave it is known 150 ms late, and with an empty queue it would idle.
 */
const CALL_PLACES_FACTOR = 2;
/** Weight of unread prompt tokens against tokens that only take memory. */
const UNREAD_WEIGHT = 3;
/**
 * Part of the reading of a prompt that each running request beside it loses:
 * an engine reads 25 ms between steps of 4 ms.
 */
const DISTURBED_PART = 0.85;
/** Weight of tokens that only take memory where a prompt is to be read. */
const MEMORY_WEIGHT = 0.3;
/**
 * Servers that one choice compares: their best is hardly worse than the best of
 * all, and the choice costs the same before 80 servers and before 6,800.
 */
const CANDIDATES_MAX = 48;
/** Added to the load of a server in a zone that lost others just now. */
const SUSPECT_PENALTY = 10;
/**
 * Servers whose loads differ by less are alike, as a share of a server: a copy
 * that is kept makes about a step, a run beside which a prompt is read three.
 */
const LOAD_STEP = 0.04;

/** Whether a server may get the request once it is sound and has room. */
export function isEligible(
  { server, ejectedUntilMs: avoidUntilMs }: LiveServerView,
  need: SelectionCriteria,
): boolean {
  return server.service === need.service &&
    !server.isLeaving &&
    !need.excluded.has(server.name) &&
    server.zone !== need.excludedZone &&
    avoidUntilMs < Number.POSITIVE_INFINITY;
}

/** Whether the prompts before it would hold the request up for long. */
function isInLine(
  view: LiveServerView,
  { need, nowMs }: { readonly need: SelectionCriteria; readonly nowMs: number },
): boolean {
  const { unreadTokens = 0, avoidBacklogUntilMs: patientUntilMs } = need;
  if (patientUntilMs === undefined) return false;
  const before = addLoad(view.ownLoad, view.peerLoad).unreadTokens;
  // Lining up at once would have been no faster: this much was read meanwhile.
  const readTokens = Math.max(0, nowMs - patientUntilMs) *
    PREFILL_TOKENS_PER_MS;
  return before > 0 && before + unreadTokens > LINE_MAX_TOKENS + readTokens;
}

/** Whether a server has slots and memory left for the request. */
function hasRoomFor(view: LiveServerView, tokens: number): boolean {
  const load = addLoad(view.ownLoad, view.peerLoad);
  return load.requests < placesOf(view) &&
    load.tokens + tokens <= view.kvCacheTokens;
}

/** Requests that a server may have at once, from all entries. */
function placesOf(
  { server, kvCacheTokens: memoryTokens }: LiveServerView,
): number {
  const isEngine = Number.isFinite(memoryTokens);
  return isEngine ? server.slots : server.slots * CALL_PLACES_FACTOR;
}

/**
 * Returns the least loaded server with room among the first `CANDIDATES_MAX` of
 * `views` that could take the request, if there is one. Where all are avoided
 * after losses, those are tried again that may have returned: a service is not
 * given up for losses on the way to it.
 */
export function chooseServer(
  views: Iterable<LiveServerView>,
  need: SelectionCriteria,
  { nowMs, random }: SelectionContext,
): LiveServerView | undefined {
  const roomy = findCandidates(views, { need, nowMs });
  // It has the prompt already, so nothing it still has to read matters.
  const preferred = roomy.find(({ view }) =>
    view.server.name === need.preferred
  );
  if (preferred !== undefined) return preferred.view;
  const usable = roomy
    .filter(({ hasLine }) => !hasLine)
    .map(({ view }) => ({
      view,
      load: Math.round(scoreOf(view, need) / LOAD_STEP),
      rank: need.prompt ? crc32(view.server.name + need.prompt) : random(),
    }))
    .sort((a, b) => a.load - b.load || a.rank - b.rank);
  return usable[0]?.view;
}

/** A server with room for the request. */
interface Candidate {
  readonly view: LiveServerView;
  /** Whether the request rather waits than lines up there. */
  readonly hasLine: boolean;
}

/** Returns the sound ones, or those that are avoided where no sound one exists. */
function findCandidates(
  views: Iterable<LiveServerView>,
  { need, nowMs }: { readonly need: SelectionCriteria; readonly nowMs: number },
): readonly Candidate[] {
  const sound: Candidate[] = [];
  const avoided: Candidate[] = [];
  let hasSound = false;
  let ready = 0;
  for (const view of views) {
    if (!isEligible(view, need)) continue;
    const isSound = view.ejectedUntilMs <= nowMs;
    hasSound ||= isSound;
    if (view.fullUntilMs > nowMs || !hasRoomFor(view, need.tokens)) continue;
    const hasLine = isInLine(view, { need, nowMs });
    (isSound ? sound : avoided).push({ view, hasLine });
    if (isSound && !hasLine && ++ready === CANDIDATES_MAX) break;
  }
  return hasSound ? sound : avoided;
}

/**
 * Returns the delay that reading a prompt beside a load makes for all of them,
 * in prompt tokens. Copies of other servers' runs only take memory: nobody
 * waits for them.
 */
function delayBeside(
  { requests, tokens, unreadTokens }: ServerLoad,
  promptTokens: number,
): number {
  return MEMORY_WEIGHT * tokens +
    UNREAD_WEIGHT * unreadTokens +
    DISTURBED_PART * requests * promptTokens;
}

/** Returns how unwelcome a server is, from 0; a full server is about 1. */
function scoreOf(view: LiveServerView, need: SelectionCriteria): number {
  const load = addLoad(view.ownLoad, view.peerLoad);
  const slots = load.requests / view.server.slots;
  const work = need.unreadTokens === undefined
    ? load.tokens + UNREAD_WEIGHT * load.unreadTokens
    : delayBeside(load, need.unreadTokens);
  const memory = work / view.kvCacheTokens;
  return Math.max(slots, memory) +
    (isSuspect(view, need) ? SUSPECT_PENALTY : 0);
}

/** Whether a server may have been lost with others of its zone. */
function isSuspect(
  { server, lastActivityMs: heardMs }: LiveServerView,
  { suspectZones, recentFailure: lostZone }: SelectionCriteria,
): boolean {
  const suspectedMs = suspectZones.get(server.zone) ?? Number.NEGATIVE_INFINITY;
  const lostMs = lostZone?.zone === server.zone
    ? lostZone.atMs
    : Number.NEGATIVE_INFINITY;
  return heardMs < Math.max(suspectedMs, lostMs);
}
