/** Calls that ask a server about itself, within the pauses that it asks for. */

import { HoldOffRequested, ServerHeldOff } from "../errors.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import type { RegisteredServers } from "../process/registered_servers.ts";

/**
 * Returns an inquiry that keeps the pauses of servers.
 *
 * Errors: also rejects with `ServerHeldOff` instead of calling a server that has
 * a pause, and with `HoldOffRequested` when a server asks for one.
 */
export function keepHoldOffs<Answer>(
  inquire: (server: RegisteredServer) => Promise<Answer>,
  servers: RegisteredServers,
): (server: RegisteredServer) => Promise<Answer> {
  return async (server) => {
    if (!servers.takeInquiry(server)) throw new ServerHeldOff(server.name);
    try {
      return await inquire(server);
    } catch (error) {
      if (error instanceof HoldOffRequested) {
        servers.holdOff(server, error.holdOffMs);
      }
      throw error;
    }
  };
}
