/** The servers on which one stream has failed, which its next attempt avoids. */

import { FailureCause } from "../errors.ts";
import type { RecentFailure } from "../placement/choose_server.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** What the failed attempts of a stream mean for the choice of a server. */
export class FailedServers {
  readonly #context: RelayContext;
  readonly #request: ProxyRequest;
  readonly #names = new Set<string>();
  /** Healthy servers that were allowed another attempt after a failed one. */
  readonly #reused = new Set<string>();
  #recentFailure: RecentFailure | undefined;

  private constructor(context: RelayContext, request: ProxyRequest) {
    this.#context = context;
    this.#request = request;
  }

  /** Starts without failed servers. */
  static create(context: RelayContext, request: ProxyRequest): FailedServers {
    return new FailedServers(context, request);
  }

  /** Names of the servers to avoid; changes with further failures. */
  get names(): ReadonlySet<string> {
    return this.#names;
  }

  /** Zone of the last failed attempt, unless its server is healthy. */
  get recentFailure(): RecentFailure | undefined {
    return this.#recentFailure;
  }

  /** Avoids a healthy server that rejected the stream. */
  add({ name }: RegisteredServer): void {
    this.#names.add(name);
  }

  /** Records a failed attempt. */
  recordFailure(server: RegisteredServer, cause: FailureCause): void {
    const isReachable = cause === FailureCause.Stalled ||
      cause === FailureCause.Rejected ||
      cause === FailureCause.NoResources;
    this.#recentFailure = isReachable
      ? undefined
      : { zone: server.zone, atMs: this.#context.now() };
    this.add(server);
  }

  /** Allows another attempt on a healthy server that has the prompt cached. */
  allowReuse({ name }: RegisteredServer): void {
    if (this.#reused.has(name)) return;
    this.#reused.add(name);
    this.#names.delete(name);
    this.#recentFailure = undefined;
    this.#context.promptCacheIndex.record(this.#request.promptKey, name);
  }

  /** Avoids no server any longer. */
  clear(): void {
    this.#names.clear();
  }

  /**
   * Whether any server on which the stream has not failed could serve it, and
   * has no pause that lasts longer than `waitMs`.
   */
  hasAlternative(waitMs: number): boolean {
    const { servers, now } = this.#context;
    const { service, kvCacheTokens } = this.#request;
    const criteria = {
      service,
      tokens: kvCacheTokens,
      excluded: this.#names,
    };
    const heldOffUntilMs = servers.heldOffUntilMs(criteria) ?? 0;
    return servers.canServe(criteria) && heldOffUntilMs <= now() + waitMs;
  }
}
