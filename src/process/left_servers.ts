/**
 * Servers that were listed as leaving or removed. A store that comes back from an
 * older copy lists them again as if they were ready; they stay out of use until
 * they start anew.
 */

import { eraOf } from "../connection/store_era.ts";
import type { ObjectRevision } from "../ids.ts";
import {
  isSameIncarnation,
  type ServerIncarnation,
} from "./leaving_servers.ts";

/** Most servers that are remembered; the earliest are forgotten first. */
const SERVERS_MAX = 1_000;
/** How long a server may serve on after it has left the list, in ms. */
const LINGER_MS = 30_000;

interface LeftServer {
  readonly incarnation: ServerIncarnation;
  /** Era in which the store said so. */
  readonly era: number;
  /** On the monotonic clock, in ms. */
  readonly atMs: number;
}

/** The servers that have left, by name. */
export class LeftServers {
  readonly #now: () => number;
  readonly #servers = new Map<string, LeftServer>();

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts without servers; `now` is a monotonic clock in ms. */
  static create(now: () => number): LeftServers {
    return new LeftServers(now);
  }

  /** Records that the store showed at a revision that a server has left. */
  record(incarnation: ServerIncarnation, revision: ObjectRevision): void {
    const { name } = incarnation;
    this.#servers.delete(name);
    this.#servers.set(name, {
      incarnation,
      era: eraOf(revision),
      atMs: this.#now(),
    });
    const [earliest] = this.#servers.keys();
    if (this.#servers.size > SERVERS_MAX && earliest !== undefined) {
      this.#servers.delete(earliest);
    }
  }

  /** Whether a listed server had lately left when the store came back. */
  hasLeft(listed: ServerIncarnation, revision: ObjectRevision): boolean {
    const left = this.#servers.get(listed.name);
    return left !== undefined && left.era < eraOf(revision) &&
      this.#now() - left.atMs < LINGER_MS &&
      isSameIncarnation(left.incarnation, listed);
  }
}
