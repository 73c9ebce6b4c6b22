/** What backend servers say of the prompts that they have cached. */

import type { RegisteredServer } from "../process/registered_server.ts";

/**
 * Asks a server which prompts it has cached; resolves with a test for the key of
 * a prompt. Errors: rejects when there is no usable response in time, with
 * `HoldOffRequested` if the server asks for a pause.
 */
export type CachedPromptsFetcher = (
  server: RegisteredServer,
) => Promise<(promptKey: string) => boolean>;
