/**
 * The cursor that a caller holds for each event: where its answer stands, and
 * on which stream, authenticated with a key that all entries share.
 */

import { createHmac, hash, timingSafeEqual } from "node:crypto";
import { RequestError, RequestErrorType } from "../errors.ts";
import type { Fingerprint, GenerationId, StreamId } from "../ids.ts";

/** What stays the same for all cursors of one attempt. */
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

/** Where an answer stands. */
export interface Cursor extends CursorBase {
  /** Position of the next token. */
  readonly position: number;
  /** Hash of the whole text up to `position`. */
  readonly textHash: string;
}

/** Writes the cursors of one attempt. */
export type CursorWriter = (position: number, textHash: string) => string;

const PART_COUNT = 4;

/** Returns a writer whose cursors share `base`. */
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
 * Reads a cursor that any entry wrote.
 *
 * Errors: a `RequestError` when it was cut, changed, or written with another key.
 */
export function parseCursor(key: string, text: string): Cursor {
  const parts = text.split(".");
  const [encoded = "", position = "", textHash = "", mac = ""] = parts;
  const baseKey = deriveKey(key, encoded);
  const expected = Buffer.from(sign(baseKey, `${position}.${textHash}`));
  const given = Buffer.from(mac);
  const isGenuine = parts.length === PART_COUNT &&
    given.length === expected.length && timingSafeEqual(given, expected);
  if (!isGenuine) {
    throw new RequestError(
      RequestErrorType.InvalidRequest,
      "Last-Event-ID: not a cursor of this system, or cut",
    );
  }
  const base = JSON.parse(
    Buffer.from(encoded, "base64url").toString(),
  ) as CursorBase;
  return { ...base, position: Number(position), textHash };
}

/** A key for one attempt, so that each cursor costs one short hash. */
function deriveKey(key: string, encoded: string): string {
  return createHmac("sha256", key).update(encoded).digest("hex");
}

/** BLAKE2s can't be extended, so that a leading key authenticates. */
function sign(baseKey: string, text: string): string {
  return hash("blake2s256", `${baseKey}.${text}`, "base64url");
}
