/**
 * Chooses the backend server for one request.
 *
 * Answers the load of many requests on engines that share a batch: memory binds
 * before slots, and a prompt that is being read delays every other request on
 * its engine.
 */

import { addLoad, type LiveServerView } from "./live_server.ts";

/** What is wanted of a server. */
export interface ServerNeed {
  readonly service: string;
  /** Memory that the request takes, in tokens. */
  readonly tokens: number;
  /** Prompt tokens that a server would have to read; 0 when it has them. */
  readonly unreadTokens?: number;
  /**
   * Until then the request rather waits than lines up behind other prompts, on
   * the monotonic clock in ms.
   */
  readonly patientUntilMs?: number;
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Name of the server to prefer while it has room, or empty. */
  readonly preferred?: string;
  /** Zone whose servers must not be chosen, if any. */
  readonly excludedZone?: string;
  /** Zones in which many servers were lost just now, with the time of it. */
  readonly suspectZones: ReadonlyMap<string, number>;
}

/** Clock and chance of a choice. */
export interface ChoiceContext {
  /** Monotonic clock, in ms. */
  readonly nowMs: number;
  /** Number from 0 up to 1. */
  readonly random: () => number;
}

/**
 * Unread prompt tokens that a server may hold before a patient request rather
 * waits; engines read 5 tokens a ms, one prompt after the other.
 */
const LINE_MAX_TOKENS = 10_000;
/** Weight of unread prompt tokens against tokens that only take memory. */
const UNREAD_WEIGHT = 3;
/** Added to the load of a server in a zone that lost others just now. */
const SUSPECT_PENALTY = 10;
/** Differences of load below this are left to chance, as a share of a server. */
const LOAD_STEP = 0.02;

/**
 * Returns the servers that may get the request, whether or not they have room.
 * Where all are avoided after losses, those are tried again that may have
 * returned: a service is not given up for losses on the way to it.
 */
export function usableServers(
  views: Iterable<LiveServerView>,
  { need, nowMs }: { readonly need: ServerNeed; readonly nowMs: number },
): LiveServerView[] {
  const listed = [...views].filter(({ server, avoidUntilMs }) =>
    server.service === need.service &&
    !server.isLeaving &&
    !need.excluded.has(server.name) &&
    server.zone !== need.excludedZone &&
    avoidUntilMs < Number.POSITIVE_INFINITY
  );
  const sound = listed.filter(({ avoidUntilMs }) => avoidUntilMs <= nowMs);
  return sound.length > 0 ? sound : listed;
}

/** Whether the prompts before it would hold the request up for long. */
function isInLine(
  view: LiveServerView,
  { need, nowMs }: { readonly need: ServerNeed; readonly nowMs: number },
): boolean {
  const { unreadTokens = 0, patientUntilMs = 0 } = need;
  if (nowMs >= patientUntilMs) return false;
  const before = addLoad(view.own, view.others).unreadTokens;
  return before > 0 && before + unreadTokens > LINE_MAX_TOKENS;
}

/** Whether a server has slots and memory left for the request. */
export function hasRoomFor(view: LiveServerView, tokens: number): boolean {
  const load = addLoad(view.own, view.others);
  return load.requests < view.server.slots &&
    load.tokens + tokens <= view.memoryTokens;
}

/** Returns the least loaded server with room, if there is one. */
export function chooseServer(
  views: Iterable<LiveServerView>,
  need: ServerNeed,
  { nowMs, random }: ChoiceContext,
): LiveServerView | undefined {
  const roomy = usableServers(views, { need, nowMs })
    .filter((view) => hasRoomFor(view, need.tokens))
    .filter((view) => !isInLine(view, { need, nowMs }));
  const preferred = roomy.find(({ server }) => server.name === need.preferred);
  if (preferred !== undefined) return preferred;
  const usable = roomy
    .map((view) => ({
      view,
      load: Math.round(scoreOf(view, need) / LOAD_STEP),
      chance: random(),
    }))
    .sort((a, b) => a.load - b.load || a.chance - b.chance);
  return usable[0]?.view;
}

/** Returns how unwelcome a server is, from 0; a full server is about 1. */
function scoreOf(view: LiveServerView, need: ServerNeed): number {
  const { requests, tokens, unreadTokens } = addLoad(view.own, view.others);
  const slots = requests / view.server.slots;
  const memory = (tokens + UNREAD_WEIGHT * unreadTokens) / view.memoryTokens;
  const suspectedMs = need.suspectZones.get(view.server.zone);
  const isSuspect = suspectedMs !== undefined && view.heardMs < suspectedMs;
  return Math.max(slots, memory) + (isSuspect ? SUSPECT_PENALTY : 0);
}
