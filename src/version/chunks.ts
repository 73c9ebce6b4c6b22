/** Splits a revision into content-addressed chunks and puts it together again. */

import {
  BACKEND_SERVER_BUCKETS,
  CUSTOMER_BUCKETS,
  PLATFORM_VALUE_MAX_BYTES,
} from "../constants.ts";
import { hashText } from "../hashing.ts";
import type { ContentHash } from "../ids.ts";
import { objectKey } from "./check_objects.ts";
import { type DeploymentObject, type Difference, ObjectKind } from "./types.ts";

/** One immutable value, stored under the hash of its text. */
export interface Chunk {
  readonly hash: ContentHash;
  readonly text: string;
}

/** Returns the chunk that holds `text`. */
export function createChunk(text: string): Chunk {
  return { hash: hashText(text), text };
}

/** Spreads objects over chunks so that a change rewrites only its own. */
export function splitIntoChunks(objects: readonly DeploymentObject[]): Chunk[] {
  const buckets = new Map<string, DeploymentObject[]>();
  for (const object of objects) {
    const bucket = bucketOf(object);
    const members = buckets.get(bucket) ?? [];
    members.push(object);
    buckets.set(bucket, members);
  }
  const names = [...buckets.keys()].sort();
  return names.map((name) => {
    const members = sortObjects(buckets.get(name) ?? []);
    return createChunk(JSON.stringify(members));
  });
}

/** Returns objects in the order of their kinds and names. */
export function sortObjects(
  objects: readonly DeploymentObject[],
): DeploymentObject[] {
  return objects.toSorted((a, b) => (objectKey(a) < objectKey(b) ? -1 : 1));
}

/** Returns the chunks whose text is too large for the platform. */
export function findOversized(chunks: readonly Chunk[]): Chunk[] {
  return chunks.filter((chunk) =>
    Buffer.byteLength(chunk.text) > PLATFORM_VALUE_MAX_BYTES
  );
}

/** Returns the objects of a chunk, whose hash must have been checked. */
export function parseChunk(text: string): DeploymentObject[] {
  return JSON.parse(text) as DeploymentObject[];
}

/** Returns what changed from one set of objects to another. */
export function diffObjects(
  before: readonly DeploymentObject[],
  after: readonly DeploymentObject[],
): Difference[] {
  const old = new Map(before.map((object) => [objectKey(object), object]));
  const differences: Difference[] = [];
  for (const object of after) {
    const previous = old.get(objectKey(object));
    old.delete(objectKey(object));
    const { kind, name } = object;
    if (previous === undefined) {
      differences.push({ change: "added", kind, name });
    } else if (JSON.stringify(previous) !== JSON.stringify(object)) {
      differences.push({ change: "changed", kind, name });
    }
  }
  for (const { kind, name } of old.values()) {
    differences.push({ change: "removed", kind, name });
  }
  return differences;
}

function bucketOf(object: DeploymentObject): string {
  switch (object.kind) {
    case ObjectKind.Customer:
      return `${object.kind}-${bucketNumber(object.name, CUSTOMER_BUCKETS)}`;
    case ObjectKind.BackendServer:
      return `${object.kind}-${
        bucketNumber(object.name, BACKEND_SERVER_BUCKETS)
      }`;
    default:
      return "shared";
  }
}

function bucketNumber(name: string, count: number): number {
  const HEX_DIGITS = 8;
  return Number.parseInt(hashText(name).slice(0, HEX_DIGITS), 16) % count;
}
