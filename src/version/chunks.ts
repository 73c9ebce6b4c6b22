/** Splits a revision into content-addressed chunks, and diffs revisions. */

import {
  BACKEND_SERVER_BUCKETS,
  CUSTOMER_BUCKETS,
  PLATFORM_VALUE_MAX_BYTES,
} from "../constants.ts";
import { hashText } from "../hashing.ts";
import type { ContentHash } from "../ids.ts";
import { objectKey } from "./check_objects.ts";
import { type DeploymentObject, type Difference, ObjectKind } from "./types.ts";

/** An immutable value that is stored under the hash of its text. */
export interface Chunk {
  readonly hash: ContentHash;
  readonly text: string;
}

/** Returns the chunk that holds `text`. */
export function createChunk(text: string): Chunk {
  return { hash: hashText(text), text };
}

/** Groups objects into chunks by bucket, so that a change rewrites few. */
export function splitIntoChunks(objects: readonly DeploymentObject[]): Chunk[] {
  const buckets = new Map<string, DeploymentObject[]>();
  for (const object of objects) {
    const bucket = bucketOf(object);
    const bucketObjects = buckets.get(bucket) ?? [];
    bucketObjects.push(object);
    buckets.set(bucket, bucketObjects);
  }
  const names = [...buckets.keys()].sort();
  return names.map((name) => {
    const bucketObjects = sortObjects(buckets.get(name) ?? []);
    return createChunk(JSON.stringify(bucketObjects));
  });
}

/** Returns objects sorted by kind and name. */
export function sortObjects(
  objects: readonly DeploymentObject[],
): DeploymentObject[] {
  return objects.toSorted((a, b) => (objectKey(a) < objectKey(b) ? -1 : 1));
}

/** Returns the chunks that exceed the platform's value size limit. */
export function findOversized(chunks: readonly Chunk[]): Chunk[] {
  return chunks.filter((chunk) =>
    Buffer.byteLength(chunk.text) > PLATFORM_VALUE_MAX_BYTES
  );
}

/** Parses a chunk; the caller must have verified its hash. */
export function parseChunk(text: string): DeploymentObject[] {
  return JSON.parse(text) as DeploymentObject[];
}

/** Returns the differences between two sets of objects. */
export function diffObjects(
  before: readonly DeploymentObject[],
  after: readonly DeploymentObject[],
): Difference[] {
  const unmatched = new Map(
    before.map((object) => [objectKey(object), object]),
  );
  const differences: Difference[] = [];
  for (const object of after) {
    const previous = unmatched.get(objectKey(object));
    unmatched.delete(objectKey(object));
    const { kind, name } = object;
    if (previous === undefined) {
      differences.push({ change: "added", kind, name });
    } else if (JSON.stringify(previous) !== JSON.stringify(object)) {
      differences.push({ change: "changed", kind, name });
    }
  }
  for (const { kind, name } of unmatched.values()) {
    differences.push({ change: "removed", kind, name });
  }
  return differences;
}

function bucketOf(object: DeploymentObject): string {
  switch (object.kind) {
    case ObjectKind.Customer:
      return `${object.kind}-${bucketIndex(object.name, CUSTOMER_BUCKETS)}`;
    case ObjectKind.BackendServer:
      return `${object.kind}-${
        bucketIndex(object.name, BACKEND_SERVER_BUCKETS)
      }`;
    default:
      return "shared";
  }
}

function bucketIndex(name: string, count: number): number {
  const HEX_DIGITS = 8;
  return Number.parseInt(hashText(name).slice(0, HEX_DIGITS), 16) % count;
}
