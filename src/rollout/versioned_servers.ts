/** The servers of a service by version. */

import type { RegisteredServer } from "../process/registered_server.ts";
import type { ServersByVersion } from "./rollout.ts";

/** Dependencies of the servers by version. */
export interface VersionedServersOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Returns the listed servers of a service. */
  readonly serversOf: (service: string) => Iterable<RegisteredServer>;
  /** Whether a server can get requests now. */
  readonly isUsable: (name: string) => boolean;
}

/** How long the versions of a service's servers are cached, in ms. */
const CACHE_MS = 50;

interface CachedServers extends ServersByVersion {
  readonly target: string;
  readonly atMs: number;
}

/** Looks up servers by version; each request does. */
export class VersionedServers {
  readonly #options: VersionedServersOptions;
  readonly #cached = new Map<string, CachedServers>();

  private constructor(options: VersionedServersOptions) {
    this.#options = options;
  }

  /** Starts without servers. */
  static create(options: VersionedServersOptions): VersionedServers {
    return new VersionedServers(options);
  }

  /** Whether a service has a listed server of a version. */
  isListed(service: string, version: string): boolean {
    for (const server of this.#options.serversOf(service)) {
      if (versionOf(server) === version) return true;
    }
    return false;
  }

  /** Returns a service's usable servers, those of the target version apart. */
  byVersion(service: string, target: string): ServersByVersion {
    const { now, serversOf, isUsable } = this.#options;
    const cached = this.#cached.get(service);
    const isFresh = cached?.target === target && now() - cached.atMs < CACHE_MS;
    if (isFresh) return cached;
    const usable = [...serversOf(service)].filter(({ name }) => isUsable(name));
    const candidates = usable
      .filter((server) => versionOf(server) === target)
      .map(({ name }) => name);
    const servers: CachedServers = {
      candidates,
      baselineCount: usable.length - candidates.length,
      target,
      atMs: now(),
    };
    this.#cached.set(service, servers);
    return servers;
  }
}

/** Returns the version of a server; empty if unknown. */
export function versionOf({ version = "" }: RegisteredServer): string {
  return version;
}
