/** Messages between entries, packed with msgpackr over WebSocket. */

import { Packr } from "msgpackr";
import type {
  ContentHash,
  CrashCause,
  EntryId,
  Fingerprint,
  ObjectRevision,
} from "../ids.ts";
import type { BlockCrash } from "../process/crash_block.ts";
import type { ServerCrash } from "../process/crash_evidence.ts";
import type { FilteredParts } from "../process/crashed_parts.ts";
import type { ServerIncarnation } from "../process/leaving_servers.ts";
import type {
  RegisteredServer,
  ServerLoad,
} from "../process/registered_server.ts";
import type { RolloutDigest } from "../rollout/types.ts";
import type { ReaderLiveness } from "./reader_election.ts";
import type { Head } from "../version/types.ts";
import type { MemberSummary } from "./member_summary.ts";

/** Kinds of peer messages. */
export enum PeerMessageKind {
  Digest = "digest",
  ChunkRequest = "chunk_request",
  ChunkResponse = "chunk_answer",
  ChangesRequest = "changes_request",
  ChangesResponse = "changes_answer",
  RetryLoanRequest = "retry_loan_request",
  RetryLoanResponse = "retry_loan_answer",
}

/** Suspicion that a request crashes backend servers. */
export interface Suspicion {
  readonly fingerprint: Fingerprint;
  /** Weighted number of server losses; the first one counts 1. */
  readonly blame: number;
  /** Time until it expires, in ms, as the clocks of entries may differ. */
  readonly remainingMs: number;
  /** Blame by lost server; absent in digests of earlier versions. */
  readonly servers?: readonly (readonly [server: string, blame: number])[];
}

/** A crash of a server, as far as an entry knows. */
export interface CrashReport extends Omit<ServerCrash, "atMs"> {
  /** Time since the crash, in ms. */
  readonly ageMs: number;
}

/** Causes whose requests an entry refuses, and the crashes that it follows from. */
export interface CrashBlockReport {
  readonly causes: readonly CrashCause[];
  readonly crashes: readonly (Omit<BlockCrash, "atMs"> & {
    /** Time since the crash, in ms. */
    readonly ageMs: number;
  })[];
}

/** A trial of a request with a blocked cause; see `CrashTrial`. */
export interface CrashTrialReport {
  readonly block: string;
  readonly entry: string;
  /** Time since it was claimed, in ms. */
  readonly claimAgeMs: number;
  /** Time since the request was sent, in ms, if it was. */
  readonly startAgeMs: number | null;
}

/** All parts of a prompt that ran on a crashed server; see `FilteredParts`. */
export interface LongHeadReport extends Omit<FilteredParts, "atMs"> {
  /** Time since the crash, in ms. */
  readonly ageMs: number;
}

/** What an entry has learned of crashes lately, and some of what it refuses. */
export interface CrashAccountDigest {
  readonly crashes: readonly CrashReport[];
  readonly blocks: readonly CrashBlockReport[];
  /** Causes with the time since a run with them began and crashed nothing. */
  readonly proofs: readonly (readonly [CrashCause, ageMs: number])[];
  readonly trials: readonly CrashTrialReport[];
  /** Absent without long prompts, and in digests of earlier versions. */
  readonly longHeads?: readonly LongHeadReport[];
}

/** One change to the list of servers, for entries that can't read the store. */
export interface ServerChangeRecord {
  readonly name: string;
  /** Revision of the change; the highest one takes precedence. */
  readonly revision: ObjectRevision;
  /** `null` when the server was removed. */
  readonly server: RegisteredServer | null;
}

/** State that a relaying entry shares with its peers. */
export interface RelayDigest {
  /** Version of the active configuration; -1 before the first. */
  readonly configuration: number;
  /** Load that the entry placed on servers, by server name. */
  readonly loads: readonly (readonly [string, ServerLoad])[];
  /** Pairs of prompt key and server for recently prefilled prompts. */
  readonly prompts: readonly (readonly [string, string])[];
  /** Number of changes to the entry's list of servers; see `ChangesRequest`. */
  readonly changes: number;
  /** Checksum of the entry's list of servers. */
  readonly listed: number;
  /** Entries that read the platform's store for all entries. */
  readonly readers: readonly ReaderLiveness[];
  /** Names of servers that the entry recently found unreachable. */
  readonly dead: readonly string[];
  /** Servers that recently announced leaving; see `parseLeavingServers`. */
  readonly leaving?: readonly ServerIncarnation[];
  /** Absent if no crash is known, and in digests of earlier versions. */
  readonly crashAccount?: CrashAccountDigest;
  /** Absent if the sender knows no orders yet, or versions don't count. */
  readonly rollouts?: readonly RolloutDigest[];
}

/** Soft state of an entry, sent at a bounded rate. */
export interface GossipDigest {
  readonly kind: PeerMessageKind.Digest;
  readonly entry: EntryId;
  /** Head of the adopted revision, if any. */
  readonly head: Head | null;
  readonly suspicions: readonly Suspicion[];
  readonly orders?: RelayDigest;
  /** The latest list of entries that the sender knows of, if any. */
  readonly members?: MemberSummary;
}

/** Asks a peer for a chunk of a revision. */
export interface ChunkRequest {
  readonly kind: PeerMessageKind.ChunkRequest;
  readonly correlation: number;
  readonly hash: ContentHash;
}

/** Response to a chunk request; `null` when the peer does not hold it. */
export interface ChunkResponse {
  readonly kind: PeerMessageKind.ChunkResponse;
  readonly correlation: number;
  readonly text: string | null;
}

/**
 * Requests the latest changes to a peer's list of servers. An entry whose list
 * differs asks one peer at a time, so it receives each change about once
 * regardless of the number of peers.
 */
export interface ChangesRequest {
  readonly kind: PeerMessageKind.ChangesRequest;
  readonly correlation: number;
  /** Number of the peer's changes that the entry already knows. */
  readonly after: number;
}

/** Changes to an entry's list of servers, oldest first. */
export interface ServerChanges {
  /** The entry's number of changes up to and including the last of `news`. */
  readonly upTo: number;
  readonly news: readonly ServerChangeRecord[];
}

/** Response to a changes request. */
export interface ChangesResponse extends ServerChanges {
  readonly kind: PeerMessageKind.ChangesResponse;
  readonly correlation: number;
}

/** Asks a peer for part of its retry budget; see `RetryBudget.lend`. */
export interface RetryLoanRequest {
  readonly kind: PeerMessageKind.RetryLoanRequest;
  readonly correlation: number;
  readonly service: string;
  /** Retries that are wanted; may be a fraction of one. */
  readonly wanted: number;
}

/** Response to a retry loan request. */
export interface RetryLoanResponse {
  readonly kind: PeerMessageKind.RetryLoanResponse;
  readonly correlation: number;
  /** Retries that were lent, at most those wanted. */
  readonly count: number;
}

/** Any message between entries. */
export type PeerMessage =
  | GossipDigest
  | ChunkRequest
  | ChunkResponse
  | ChangesRequest
  | ChangesResponse
  | RetryLoanRequest
  | RetryLoanResponse;

/** Any response to a request. */
export type PeerResponse = ChunkResponse | ChangesResponse | RetryLoanResponse;

/** Path of the WebSocket between entries. */
export const PEER_PATH = "/peer";
/** Header with the shared key of the entries. */
export const PEER_KEY_HEADER = "x-peer-key";
/** Largest message that a peer accepts, in bytes. */
export const PEER_MESSAGE_MAX_BYTES = 1_200_000;

/** Writes field names once per message, which saves a quarter of its size. */
const PACKER = new Packr({ useRecords: true });

/** Serializes a message. */
export function packMessage(message: PeerMessage): Buffer {
  return PACKER.pack(message);
}

/** Parses a message without validating it. Errors: throws on invalid bytes. */
export function unpackMessage(bytes: Buffer): PeerMessage {
  return PACKER.unpack(bytes) as PeerMessage;
}
