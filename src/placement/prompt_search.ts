/**
 * Finds the server that has a prompt cached when no entry knows it any more.
 *
 * Answers the load after the loss of many entries: callers resume their streams
 * all at once at entries that have just started, and a prompt that is prefilled
 * again costs a second of a server that others wait for. A stream asks the few
 * servers that would most likely have been chosen for its prompt, so the
 * questions grow with the resumed streams only.
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { CachedPromptsFetcher } from "../connection/cached_prompts.ts";
import type { RegisteredServer } from "../process/registered_server.ts";

/** Dependencies of a search. */
export interface PromptSearchOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  readonly fetchCachedPrompts: CachedPromptsFetcher;
  /**
   * Returns up to `count` servers that can be used, those first that are most
   * likely to have been chosen for the prompt.
   */
  readonly likelyServers: (
    criteria: { readonly service: string; readonly prompt: string },
    count: number,
  ) => readonly RegisteredServer[];
}

/** What a search found. */
export interface PromptSearchResult {
  /** Name of a server with the prompt; `undefined` if none was found in time. */
  readonly server: string | undefined;
  /** Servers that were asked, or whose recent answer was used. */
  readonly askedCount: number;
}

interface CachedAnswer {
  readonly askedMs: number;
  readonly hasPrompt: Promise<(promptKey: string) => boolean>;
}

/** Servers asked for one prompt. */
const SERVERS_MAX = 16;
/** Longest search, in ms; prefilling a prompt takes about 1,000. */
const SEARCH_TIMEOUT_MS = 200;
/**
 * Time for the list of servers to arrive, in ms; without one, the stream could
 * not be sent anywhere.
 */
const FIRST_SERVERS_WAIT_MS = 500;
/** How often it is checked, in ms. */
const FIRST_SERVERS_CHECK_MS = 10;
/** How long an answer is used for further prompts, in ms. */
const ANSWER_REUSE_MS = 300;

/** Searches for cached prompts, which share the servers' answers. */
export class PromptSearch {
  readonly #options: PromptSearchOptions;
  readonly #answers = new Map<string, CachedAnswer>();

  private constructor(options: PromptSearchOptions) {
    this.#options = options;
  }

  /** Creates a search that has asked nobody. */
  static create(options: PromptSearchOptions): PromptSearch {
    return new PromptSearch(options);
  }

  /** Asks the likely servers at once; the first one with the prompt counts. */
  async find(service: string, prompt: string): Promise<PromptSearchResult> {
    const servers = await this.#likelyServers({ service, prompt });
    const askedCount = servers.length;
    return new Promise((resolve) => {
      const finish = (server?: string) => {
        clearTimeout(timer);
        resolve({ server, askedCount });
      };
      const timer = setTimeout(finish, SEARCH_TIMEOUT_MS);
      const asked = servers.map(async (server) => {
        // A server without a usable answer counts as one without the prompt.
        const hasPrompt = await this.#ask(server).catch(() => () => false);
        if (hasPrompt(prompt)) finish(server.name);
      });
      Promise.all(asked).then(() => finish());
    });
  }

  /** Waits for the first servers: an entry that has just started has none. */
  async #likelyServers(
    criteria: { readonly service: string; readonly prompt: string },
  ): Promise<readonly RegisteredServer[]> {
    const { now, likelyServers } = this.#options;
    const endMs = now() + FIRST_SERVERS_WAIT_MS;
    while (true) {
      const servers = likelyServers(criteria, SERVERS_MAX);
      if (servers.length > 0 || now() >= endMs) return servers;
      await sleep(FIRST_SERVERS_CHECK_MS);
    }
  }

  #ask(server: RegisteredServer): CachedAnswer["hasPrompt"] {
    const nowMs = this.#options.now();
    for (const [name, { askedMs }] of this.#answers) {
      if (nowMs - askedMs > ANSWER_REUSE_MS) this.#answers.delete(name);
    }
    const known = this.#answers.get(server.name);
    if (known !== undefined) return known.hasPrompt;
    const hasPrompt = this.#options.fetchCachedPrompts(server);
    this.#answers.set(server.name, { askedMs: nowMs, hasPrompt });
    return hasPrompt;
  }
}
