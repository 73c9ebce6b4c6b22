/**
 * Chooses the server that keeps a copy of a run's memory. It stands in another
 * availability zone, since the servers of one zone fail together.
 */

import type { LiveServer } from "../process/live_server.ts";
import type { LiveServers } from "../process/live_servers.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** Returns the least loaded server of another zone with room for a copy. */
export function chooseBackupServer(
  servers: LiveServers,
  { request: order, server, excluded }: {
    readonly request: ProxyRequest;
    /** The server that will run the order. */
    readonly server: LiveServer;
    readonly excluded: ReadonlySet<string>;
  },
): LiveServer | undefined {
  return servers.choose({
    service: order.service,
    tokens: order.kvCacheTokens,
    excluded: new Set([...excluded, server.name]),
    excludedZone: server.zone,
  });
}
