/**
 * The cursor sent as the ID of each event: the position in the output and the
 * stream that produces it, authenticated with a key that all entries share.
 */

import { createHmac, hash, timingSafeEqual } from "node:crypto";
import { RequestError, RequestErrorType } from "../errors.ts";
import type { Fingerprint, GenerationId, StreamId } from "../ids.ts";

/** The fields that all cursors of one attempt share. */
export interface CursorBase {
  readonly generation: GenerationId;
  readonly customer: string;
  readonly fingerprint: Fingerprint;
  readonly modelVersion: string;
  readonly server: string;
  readonly stream: StreamId;
  /** Position of the stream's first token. */
  readonly streamStart: number;
}

/** A position in the output of a generation. */
export interface Cursor extends CursorBase {
  /** Position of the next token. */
  readonly position: number;
  /** Hash of all text up to `position`. */
  readonly textHash: string;
}

/** Encodes the cursors of one attempt. */
export type CursorWriter = (position: number, textHash: string) => string;

const PART_COUNT = 4;

/** Returns a writer of cursors that share `base`. */
export function createCursorWriter(
  key: string,
  base: CursorBase,
): CursorWriter {
  const encoded = Buffer.from(JSON.stringify(base)).toString("base64url");
  const baseKey = deriveKey(key, encoded);
  return (position, textHash) => {
    const mac = sign(baseKey, `${position}.${textHash}`);
    return `${encoded}.${position}.${textHash}.${mac}`;
  };
}

/**
 * Decodes a cursor that any entry wrote.
 *
 * Errors: a `RequestError` when the cursor was truncated, altered, or signed
 * with another key.
 */
export function parseCursor(key: string, text: string): Cursor {
  const parts = text.split(".");
  const [encoded = "", position = "", textHash = "", mac = ""] = parts;
  const baseKey = deriveKey(key, encoded);
  const expected = Buffer.from(sign(baseKey, `${position}.${textHash}`));
  const actual = Buffer.from(mac);
  const isAuthentic = parts.length === PART_COUNT &&
    actual.length === expected.length && timingSafeEqual(actual, expected);
  if (!isAuthentic) {
    throw new RequestError(
      RequestErrorType.InvalidRequest,
      "Last-Event-ID: must be a cursor of this service, complete and unaltered",
    );
  }
  const base = JSON.parse(
    Buffer.from(encoded, "base64url").toString(),
  ) as CursorBase;
  return { ...base, position: Number(position), textHash };
}

/** Returns the key of one attempt, so that each cursor costs one short hash. */
function deriveKey(key: string, encoded: string): string {
  return createHmac("sha256", key).update(encoded).digest("hex");
}

/** A key prefix suffices: BLAKE2s is not open to length extension. */
function sign(baseKey: string, text: string): string {
  return hash("blake2s256", `${baseKey}.${text}`, "base64url");
}
