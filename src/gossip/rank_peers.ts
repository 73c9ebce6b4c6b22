/**
 * Orders the other entries by preference for links of this one.
 *
 * Answers the load of hundreds of entries, whose digests are most of the bytes
 * between zones: two of three links stay within the zone, the third joins it to
 * the others. A change goes as far as over links that don't regard zones.
 */

import type { Instance } from "../connection/instance.ts";
import { hashParts } from "../hashing.ts";

/** The entry that chooses. */
export interface Chooser {
  readonly entry: string;
  /** Its zone; `undefined` if unknown, and then zones don't count. */
  readonly zone: string | undefined;
}

/** Links within the zone for each one to another zone. */
const LOCAL_PER_REMOTE = 2;

/**
 * Returns the peers by rendezvous hashing, the lowest hashes first, of which two
 * of the chooser's zone come before each one of another or an unknown zone, as
 * long as there are both.
 */
export function rankPeers(
  peers: readonly Instance[],
  { entry, zone }: Chooser,
): readonly Instance[] {
  const byHash = peers
    .map((peer) => ({ peer, hash: hashParts([entry, peer.name]) }))
    .sort((a, b) => (a.hash < b.hash ? -1 : 1))
    .map(({ peer }) => peer);
  const isLocal = (peer: Instance) => zone !== undefined && peer.zone === zone;
  const locals = byHash.filter(isLocal);
  const remotes = byHash.filter((peer) => !isLocal(peer));
  return interleave(locals, remotes);
}

function interleave(
  locals: readonly Instance[],
  remotes: readonly Instance[],
): readonly Instance[] {
  const ranked: Instance[] = [];
  let localCount = 0;
  for (const remote of remotes) {
    ranked.push(...locals.slice(localCount, localCount + LOCAL_PER_REMOTE));
    localCount += LOCAL_PER_REMOTE;
    ranked.push(remote);
  }
  return [...ranked, ...locals.slice(localCount)];
}
