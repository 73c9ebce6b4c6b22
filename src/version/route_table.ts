/** Index of a configuration of routes, services and customers. */

import { hashText } from "../hashing.ts";
import type { RequestKind } from "../request/proxy_request.ts";

/** A service that gets a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the route's other targets. */
  readonly weight: number;
}

/** Policy for requests with the same host and path prefix. */
export interface RoutePolicy {
  readonly name: string;
  readonly host: string;
  /** Path prefix, with a slash at both ends. */
  readonly prefix: string;
  readonly kind: RequestKind;
  readonly isResumable: boolean;
  readonly isAnonymous: boolean;
  /** Time limit of the complete response, in ms. */
  readonly timeoutMs: number;
  /** Target latency of a response, or of a stream's first event, in ms. */
  readonly targetMs: number;
  /** Maximum number of a request's attempts that may have run on a server. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
}

/** Capabilities of the model engines of a service. */
export interface EngineCapabilities {
  /** KV cache size for running requests and cached prompts, in tokens. */
  readonly kvCacheTokens: number;
  /** Whether a growing KV cache can be copied to another engine. */
  readonly supportsKvBackup: boolean;
}

/** A service that is the target of routes. */
export interface RoutedService {
  readonly name: string;
  /** `undefined` for plain services. */
  readonly engine: EngineCapabilities | undefined;
}

/** A customer with the SHA-256 hashes of its bearer keys. */
export interface KeyedCustomer {
  readonly name: string;
  readonly keySha256: readonly string[];
  /** Overrides the route's priority unless `undefined`. */
  readonly priority: number | undefined;
}

/** Size limits and timeouts for the requests of callers. */
export interface CallerLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Input of `RouteTable.create`. */
export interface RouteTableParts {
  /** Increases with each configuration; not contiguous. */
  readonly version: number;
  readonly routes: readonly RoutePolicy[];
  readonly services: readonly RoutedService[];
  /** `undefined` if callers need no key. */
  readonly customers: readonly KeyedCustomer[] | undefined;
  readonly limits: CallerLimits;
}

/** An indexed configuration; immutable. */
export class RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  /** Whether routes that are not anonymous require a bearer key. */
  readonly requiresKeys: boolean;
  /** Routes of a host, the longest path prefix first. */
  readonly #routes = new Map<string, RoutePolicy[]>();
  readonly #services = new Map<string, RoutedService>();
  /** Names of the services, and of those that only a route names. */
  readonly #serviceNames = new Set<string>();
  readonly #customers = new Map<string, KeyedCustomer>();

  private constructor(parts: RouteTableParts) {
    this.version = parts.version;
    this.limits = parts.limits;
    this.requiresKeys = parts.customers !== undefined;
    for (const route of parts.routes) this.#addRoute(route);
    for (const service of parts.services) {
      this.#services.set(service.name, service);
      this.#serviceNames.add(service.name);
    }
    for (const customer of parts.customers ?? []) {
      for (const key of customer.keySha256) this.#customers.set(key, customer);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /** Indexes a parsed configuration. */
  static create(parts: RouteTableParts): RouteTable {
    return new RouteTable(parts);
  }

  /** Returns the route of `host` with the longest prefix of `path`. */
  route(host: string, path: string): RoutePolicy | undefined {
    const routes = this.#routes.get(host.toLowerCase());
    return routes?.find(({ prefix }) => path.startsWith(prefix));
  }

  /** Returns a service by name. */
  service(name: string): RoutedService | undefined {
    return this.#services.get(name);
  }

  /** Whether the configuration names a service. */
  hasService(name: string): boolean {
    return this.#serviceNames.has(name);
  }

  /** Returns the customer with this bearer key. */
  customerByKey(bearerKey: string): KeyedCustomer | undefined {
    return this.#customers.get(hashText(bearerKey));
  }

  #addRoute(route: RoutePolicy): void {
    const host = route.host.toLowerCase();
    const routes = this.#routes.get(host) ?? [];
    routes.push(route);
    this.#routes.set(host, routes);
    for (const { service } of route.targets) this.#serviceNames.add(service);
  }
}

/** Chooses a target at random by weight; `random` is in [0, 1). */
export function chooseTarget(
  targets: readonly RouteTarget[],
  random: number,
): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random * total;
  for (const { service, weight } of targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return targets.at(-1)?.service;
}
