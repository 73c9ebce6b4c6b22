/**
 * Blocks as the platform's store keeps them, so that they outlast all entries.
 * Another writer may have written any record, so each is checked.
 */

import { isBlockReport } from "../gossip/parse_peer_message.ts";
import type { CrashBlockReport } from "../gossip/peer_protocol.ts";
import type { EntryId } from "../ids.ts";
import type { CrashBlock } from "./crash_block.ts";
import { createBlockReport, readBlockReport } from "./crash_digest.ts";

/** The same moment on the clocks that a record is written or read by. */
export interface Moment {
  /** On the monotonic clock, in ms. */
  readonly monotonicMs: number;
  /** Unix time in ms. */
  readonly unixMs: number;
}

/** A block in the store. */
interface BlockRecord {
  readonly version: number;
  /** Entry that wrote it; for operators, as are `score` and `rate`. */
  readonly writer: EntryId;
  readonly score: number;
  readonly rate: number;
  /** Unix time in ms at which the ages of the crashes were taken. */
  readonly writtenMs: number;
  readonly block: CrashBlockReport;
}

const RECORD_VERSION = 1;
const RECORD_MAX_CHARACTERS = 16_384;

/** Returns the record of a block. */
export function createBlockRecord(
  block: CrashBlock,
  { writer, moment }: { readonly writer: EntryId; readonly moment: Moment },
): BlockRecord {
  const { score, rate } = block;
  return {
    version: RECORD_VERSION,
    writer,
    score,
    rate,
    writtenMs: moment.unixMs,
    block: createBlockReport(block, moment.monotonicMs),
  };
}

/** Parses a record. Errors: throws when it is not one of this version. */
export function parseBlockRecord(
  spec: unknown,
  { monotonicMs, unixMs }: Moment,
): Pick<CrashBlock, "causes" | "crashes"> {
  const { length } = JSON.stringify(spec) ?? "";
  if (length > RECORD_MAX_CHARACTERS) {
    throw new Error(
      `expected at most ${RECORD_MAX_CHARACTERS} characters, got ${length}`,
    );
  }
  const { version, writtenMs, block } = (spec ?? {}) as Partial<BlockRecord>;
  if (version !== RECORD_VERSION) {
    throw new Error(`expected version ${RECORD_VERSION}, got ${version}`);
  }
  if (!Number.isFinite(writtenMs) || !isBlockReport(block)) {
    throw new Error("expected the time of writing and a block");
  }
  // The clocks of the writer and of this entry may differ.
  const ageMs = Math.max(0, unixMs - Number(writtenMs));
  return readBlockReport(block as CrashBlockReport, monotonicMs - ageMs);
}
