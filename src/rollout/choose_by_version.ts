/** Chooses a server for a request while its service moves to another version. */

import type { RegisteredServer } from "../process/registered_server.ts";
import type { ServerFilter } from "./rollouts.ts";

/** Criteria that a condition on servers can be added to. */
interface FilteredCriteria {
  readonly isAllowed?: ServerFilter | undefined;
}

/**
 * Returns the server that `choose` returns under the first of the conditions
 * under which it returns any; without conditions under none.
 */
export function chooseByVersion<Criteria extends FilteredCriteria>(
  filters: readonly ServerFilter[] | undefined,
  criteria: Criteria,
  choose: (criteria: Criteria) => RegisteredServer | undefined,
): RegisteredServer | undefined {
  if (filters === undefined) return choose(criteria);
  for (const isAllowed of filters) {
    const server = choose({ ...criteria, isAllowed });
    if (server !== undefined) return server;
  }
  return undefined;
}
