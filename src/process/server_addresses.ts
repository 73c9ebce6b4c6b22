/**
 * The addresses of registered servers. An address is reused: the server that
 * started last there replaces the others, which get no requests unless it is
 * gone or proves not to have the address.
 */

import type { RegisteredServer } from "./registered_server.ts";
import type { RegisteredServerViews } from "./registered_server_views.ts";

/** Dependencies of the addresses. */
export interface ServerAddressesOptions {
  readonly views: RegisteredServerViews;
  /** Called when a server is used again. */
  readonly onCapacityAvailable: () => void;
}

/** Which servers are listed at each address, and which of them are replaced. */
export class ServerAddresses {
  readonly #options: ServerAddressesOptions;
  /** Names of the servers listed at each address. */
  readonly #names = new Map<string, Set<string>>();
  /** Names of the servers that a later one replaces at their address. */
  readonly #replaced = new Set<string>();

  private constructor(options: ServerAddressesOptions) {
    this.#options = options;
  }

  /** Starts without addresses. */
  static create(options: ServerAddressesOptions): ServerAddresses {
    return new ServerAddresses(options);
  }

  /**
   * Ejects other servers at the address of a new incarnation that did not start
   * later: the address now belongs to this one.
   */
  ejectOlder({ name, address, startedMs }: RegisteredServer): void {
    const { views } = this.#options;
    for (const other of this.#names.get(address) ?? []) {
      const view = views.get(other);
      const isOlder = other !== name && view !== undefined &&
        view.server.startedMs <= startedMs;
      if (!isOlder) continue;
      this.#replaced.add(other);
      views.update(other, () => ({ ejectedUntilMs: Infinity }));
    }
  }

  /** Lists a new incarnation at its address, in place of the previous one. */
  set(server: RegisteredServer, previous: RegisteredServer | undefined): void {
    const { name, address } = server;
    const isMoved = previous !== undefined && previous.address !== address;
    if (isMoved) this.delete(previous);
    const names = this.#names.get(address) ?? new Set();
    this.#names.set(address, names.add(name));
    this.#replaced.delete(name);
  }

  /** Removes a server from its address. */
  delete({ name, address }: RegisteredServer): void {
    const names = this.#names.get(address);
    names?.delete(name);
    if (names?.size === 0) this.#names.delete(address);
    this.#replaced.delete(name);
    this.#readmitAt(address);
  }

  /**
   * Records that a server does not have its address, so it replaces no other
   * one there.
   */
  recordAbsence({ name, address }: RegisteredServer): void {
    this.#replaced.delete(name);
    this.#readmitAt(address);
  }

  #readmitAt(address: string): void {
    for (const name of this.#names.get(address) ?? []) this.#readmit(name);
  }

  /** Uses a server again that no other one at its address replaces. */
  #readmit(name: string): void {
    const { views, onCapacityAvailable } = this.#options;
    const server = views.get(name)?.server;
    if (server === undefined || !this.#replaced.has(name)) return;
    const names = this.#names.get(server.address) ?? [];
    const isReplaced = [...names].some((other) => {
      const view = views.get(other);
      if (other === name || view === undefined) return false;
      const mayHaveAddress = this.#replaced.has(other) ||
        view.ejectedUntilMs < Infinity;
      return mayHaveAddress && view.server.startedMs >= server.startedMs;
    });
    if (isReplaced) return;
    this.#replaced.delete(name);
    views.update(name, () => ({ ejectedUntilMs: 0 }));
    onCapacityAvailable();
  }
}
