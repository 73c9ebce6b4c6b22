/** The deployment of a soak: configuration and entry settings. */

/** Name of the service with streams. */
export const STREAM_SERVICE = "engines";
/** Name of the service with plain calls. */
export const CALL_SERVICE = "plain";
/** Host name of all routes. */
export const HOST_NAME = "soak.example";
/** Port on which entries accept callers. */
export const CALLER_PORT = 8_740;
/** Port of the entries' readiness endpoint. */
export const READY_PORT = 8_749;
/** Configured grace period of a graceful shutdown, in ms. */
export const SHUTDOWN_GRACE_MS = 8_000;
/** The one to which SIGHUP changes it, and back, in ms. */
export const CHANGED_GRACE_MS = 4_000;
/** Port on which entries accept links from other entries. */
export const PEER_PORT = 7_200;
const ROUTE_TIMEOUTS_MS = [5_000, 6_000, 9_000];
const IDLE_TIMEOUTS_MS = [1_000, 1_500, 2_000, 3_000, 4_000, 15_000];
/**
 * Least timeout of routes and idle connections with slow bodies, in ms; longer
 * than their requests' deadlines and than the grace period.
 */
const SLOW_BODY_LIMIT_MIN_MS = 15_000;
const INVALID_DEPTH = 2_000;
const INVALID_TEXT_CHARACTERS = 100_000;
const EXTRA_ROUTE_COUNTS = [0, 3, 100, 700];
/** Bearer key that every version contains. */
export const STEADY_KEY = "steady-key";

/** Returns the bearer key that a version adds; the next version keeps it. */
export function keyOfVersion(version: number): string {
  return `key-of-version-${version}`;
}

/** What a configuration is made from. */
export interface ConfigurationOptions {
  readonly version: number;
  /** Returns numbers in [0, 1). */
  readonly random: () => number;
  /** Whether limits leave time for slow bodies and idle connections. */
  readonly allowsSlowBodies: boolean;
}

/** Returns a configuration whose settings other than keys are drawn. */
export function createConfiguration(
  { version, random, allowsSlowBodies }: ConfigurationOptions,
) {
  const pick = (values: readonly number[]): number =>
    values[Math.floor(random() * values.length)] ?? 0;
  const minMs = allowsSlowBodies ? SLOW_BODY_LIMIT_MIN_MS : 0;
  const route = {
    host: HOST_NAME,
    timeoutMs: Math.max(pick(ROUTE_TIMEOUTS_MS), minMs),
    targetLatencyMs: pick([300, 1_000]),
    priority: pick([0, 1, 3]),
    maxAttempts: 4,
  };
  const call = { ...route, service: CALL_SERVICE };
  const split = [
    { service: CALL_SERVICE, weight: pick([1, 3]) },
    { service: STREAM_SERVICE, weight: pick([0, 1]) },
  ];
  const extraRoutes = Array.from(
    { length: pick(EXTRA_ROUTE_COUNTS) },
    (_, at) => ({
      ...call,
      name: `extra-${at}`,
      pathPrefix: `/extra-${at}/`,
      routeKind: "idempotent",
    }),
  );
  return {
    version,
    routes: [
      {
        ...route,
        name: "stream",
        service: STREAM_SERVICE,
        pathPrefix: "/stream/",
        routeKind: "streaming",
        resumable: true,
      },
      {
        ...route,
        name: "read",
        trafficSplit: split,
        pathPrefix: "/read/",
        routeKind: "idempotent",
      },
      {
        ...call,
        name: "order",
        pathPrefix: "/order/",
        routeKind: "non_idempotent",
      },
      ...extraRoutes,
    ],
    services: [
      { name: STREAM_SERVICE, engine: { kvCapacity: 100_000 } },
      { name: CALL_SERVICE },
    ],
    limits: {
      maxHeaderBytes: pick([4_096, 16_384]),
      maxBodyBytes: pick([8_192, 4_194_304]),
      headerTimeoutMs: pick([1_000, 3_000]),
      idleTimeoutMs: Math.max(pick(IDLE_TIMEOUTS_MS), minMs),
    },
    tenants: [{
      name: "alpha",
      apiKeys: [STEADY_KEY, keyOfVersion(version), keyOfVersion(version - 1)],
      priority: pick([0, 1, 3]),
    }],
  };
}

function nest(depth: number): unknown {
  let value: unknown = 1;
  for (let at = 0; at < depth; at++) value = [value];
  return value;
}

/** Specs in the server list, by object name, that name no server to use. */
export function createInvalidServers(): Readonly<Record<string, unknown>> {
  const server = {
    service: CALL_SERVICE,
    address: "127.0.0.1:1",
    zone: "zone-a",
    slots: 16,
    state: "ready",
  };
  return {
    "odd-port": { ...server, address: "127.0.0.1:99999" },
    "odd-state": { ...server, state: "asleep", note: nest(INVALID_DEPTH) },
    "odd-service": { ...server, service: nest(INVALID_DEPTH) },
    "odd-slots": { ...server, slots: -1e308, born: 1e308, sequence: 1e300 },
    "odd-zone": { ...server, zone: 7, slots: 1e308 },
    "odd-text": "x".repeat(INVALID_TEXT_CHARACTERS),
    "odd-null": null,
    "odd-list": [server],
  };
}

/** Set because the default, the store's address, differs between entries. */
const DEPLOYMENT = "soak";

/** Returns the settings file of an entry. */
export function formatEntrySettings(
  { name, zone, host, storeAddress, graceMs }: {
    readonly name: string;
    readonly zone: string;
    readonly host: string;
    readonly storeAddress: string;
    readonly graceMs: number;
  },
): string {
  return `nodeName=${name}
zone=${zone}
ip=${host}
listen.frontend=${host}:${CALLER_PORT}
listen.ready=${host}:${READY_PORT}
portRange=${PEER_PORT},${PEER_PORT + 15}
platform.address=${storeAddress}
deployment=${DEPLOYMENT}
bounds.graceS=${graceMs / 1_000}
`;
}
