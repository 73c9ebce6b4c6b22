/** Parses messages from other entries. */

import { SLOTS_MAX } from "../constants.ts";
import { BLOCK_CRASHES_MAX } from "../process/crash_block.ts";
import {
  CRASH_RUNS_MAX,
  RUN_CAUSES_MAX,
  RunStage,
} from "../process/crash_evidence.ts";
import { FILTER_BYTES } from "../process/parts_filter.ts";
import { isAddress } from "../connection/address.ts";
import { BIN_COUNT } from "../rollout/latency_bins.ts";
import { TALLIES_PER_DIGEST } from "../rollout/tally_exchange.ts";
import { RolloutStage } from "../rollout/types.ts";
import { ASPECTS_MAX, COUNTED_SERVERS_MAX } from "../rollout/version_counts.ts";
import {
  type PeerMessage,
  PeerMessageKind,
  unpackMessage,
} from "./peer_protocol.ts";

type Fields = Readonly<Record<string, unknown>>;
type Check = (value: unknown) => boolean;

/** Longest list of crashes, blocks, proofs or trials in a digest. */
const CRASH_ITEMS_MAX = 64;
/** Most orders in a digest: one for each service. */
const ROLLOUTS_MAX = 256;
/** Longest name of a cause or server in a crash report, in characters. */
const CAUSE_MAX_CHARACTERS = 128;

/**
 * Returns a message, or `undefined` if the bytes can't be read or a field is
 * missing or of another type.
 */
export function parsePeerMessage(bytes: Buffer): PeerMessage | undefined {
  try {
    const message: unknown = unpackMessage(bytes);
    return isMessage(message) ? message as PeerMessage : undefined;
  } catch {
    // Invalid bytes, or nested too deeply to be unpacked.
    return undefined;
  }
}

const isText: Check = (value) => typeof value === "string";
const isNumber: Check = (value) => Number.isFinite(value);
const isBoolean: Check = (value) => typeof value === "boolean";

const isSuspicion = hasFields({
  fingerprint: isText,
  blame: isNumber,
  remainingMs: isNumber,
  servers: isOptional(isListOf(isPairOf(isText, isNumber))),
});
const isHead = hasFields({ revision: isNumber, manifest: isText });
const isLoad = hasFields({
  requests: isNumber,
  tokens: isNumber,
  unreadTokens: isNumber,
});
const isReader = hasFields({
  entry: isText,
  ageMs: isNumber,
  isLost: isOptional(isBoolean),
});
const isCause: Check = (value) =>
  typeof value === "string" && value.length <= CAUSE_MAX_CHARACTERS;
const isAge: Check = (value) => Number.isFinite(value) && Number(value) >= 0;
const isFilter: Check = (value) =>
  value instanceof Uint8Array && value.length === FILTER_BYTES;
/** Loans make up what one retry lacks. */
const isRetryCount: Check = (value) => isAge(value) && Number(value) <= 1;
const isStage: Check = (value) =>
  Object.values<unknown>(RunStage).includes(value);
const isCauses = isListOf(isCause, RUN_CAUSES_MAX);
/** Whether a value is the report of a block. */
export const isBlockReport = hasFields({
  causes: isCauses,
  crashes: isListOf(
    hasFields({
      server: isCause,
      zone: isCause,
      ageMs: isAge,
      stage: isStage,
      request: isCause,
      ranMs: isOptional(isAge),
    }),
    BLOCK_CRASHES_MAX,
  ),
});
const isCrashAccount = hasFields({
  crashes: isListOf(
    hasFields({
      server: isCause,
      zone: isCause,
      ageMs: isAge,
      runs: isListOf(
        hasFields({
          request: isCause,
          stage: isStage,
          causes: isCauses,
          ranMs: isOptional(isAge),
        }),
        CRASH_RUNS_MAX,
      ),
    }),
    CRASH_ITEMS_MAX,
  ),
  blocks: isListOf(isBlockReport, CRASH_ITEMS_MAX),
  proofs: isListOf(isPairOf(isCause, isAge), CRASH_ITEMS_MAX),
  trials: isListOf(
    hasFields({
      block: isCause,
      entry: isCause,
      claimAgeMs: isAge,
      startAgeMs: isNullOr(isAge),
    }),
    CRASH_ITEMS_MAX,
  ),
  longHeads: isOptional(
    isListOf(
      hasFields({ request: isCause, ageMs: isAge, filter: isFilter }),
      CRASH_ITEMS_MAX,
    ),
  ),
});
const isCount: Check = (value) =>
  Number.isSafeInteger(value) && Number(value) >= 0;
const isMemberSummary = hasFields({
  revision: isCount,
  count: isCount,
  newest: isCount,
});
const isResponseCounts = hasFields({
  bins: isListOf(isCount, BIN_COUNT),
  failures: isCount,
  failedServers: isListOf(isCause, COUNTED_SERVERS_MAX),
  servers: isListOf(isCause, COUNTED_SERVERS_MAX),
});
const isRollout = hasFields({
  id: isCause,
  service: isText,
  target: isText,
  durationMs: isAge,
  revision: isCount,
  stage: (value) => Object.values<unknown>(RolloutStage).includes(value),
  ageMs: isAge,
  stageAgeMs: isAge,
  tallies: isListOf(
    hasFields({
      writer: isCause,
      total: isCount,
      counts: isListOf(
        hasFields({
          aspect: isText,
          baseline: isResponseCounts,
          candidate: isResponseCounts,
        }),
        ASPECTS_MAX,
      ),
    }),
    TALLIES_PER_DIGEST,
  ),
});
const isRelayDigest = hasFields({
  configuration: isNumber,
  loads: isListOf(isPairOf(isText, isLoad)),
  prompts: isListOf(isPairOf(isText, isText)),
  changes: isNumber,
  listed: isNumber,
  readers: isListOf(isReader),
  dead: isListOf(isText),
  crashAccount: isOptional(isCrashAccount),
  rollouts: isOptional(isListOf(isRollout, ROLLOUTS_MAX)),
});
const isServer = hasFields({
  kind: isText,
  name: isText,
  address: (value) => typeof value === "string" && isAddress(value),
  zone: isText,
  service: isText,
  slots: (value) =>
    Number.isInteger(value) && Number(value) >= 1 &&
    Number(value) <= SLOTS_MAX,
  fencing: isText,
  isLeaving: isBoolean,
  startedMs: isNumber,
  version: isOptional(isText),
});
const isServerChange = hasFields({
  name: isText,
  revision: (value) => Number.isSafeInteger(value),
  server: isNullOr(isServer),
});

const MESSAGE_CHECKS: ReadonlyMap<unknown, Check> = new Map([
  [
    PeerMessageKind.Digest,
    hasFields({
      entry: isText,
      head: isNullOr(isHead),
      suspicions: isListOf(isSuspicion),
      orders: isOptional(isRelayDigest),
      members: isOptional(isMemberSummary),
    }),
  ],
  [
    PeerMessageKind.ChunkRequest,
    hasFields({ correlation: isNumber, hash: isText }),
  ],
  [
    PeerMessageKind.ChunkResponse,
    hasFields({ correlation: isNumber, text: isNullOr(isText) }),
  ],
  [
    PeerMessageKind.ChangesRequest,
    hasFields({ correlation: isNumber, after: isNumber }),
  ],
  [
    PeerMessageKind.ChangesResponse,
    hasFields({
      correlation: isNumber,
      upTo: isNumber,
      news: isListOf(isServerChange),
    }),
  ],
  [
    PeerMessageKind.RetryLoanRequest,
    hasFields({
      correlation: isNumber,
      service: isText,
      wanted: isRetryCount,
    }),
  ],
  [
    PeerMessageKind.RetryLoanResponse,
    hasFields({ correlation: isNumber, count: isRetryCount }),
  ],
]);

function isMessage(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const isValid = MESSAGE_CHECKS.get((value as Fields).kind);
  return isValid?.(value) === true;
}

function hasFields(checks: Readonly<Record<string, Check>>): Check {
  const entries = Object.entries(checks);
  return (value) =>
    typeof value === "object" && value !== null &&
    entries.every(([field, isValid]) => isValid((value as Fields)[field]));
}

function isListOf(isItem: Check, maxLength = Infinity): Check {
  return (value) =>
    Array.isArray(value) && value.length <= maxLength && value.every(isItem);
}

function isPairOf(isFirst: Check, isSecond: Check): Check {
  return (value) =>
    Array.isArray(value) && isFirst(value[0]) && isSecond(value[1]);
}

function isNullOr(isValid: Check): Check {
  return (value) => value === null || isValid(value);
}

function isOptional(isValid: Check): Check {
  return (value) => value === undefined || isValid(value);
}
