/**
 * The addresses of registered servers. An address is reused: the server that
 * started last there is taken to replace the others. They get no requests until
 * it is gone or proves not to have the address, or until registrations of ended
 * servers have lapsed: any writer may list a server at any address.
 */

import type {
  RegisteredServer,
  RegisteredServerView,
} from "./registered_server.ts";
import type { RegisteredServerViews } from "./registered_server_views.ts";

/** Dependencies of the addresses. */
export interface ServerAddressesOptions {
  readonly views: RegisteredServerViews;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Whether the configuration names a service; its servers may get requests. */
  readonly isKnownService: (service: string) => boolean;
  /** Called when a server is used again. */
  readonly onCapacityAvailable: () => void;
}

/**
 * How long a server is taken for replaced, in ms. Its registration would have
 * lapsed by then, and a server that still lacks its address says so.
 */
export const REPLACED_MS = 5_000;
/**
 * Age up to which a response shows that a server has its address, in ms: it takes
 * longer to start another one there.
 */
const RESPONSE_PROOF_MS = 1_000;

/** Which servers are listed at each address, and which of them are replaced. */
export class ServerAddresses {
  readonly #options: ServerAddressesOptions;
  /** Names of the servers listed at each address. */
  readonly #names = new Map<string, Set<string>>();
  /**
   * The servers that a later one replaces at their address, by name; each timer
   * ends that.
   */
  readonly #replaced = new Map<string, NodeJS.Timeout>();
  /** The address at which a server has replaced others, by its name. */
  readonly #claims = new Map<string, string>();

  private constructor(options: ServerAddressesOptions) {
    this.#options = options;
  }

  /** Starts without addresses. */
  static create(options: ServerAddressesOptions): ServerAddresses {
    return new ServerAddresses(options);
  }

  /**
   * Ejects other servers at the address of a new incarnation that did not start
   * later and have not just responded: the address most likely belongs to this
   * one. A name does so once, as its registration may be rewritten all the time.
   */
  ejectOlder({ name, address, startedMs, service }: RegisteredServer): void {
    const { views, now, isKnownService } = this.#options;
    const provenMs = now() - RESPONSE_PROOF_MS;
    if (!isKnownService(service) || this.#claims.get(name) === address) return;
    for (const other of this.#names.get(address) ?? []) {
      const view = views.get(other);
      const isOlder = other !== name && view !== undefined &&
        view.server.startedMs <= startedMs &&
        (view.respondedMs ?? -Infinity) < provenMs;
      if (!isOlder || this.#isKnownAbsent(view)) continue;
      this.#claims.set(name, address);
      this.#markReplaced(other);
      views.update(other, () => ({ ejectedUntilMs: Infinity }));
    }
  }

  /** Whether a server proved not to have its address. */
  #isKnownAbsent({ server, ejectedUntilMs }: RegisteredServerView): boolean {
    return ejectedUntilMs === Infinity && !this.#replaced.has(server.name);
  }

  #markReplaced(name: string): void {
    this.#unmarkReplaced(name);
    const timer = setTimeout(() => this.#reinstate(name), REPLACED_MS);
    this.#replaced.set(name, timer.unref());
  }

  #unmarkReplaced(name: string): void {
    clearTimeout(this.#replaced.get(name));
    this.#replaced.delete(name);
  }

  /** Uses the servers again that only servers of unknown services replace. */
  refreshServices(): void {
    for (const name of [...this.#replaced.keys()]) this.#readmit(name);
  }

  /** Lists a new incarnation at its address, in place of the previous one. */
  set(server: RegisteredServer, previous: RegisteredServer | undefined): void {
    const { name, address } = server;
    const isMoved = previous !== undefined && previous.address !== address;
    if (isMoved) this.delete(previous);
    const names = this.#names.get(address) ?? new Set();
    this.#names.set(address, names.add(name));
    this.#unmarkReplaced(name);
  }

  /** Removes a server from its address. */
  delete({ name, address }: RegisteredServer): void {
    const names = this.#names.get(address);
    names?.delete(name);
    if (names?.size === 0) this.#names.delete(address);
    this.#unmarkReplaced(name);
    this.#claims.delete(name);
    this.#readmitAt(address);
  }

  /**
   * Records that a server does not have its address, so it replaces no other
   * one there.
   */
  recordAbsence({ name, address }: RegisteredServer): void {
    this.#unmarkReplaced(name);
    this.#readmitAt(address);
  }

  #readmitAt(address: string): void {
    for (const name of this.#names.get(address) ?? []) this.#readmit(name);
  }

  /** Uses a server again that no other one at its address replaces. */
  #readmit(name: string): void {
    const { views, isKnownService } = this.#options;
    const server = views.get(name)?.server;
    if (server === undefined || !this.#replaced.has(name)) return;
    const names = this.#names.get(server.address) ?? [];
    const isReplaced = [...names].some((other) => {
      const view = views.get(other);
      if (other === name || view === undefined) return false;
      if (!isKnownService(view.server.service)) return false;
      const mayHaveAddress = this.#replaced.has(other) ||
        view.ejectedUntilMs < Infinity;
      return mayHaveAddress && view.server.startedMs >= server.startedMs;
    });
    if (!isReplaced) this.#reinstate(name);
  }

  #reinstate(name: string): void {
    const { views, onCapacityAvailable } = this.#options;
    this.#unmarkReplaced(name);
    views.update(name, () => ({ ejectedUntilMs: 0 }));
    onCapacityAvailable();
  }
}
