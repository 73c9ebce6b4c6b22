/** One accepted configuration of routes, services and customers. */

import { hashText } from "../hashing.ts";
import type { RequestKind } from "../request/proxy_request.ts";

/** Part of a route's requests that goes to a service. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the weights of the route's other targets. */
  readonly weight: number;
}

/** Requests of one host whose path begins alike. */
export interface RoutePolicy {
  readonly name: string;
  readonly host: string;
  /** Start of the paths, with a slash at both ends. */
  readonly prefix: string;
  readonly kind: RequestKind;
  readonly isResumable: boolean;
  readonly isAnonymous: boolean;
  /** Longest time to the final answer, in ms. */
  readonly timeoutMs: number;
  /** Time in which an answer, or a stream's first event, is on time, in ms. */
  readonly targetMs: number;
  /** Backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
}

/** What is known of the model engines of a service. */
export interface EngineCapabilities {
  /** Memory for running requests and cached prompts, in tokens. */
  readonly kvCacheTokens: number;
  /** Whether a run's memory can be copied to another engine as it grows. */
  readonly supportsKvBackup: boolean;
}

/** A service that routes lead to. */
export interface RoutedService {
  readonly name: string;
  /** `undefined` for plain services. */
  readonly engine: EngineCapabilities | undefined;
}

/** A customer with the hashes of its bearer keys. */
export interface KeyedCustomer {
  readonly name: string;
  readonly keySha256: readonly string[];
  /** Goes before the route's priority; `undefined` leaves that in force. */
  readonly priority: number | undefined;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly headerMaxBytes: number;
  readonly bodyMaxBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The parts of a configuration. */
export interface RouteTableParts {
  /** Grows with each configuration, in uneven steps. */
  readonly version: number;
  readonly routes: readonly RoutePolicy[];
  readonly services: readonly RoutedService[];
  /** `undefined` where callers need no key. */
  readonly customers: readonly KeyedCustomer[] | undefined;
  readonly limits: CallerLimits;
}

/** An indexed configuration; never changed once created. */
export class RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  /** Whether callers need a key on routes that are not anonymous. */
  readonly requiresKeys: boolean;
  /** Routes of a host, the longest path prefix first. */
  readonly #routes = new Map<string, RoutePolicy[]>();
  readonly #services = new Map<string, RoutedService>();
  readonly #customers = new Map<string, KeyedCustomer>();

  private constructor(parts: RouteTableParts) {
    this.version = parts.version;
    this.limits = parts.limits;
    this.requiresKeys = parts.customers !== undefined;
    for (const route of parts.routes) this.#addRoute(route);
    for (const service of parts.services) {
      this.#services.set(service.name, service);
    }
    for (const customer of parts.customers ?? []) {
      for (const key of customer.keySha256) this.#customers.set(key, customer);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /** Indexes a restored configuration. */
  static create(parts: RouteTableParts): RouteTable {
    return new RouteTable(parts);
  }

  /** Returns the route with the longest prefix that begins `path`. */
  route(host: string, path: string): RoutePolicy | undefined {
    const routes = this.#routes.get(host.toLowerCase());
    return routes?.find(({ prefix: pathStart }) => path.startsWith(pathStart));
  }

  /** Returns a service by name. */
  service(name: string): RoutedService | undefined {
    return this.#services.get(name);
  }

  /** Returns the customer whose bearer key this is. */
  customerByKey(bearerKey: string): KeyedCustomer | undefined {
    return this.#customers.get(hashText(bearerKey));
  }

  #addRoute(route: RoutePolicy): void {
    const host = route.host.toLowerCase();
    const routes = this.#routes.get(host) ?? [];
    routes.push(route);
    this.#routes.set(host, routes);
  }
}

/** Returns the target of one request; `random` is from 0 up to 1. */
export function chooseTarget(
  targets: readonly RouteTarget[],
  random: number,
): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random * total;
  for (const { service, weight } of targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return targets.at(-1)?.service;
}
