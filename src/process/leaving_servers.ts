/**
 * Which servers have said that they leave. The decision depends only on what
 * was said: no list, peer or return to the list makes such a server ready
 * again. A server that has started again is another incarnation.
 */

/** Identifies one start of a backend server. */
export interface ServerIncarnation {
  readonly name: string;
  /** IP and port. */
  readonly address: string;
  /** When it started, in ms on the server's clock; 0 if unknown. */
  readonly startedMs: number;
}

/** Where an entry learned that a server is draining. */
export enum DrainingSource {
  /** The platform's list. */
  List = "list",
  /** The server's response to a request. */
  Answer = "answer",
  /** The server's load report. */
  Report = "report",
}

/** An incarnation that has said that it leaves. */
interface LeavingServer {
  readonly incarnation: ServerIncarnation;
  /** Since when it is not listed, on the same clock; `undefined` if listed. */
  readonly unlistedSinceMs: number | undefined;
}

/** The incarnations that have said that they leave, in the order of that. */
export type LeavingServers = ReadonlyMap<string, LeavingServer>;

/** State of an incarnation at one moment. */
export interface ListingState {
  /** Whether the list of servers names the incarnation. */
  readonly isListed: boolean;
  /** Monotonic clock, in ms. */
  readonly nowMs: number;
}

/** No leaving servers. */
export const NO_LEAVING_SERVERS: LeavingServers = new Map();

/**
 * How long a leaving server is remembered once it is no longer listed, in ms. A
 * registration that expired in an outage returns sooner, and a server that
 * leaves has ended by then. So memory is bounded by the listed servers and
 * those that left within this time.
 */
export const LEAVING_RETENTION_MS = 600_000;
/** Whether an incarnation has said that it leaves. */
export function isKnownLeaving(
  leaving: LeavingServers,
  incarnation: ServerIncarnation,
): boolean {
  return leaving.has(keyOf(incarnation));
}

/** Adds an incarnation that has said that it leaves. */
export function addLeavingServer(
  leaving: LeavingServers,
  { name, address, startedMs }: ServerIncarnation,
  { isListed, nowMs }: ListingState,
): LeavingServers {
  const incarnation: ServerIncarnation = { name, address, startedMs };
  const key = keyOf(incarnation);
  if (leaving.has(key)) return leaving;
  const unlistedSinceMs = isListed ? undefined : nowMs;
  return new Map(dropForgotten(leaving, nowMs)).set(key, {
    incarnation,
    unlistedSinceMs,
  });
}

/** Records whether an incarnation is listed; others are forgotten in time. */
export function updateListing(
  leaving: LeavingServers,
  incarnation: ServerIncarnation,
  { isListed, nowMs }: ListingState,
): LeavingServers {
  const key = keyOf(incarnation);
  const known = leaving.get(key);
  if (known === undefined) return leaving;
  const unlistedSinceMs = isListed ? undefined : known.unlistedSinceMs ?? nowMs;
  const updated = new Map(leaving).set(key, { ...known, unlistedSinceMs });
  return dropForgotten(updated, nowMs);
}

function dropForgotten(
  leaving: LeavingServers,
  nowMs: number,
): LeavingServers {
  return new Map(
    [...leaving].filter(([, { unlistedSinceMs = nowMs }]) =>
      nowMs - unlistedSinceMs <= LEAVING_RETENTION_MS
    ),
  );
}

function keyOf(
  { name, address, startedMs }: ServerIncarnation,
): string {
  return JSON.stringify([name, address, startedMs]);
}
