/** Messages between entries, packed with msgpackr over WebSocket. */

import { Packr } from "msgpackr";
import type {
  ContentHash,
  EntryId,
  Fingerprint,
  ObjectRevision,
} from "../ids.ts";
import type { LiveServer, ServerLoad } from "../process/live_server.ts";
import type { ReaderLiveness } from "../process/reader_election.ts";
import type { Head } from "../version/types.ts";

/** Kinds of peer messages. */
export enum PeerMessageKind {
  Digest = "digest",
  ChunkRequest = "chunk_request",
  ChunkResponse = "chunk_answer",
  ChangesRequest = "changes_request",
  ChangesResponse = "changes_answer",
}

/** How much a request is to blame for losses of backend servers. */
export interface Suspicion {
  readonly fingerprint: Fingerprint;
  readonly blame: number;
  /** Time until it expires, in ms, so that clocks need not agree. */
  readonly remainingMs: number;
}

/** What the platform's list said of one server, for entries cut off from it. */
export interface ServerChangeRecord {
  readonly name: string;
  /** Revision of the list's change; the higher one is right. */
  readonly revision: ObjectRevision;
  /** `null` when the server is gone. */
  readonly server: LiveServer | null;
}

/** What an entry that relays orders tells the others. */
export interface RelayDigest {
  /** Version of the configuration in force, and -1 before the first. */
  readonly configuration: number;
  /** Work that the entry gave to servers, by server name. */
  readonly loads: readonly (readonly [string, ServerLoad])[];
  /** Servers that read prompts lately, by prompt. */
  readonly prompts: readonly (readonly [string, string])[];
  /** Count of changes of that entry's list of servers; see `ChangesRequest`. */
  readonly changes: number;
  /** Checksum of the list of servers that the entry holds. */
  readonly listed: number;
  /** Entries that read the platform for all. */
  readonly readers: readonly ReaderLiveness[];
  /** Names of servers that the entry found dead just now. */
  readonly dead: readonly string[];
}

/** Soft state of an entry, sent at a bounded rate. */
export interface GossipDigest {
  readonly kind: PeerMessageKind.Digest;
  readonly entry: EntryId;
  /** Head of the adopted revision, if any. */
  readonly head: Head | null;
  readonly suspicions: readonly Suspicion[];
  readonly orders?: RelayDigest;
}

/** Asks a peer for a chunk of a revision. */
export interface ChunkRequest {
  readonly kind: PeerMessageKind.ChunkRequest;
  readonly correlation: number;
  readonly hash: ContentHash;
}

/** Answers a chunk request; no text when the peer does not hold it. */
export interface ChunkResponse {
  readonly kind: PeerMessageKind.ChunkResponse;
  readonly correlation: number;
  readonly text: string | null;
}

/**
 * Asks a peer for the latest changes of its list of servers. An entry whose list
 * differs asks one peer at a time, so that each change reaches it about once,
 * however many peers it has.
 */
export interface ChangesRequest {
  readonly kind: PeerMessageKind.ChangesRequest;
  readonly correlation: number;
  /** Changes of the peer's list that are known already, by its own count. */
  readonly after: number;
}

/** Changes of an entry's list of servers, the oldest first. */
export interface ServerChanges {
  /** The entry's count of changes at the last one of these. */
  readonly upTo: number;
  readonly news: readonly ServerChangeRecord[];
}

/** Answers a request for changes. */
export interface ChangesResponse extends ServerChanges {
  readonly kind: PeerMessageKind.ChangesResponse;
  readonly correlation: number;
}

/** Any message between entries. */
export type PeerMessage =
  | GossipDigest
  | ChunkRequest
  | ChunkResponse
  | ChangesRequest
  | ChangesResponse;

/** A message that answers another one. */
export type PeerResponse = ChunkResponse | ChangesResponse;

/** Path of the peers' WebSocket. */
export const PEER_PATH = "/peer";
/** Header that carries the peers' shared key. */
export const PEER_KEY_HEADER = "x-peer-key";
/** Largest message that a peer accepts, in bytes. */
export const PEER_MESSAGE_MAX_BYTES = 1_200_000;

/** Names the fields of repeated objects once a message, which saves a quarter. */
const PACKER = new Packr({ useRecords: true });

/** Returns a message as it is sent. */
export function packMessage(message: PeerMessage): Buffer {
  return PACKER.pack(message);
}

/** Reads a message; its shape is not checked. Errors: throws on damaged bytes. */
export function unpackMessage(bytes: Buffer): PeerMessage {
  return PACKER.unpack(bytes) as PeerMessage;
}
