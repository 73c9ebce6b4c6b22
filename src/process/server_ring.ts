/**
 * The servers of a service on a ring of hashes. Each prompt has a place on it,
 * the same at every entry; a choice looks at the servers that follow the place,
 * so that it costs the same however many servers there are.
 */

import { crc32 } from "node:zlib";
import { hashText } from "../hashing.ts";

/** Digits of a hash that make a share of all hashes. */
const SHARE_DIGITS = 8;

interface Place {
  readonly point: number;
  readonly name: string;
}

/** Names of servers in the order of their hashes. */
export class ServerRing {
  readonly #places: Place[] = [];

  private constructor() {}

  /** Starts empty. */
  static create(): ServerRing {
    return new ServerRing();
  }

  /** Puts a server in its place; does nothing if it is there. */
  add(name: string): void {
    const at = this.#find(name);
    if (this.#places[at]?.name === name) return;
    this.#places.splice(at, 0, { point: crc32(name), name });
  }

  /** Takes a server out. */
  delete(name: string): void {
    const at = this.#find(name);
    if (this.#places[at]?.name === name) this.#places.splice(at, 1);
  }

  /** Yields all servers once, those first that follow the place of `key`. */
  *serversFrom(key: string): Generator<string> {
    const { length } = this.#places;
    // A share of the places, not a point: gaps between points are uneven.
    const start = Math.floor(shareOf(key) * length);
    for (let step = 0; step < length; step++) {
      const place = this.#places[(start + step) % length];
      if (place !== undefined) yield place.name;
    }
  }

  /** Returns where a server is, or would be put. */
  #find(name: string): number {
    const point = crc32(name);
    return this.#search((place) =>
      place.point > point || (place.point === point && place.name >= name)
    );
  }

  /** Returns the first place for which `isAfter` holds, as it does for all later. */
  #search(isAfter: (place: Place) => boolean): number {
    let low = 0;
    let high = this.#places.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const place = this.#places[middle];
      if (place === undefined || isAfter(place)) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

/**
 * Returns a number from 0 up to 1 that belongs to a key. It has nothing to do
 * with its CRC-32, by which servers alike are told apart.
 */
function shareOf(key: string): number {
  const digits = hashText(key).slice(0, SHARE_DIGITS);
  return Number.parseInt(digits, 16) / 16 ** SHARE_DIGITS;
}
