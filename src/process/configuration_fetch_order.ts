/** Decides where an entry asks for a newer configuration, and in which order. */

import type { EntryId } from "../ids.ts";

/** Kinds of sources. */
export enum FetchSourceKind {
  /** A peer that answers only if the configuration is small. */
  PeerIfSmall = "peer_if_small",
  Store = "store",
  Peer = "peer",
}

/** Where to ask for the configuration. */
export type FetchSource =
  | { readonly kind: FetchSourceKind.Store }
  | {
    readonly kind: FetchSourceKind.PeerIfSmall | FetchSourceKind.Peer;
    readonly peer: EntryId;
  };

/**
 * Peers that are asked for a small configuration before the store: calls to the
 * store are billed, and each entry makes its own.
 */
const PEERS_BEFORE_STORE = 2;

/**
 * Yields the sources to ask, each once; `undefined` while all known ones have
 * been asked.
 *
 * @param peers returns the peers that hold a newer configuration now, the best
 * source first
 */
export function* fetchOrder(
  peers: () => readonly EntryId[],
): Generator<FetchSource | undefined, never> {
  const askedIfSmall = new Set<EntryId>();
  while (askedIfSmall.size < PEERS_BEFORE_STORE) {
    const peer = peers().find((name) => !askedIfSmall.has(name));
    if (peer === undefined) break;
    askedIfSmall.add(peer);
    yield { kind: FetchSourceKind.PeerIfSmall, peer };
  }
  yield { kind: FetchSourceKind.Store };
  const asked = new Set<EntryId>();
  while (true) {
    const peer = peers().find((name) => !asked.has(name));
    if (peer !== undefined) asked.add(peer);
    yield peer && { kind: FetchSourceKind.Peer, peer };
  }
}
