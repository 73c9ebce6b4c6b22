/**
 * Chooses the server that holds a copy of a run's KV cache. It is in another
 * availability zone, since the servers of one zone fail together.
 */

import type { RegisteredServer } from "../process/registered_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** Returns the least loaded server of another zone with capacity for a copy. */
export function chooseBackupServer(
  { servers, rollouts }: Pick<RelayContext, "servers" | "rollouts">,
  { request, server, excluded }: {
    readonly request: ProxyRequest;
    /** The server that will run the request. */
    readonly server: RegisteredServer;
    /** Names of servers that must not be chosen. */
    readonly excluded: ReadonlySet<string>;
  },
): RegisteredServer | undefined {
  return servers.choose({
    service: request.service,
    tokens: request.kvCacheTokens,
    excluded: new Set([...excluded, server.name]),
    excludedZone: server.zone,
    isAllowed: rollouts.copyFilter(server),
  });
}
