/** Which versions of the configuration peers have announced, and since when. */

import type { EntryId } from "../ids.ts";

/** A peer's latest announcement. */
export interface Announcement<Link> {
  readonly peer: EntryId;
  readonly version: number;
  /** Link on which it arrived. */
  readonly link: Link;
  /** When it arrived, in ms. */
  readonly heardMs: number;
}

/** The latest announcement of each peer. */
export class ConfigurationAnnouncements<Link> {
  readonly #latest = new Map<EntryId, Announcement<Link>>();
  /** When each version that is not adopted was first announced, in ms. */
  readonly #firstHeardMs = new Map<number, number>();

  private constructor() {}

  /** Creates an empty record. */
  static create<Link>(): ConfigurationAnnouncements<Link> {
    return new ConfigurationAnnouncements<Link>();
  }

  /** Records an announcement, given the version that is adopted. */
  record(announcement: Announcement<Link>, adoptedVersion: number): void {
    const { peer, version, heardMs } = announcement;
    this.#latest.set(peer, announcement);
    this.markAdopted(adoptedVersion);
    if (version > adoptedVersion && !this.#firstHeardMs.has(version)) {
      this.#firstHeardMs.set(version, heardMs);
    }
  }

  /** Drops a peer whose process has ended. */
  forgetPeer(peer: EntryId): void {
    this.#latest.delete(peer);
  }

  /** Records that a version and all before it need not be adopted any more. */
  markAdopted(adoptedVersion: number): void {
    for (const version of this.#firstHeardMs.keys()) {
      if (version <= adoptedVersion) this.#firstHeardMs.delete(version);
    }
  }

  /**
   * Returns announcements of newer versions, the newest version first, and of
   * equal ones the latest announcement first.
   */
  newerThan(adoptedVersion: number): readonly Announcement<Link>[] {
    return [...this.#latest.values()]
      .filter(({ version }) => version > adoptedVersion)
      .sort((a, b) => b.version - a.version || b.heardMs - a.heardMs);
  }

  /** Returns how long a version that is not adopted has been known, in ms. */
  behindMs(nowMs: number): number {
    const firstMs = Math.min(...this.#firstHeardMs.values(), nowMs);
    return nowMs - firstMs;
  }
}
