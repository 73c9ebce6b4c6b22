/** Parses the head object that names the revision in force. */

import type { ContentHash, Revision } from "../ids.ts";
import { PlatformUnavailable } from "../errors.ts";
import type { Head } from "./types.ts";

const SHA256 = /^[0-9a-f]{64}$/;

/** Returns the head, or `undefined` if another writer left something else. */
export function parseHead(text: string): Head | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return undefined;
  }
  if (typeof value !== "object" || value === null) return undefined;
  const { revision, manifest } = value as Partial<Record<keyof Head, unknown>>;
  const isRevision = Number.isSafeInteger(revision) && Number(revision) > 0;
  if (!isRevision || typeof manifest !== "string" || !SHA256.test(manifest)) {
    return undefined;
  }
  return {
    revision: revision as Revision,
    manifest: manifest as ContentHash,
  };
}

/** Returns the head. Errors: `PlatformUnavailable` if it is not valid. */
export function requireHead(text: string): Head {
  const head = parseHead(text);
  if (head !== undefined) return head;
  throw new PlatformUnavailable("the head object is not valid");
}
