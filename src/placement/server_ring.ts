/**
 * A hash ring of a service's servers. Each prompt has the same position on it
 * at every entry; a choice looks at the servers from that position on, so its
 * cost does not depend on the number of servers.
 */

import { crc32 } from "node:zlib";
import { hashText } from "../hashing.ts";

/** Hexadecimal digits of a hash that determine a key's position. */
const POSITION_DIGITS = 8;

interface RingServer {
  readonly hash: number;
  readonly name: string;
}

/** Server names in the order of their hashes. */
export class ServerRing {
  readonly #servers: RingServer[] = [];

  private constructor() {}

  /** Creates an empty ring. */
  static create(): ServerRing {
    return new ServerRing();
  }

  /** Adds a server, unless it is on the ring. */
  add(name: string): void {
    const index = this.#indexOf(name);
    if (this.#servers[index]?.name === name) return;
    this.#servers.splice(index, 0, { hash: crc32(name), name });
  }

  /** Removes a server. */
  delete(name: string): void {
    const index = this.#indexOf(name);
    if (this.#servers[index]?.name === name) this.#servers.splice(index, 1);
  }

  /** Yields each server once, starting at the position of `key`. */
  *serversFrom(key: string): Generator<string> {
    const { length } = this.#servers;
    // A fraction of the number of servers, not a hash: gaps between hashes are
    // uneven.
    const start = Math.floor(positionOf(key) * length);
    for (let offset = 0; offset < length; offset++) {
      const server = this.#servers[(start + offset) % length];
      if (server !== undefined) yield server.name;
    }
  }

  /** Returns the index of a server, or where it would be inserted. */
  #indexOf(name: string): number {
    const hash = crc32(name);
    return this.#findFirst((server) =>
      server.hash > hash || (server.hash === hash && server.name >= name)
    );
  }

  /**
   * Returns the first index where `isAfter` holds; it must hold for all later.
   */
  #findFirst(isAfter: (server: RingServer) => boolean): number {
    let low = 0;
    let high = this.#servers.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const server = this.#servers[middle];
      if (server === undefined || isAfter(server)) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

/**
 * Maps a key to a number in [0, 1). It must not depend on the hash that breaks
 * ties between servers of equal load.
 */
function positionOf(key: string): number {
  const digits = hashText(key).slice(0, POSITION_DIGITS);
  return Number.parseInt(digits, 16) / 16 ** POSITION_DIGITS;
}
