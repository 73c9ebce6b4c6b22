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
const PEER_PORT = 7_200;
const TIMEOUT_MS = 6_000;

/** Returns the bearer key that a version adds; the next version keeps it. */
export function keyOfVersion(version: number): string {
  return `key-of-version-${version}`;
}

/** Returns the configuration of a version. */
export function createConfiguration(version: number) {
  const route = {
    host: HOST_NAME,
    timeoutMs: TIMEOUT_MS,
    targetLatencyMs: 1_000,
    priority: 1,
    maxAttempts: 4,
  };
  const call = { ...route, service: CALL_SERVICE };
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
      { ...call, name: "read", pathPrefix: "/read/", routeKind: "idempotent" },
      {
        ...call,
        name: "order",
        pathPrefix: "/order/",
        routeKind: "non_idempotent",
      },
    ],
    services: [
      { name: STREAM_SERVICE, engine: { kvCapacity: 100_000 } },
      { name: CALL_SERVICE },
    ],
    limits: { headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{
      name: "alpha",
      apiKeys: [keyOfVersion(version), keyOfVersion(version - 1)],
    }],
  };
}

/** Set because the default, the store's address, differs between entries. */
const DEPLOYMENT = "soak";

/** Returns the settings file of an entry. */
export function formatEntrySettings(
  { name, zone, host, storeAddress }: {
    readonly name: string;
    readonly zone: string;
    readonly host: string;
    readonly storeAddress: string;
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
bounds.graceS=${SHUTDOWN_GRACE_MS / 1_000}
`;
}
