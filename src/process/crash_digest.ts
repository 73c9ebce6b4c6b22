/**
 * The account of crashes as digests carry it. Times are sent as ages, since the
 * clocks of entries differ.
 */

import type {
  CrashAccountDigest,
  CrashBlockReport,
} from "../gossip/peer_protocol.ts";
import type { CrashCause } from "../ids.ts";
import type { CrashBlock } from "./crash_block.ts";
import type { ServerCrash } from "./crash_evidence.ts";
import type { CrashTrial } from "./crash_trials.ts";
import type { FilteredParts } from "./crashed_parts.ts";

/** The parts of a digest; times on this entry's monotonic clock, in ms. */
export interface CrashNews {
  readonly crashes: readonly ServerCrash[];
  readonly blocks: readonly Pick<CrashBlock, "causes" | "crashes">[];
  /** When a run with each cause began that crashed no server. */
  readonly proofs: readonly (readonly [CrashCause, number])[];
  readonly trials: readonly CrashTrial[];
  /** The parts of requests of which runs name only some. */
  readonly longHeads: readonly FilteredParts[];
}

/** Returns the digest of news. */
export function createCrashDigest(
  { crashes, blocks, proofs, trials, longHeads }: CrashNews,
  nowMs: number,
): CrashAccountDigest {
  const ageOf = (ms: number) => ageAt(nowMs, ms);
  return {
    crashes: crashes.map(({ server, zone, atMs, runs }) => ({
      server,
      zone,
      ageMs: ageOf(atMs),
      runs,
    })),
    blocks: blocks.map((block) => createBlockReport(block, nowMs)),
    proofs: proofs.map(([cause, begunMs]) => [cause, ageOf(begunMs)] as const),
    trials: trials.map(({ block, entry, claimedMs, startedMs }) => ({
      block,
      entry,
      claimAgeMs: ageOf(claimedMs),
      startAgeMs: startedMs === undefined ? null : ageOf(startedMs),
    })),
    ...longHeads.length > 0 && {
      longHeads: longHeads.map(({ request, atMs, filter }) => ({
        request,
        ageMs: ageOf(atMs),
        filter,
      })),
    },
  };
}

/** Returns the news of a peer's digest. */
export function readCrashDigest(
  { crashes, blocks, proofs, trials, longHeads = [] }: CrashAccountDigest,
  nowMs: number,
): CrashNews {
  return {
    crashes: crashes.map(({ server, zone, ageMs, runs }) => ({
      server,
      zone,
      atMs: nowMs - ageMs,
      runs,
    })),
    blocks: blocks.map((block) => readBlockReport(block, nowMs)),
    proofs: proofs.map(([cause, ageMs]) => [cause, nowMs - ageMs] as const),
    trials: trials.map(({ block, entry, claimAgeMs, startAgeMs }) => ({
      block,
      entry,
      claimedMs: nowMs - claimAgeMs,
      startedMs: startAgeMs === null ? undefined : nowMs - startAgeMs,
    })),
    longHeads: longHeads.map(({ request, ageMs, filter }) => ({
      request,
      atMs: nowMs - ageMs,
      filter,
    })),
  };
}

/** Returns the report of a block. */
export function createBlockReport(
  { causes, crashes }: Pick<CrashBlock, "causes" | "crashes">,
  nowMs: number,
): CrashBlockReport {
  return {
    causes,
    crashes: crashes.map(({ atMs, ...crash }) => ({
      ...crash,
      ageMs: ageAt(nowMs, atMs),
    })),
  };
}

/** Returns the block of a report. */
export function readBlockReport(
  { causes, crashes }: CrashBlockReport,
  nowMs: number,
): Pick<CrashBlock, "causes" | "crashes"> {
  return {
    causes,
    crashes: crashes.map(({ ageMs, ...crash }) => ({
      ...crash,
      atMs: nowMs - ageMs,
    })),
  };
}

function ageAt(nowMs: number, ms: number): number {
  return Math.max(0, Math.round(nowMs - ms));
}
