/**
 * Chooses the server that holds a copy of a run's KV cache. It is in another
 * availability zone, since the servers of one zone fail together.
 */

import type { LiveServer } from "../process/live_server.ts";
import type { LiveServers } from "../process/live_servers.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** Returns the least loaded server of another zone with capacity for a copy. */
export function chooseBackupServer(
  servers: LiveServers,
  { request, server, excluded }: {
    readonly request: ProxyRequest;
    /** The server that will run the request. */
    readonly server: LiveServer;
    /** Names of servers that must not be chosen. */
    readonly excluded: ReadonlySet<string>;
  },
): LiveServer | undefined {
  return servers.choose({
    service: request.service,
    tokens: request.kvCacheTokens,
    excluded: new Set([...excluded, server.name]),
    excludedZone: server.zone,
  });
}
