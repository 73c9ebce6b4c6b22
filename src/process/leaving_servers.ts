/**
 * Tracks the servers that announced that they are leaving. Neither the list, a
 * peer nor a return to the list makes such an incarnation ready again; a server
 * that has restarted is another incarnation.
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
  /** A peer entry's digest. */
  Peer = "peer",
}

/** An incarnation that announced that it is leaving. */
interface LeavingServer {
  readonly incarnation: ServerIncarnation;
  /** When the announcement became known, on the monotonic clock in ms. */
  readonly knownSinceMs: number;
  /** Since when it is not listed, on the same clock; `undefined` if listed. */
  readonly unlistedSinceMs: number | undefined;
}

/** The incarnations that announced leaving, in the order of announcement. */
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
 * registration that expired in an outage returns sooner, and a leaving
 * server has ended by then. So memory is bounded by the listed servers and
 * those that left within this time.
 */
export const LEAVING_RETENTION_MS = 600_000;
/**
 * How long digests contain a leaving server, in ms: three digests of a partial
 * mesh.
 */
const LEAVING_GOSSIP_MS = 900;
/** Leaving servers per digest, the latest ones. */
const GOSSIP_MAX = 1_000;

/** Whether two incarnations of one name are the same. */
export function isSameIncarnation(
  a: ServerIncarnation,
  b: ServerIncarnation,
): boolean {
  return a.address === b.address && a.startedMs === b.startedMs;
}

/** Whether an incarnation announced that it is leaving. */
export function isKnownLeaving(
  leaving: LeavingServers,
  incarnation: ServerIncarnation,
): boolean {
  return leaving.has(keyOf(incarnation));
}

/** Adds an incarnation that announced that it is leaving. */
export function addLeavingServer(
  leaving: LeavingServers,
  { name, address, startedMs }: ServerIncarnation,
  { isListed, nowMs }: ListingState,
): LeavingServers {
  const incarnation: ServerIncarnation = { name, address, startedMs };
  const key = keyOf(incarnation);
  if (leaving.has(key)) return leaving;
  const unlistedSinceMs = isListed ? undefined : nowMs;
  return new Map(dropExpired(leaving, nowMs)).set(key, {
    incarnation,
    knownSinceMs: nowMs,
    unlistedSinceMs,
  });
}

/** Records whether an incarnation is listed; others expire. */
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
  return dropExpired(updated, nowMs);
}

/** Returns the incarnations to include in a digest. */
export function recentlyLeaving(
  leaving: LeavingServers,
  nowMs: number,
): readonly ServerIncarnation[] {
  return [...leaving.values()]
    .filter(({ knownSinceMs }) => nowMs - knownSinceMs <= LEAVING_GOSSIP_MS)
    .slice(-GOSSIP_MAX)
    .map(({ incarnation }) => incarnation);
}

/**
 * Returns the incarnations that a peer's digest names. Peers of an older version
 * send none; anything else is skipped.
 */
export function parseLeavingServers(
  value: unknown,
): readonly ServerIncarnation[] {
  if (!Array.isArray(value)) return [];
  return value.slice(0, GOSSIP_MAX).filter(isIncarnation);
}

function isIncarnation(value: unknown): value is ServerIncarnation {
  if (typeof value !== "object" || value === null) return false;
  const { name, address, startedMs } = value as Partial<ServerIncarnation>;
  return typeof name === "string" && typeof address === "string" &&
    typeof startedMs === "number";
}

function dropExpired(
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
