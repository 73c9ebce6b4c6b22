/**
 * Publishes a whole set of objects by one conditional move of the head, and
 * reads revisions back.
 */

import { randomUUID } from "node:crypto";
import type { ObjectRevision } from "../ids.ts";
import type { KeyValueStore } from "../connection/key_value_store.ts";
import { PLATFORM_VALUE_MAX_BYTES } from "../constants.ts";
import {
  InvalidInput,
  PlatformUnavailable,
  VersionConflict,
} from "../errors.ts";
import { type ContentHash, NO_REVISION, type Revision } from "../ids.ts";
import {
  type Chunk,
  createChunk,
  diffObjects,
  findOversized,
  parseChunk,
  sortObjects,
  splitIntoChunks,
} from "./chunks.ts";
import { chunkName, HEAD_NAME } from "./object_names.ts";
import type { DeploymentObject, Head, Manifest } from "./types.ts";

/** A revision as read from the platform. */
export interface PublishedRevision {
  readonly head: Head;
  /** Version of the head object, for the next conditional move. */
  readonly version: ObjectRevision;
  readonly manifest: Manifest;
  readonly objects: readonly DeploymentObject[];
}

/** A change that an operator wants. */
export interface PublishRequest {
  readonly operator: string;
  readonly reason: string;
  readonly objects: readonly DeploymentObject[];
  /** What the operator started from; `undefined` before the first publish. */
  readonly base: PublishedRevision | undefined;
}

/** Another operator's publish came first. */
export class PublishConflict extends Error {
  readonly winner: Manifest;

  constructor(winner: Manifest) {
    const { operator, time } = winner.audit;
    super(`revision ${winner.revision} by ${operator} at ${time} came first`);
    this.name = "PublishConflict";
    this.winner = winner;
  }
}

const CONFIRM_ATTEMPTS = 5;

/** Reads the revision in force, or `undefined` before the first publish. */
export async function readPublishedRevision(
  platform: KeyValueStore,
): Promise<PublishedRevision | undefined> {
  const stored = await platform.read(HEAD_NAME);
  if (stored === undefined) return undefined;
  const head = JSON.parse(stored.value) as Head;
  const manifest = await readManifest(platform, head.manifest);
  const texts = await Promise.all(
    manifest.chunks.map((hash) => readChunkText(platform, hash)),
  );
  const objects = sortObjects(texts.flatMap(parseChunk));
  return { head, version: stored.version, manifest, objects };
}

/** Reads a manifest by its hash. Errors: `PlatformUnavailable`. */
export async function readManifest(
  platform: KeyValueStore,
  hash: ContentHash,
): Promise<Manifest> {
  return JSON.parse(await readChunkText(platform, hash)) as Manifest;
}

/** Yields the manifests from the one in force back to the first kept. */
export async function* readHistory(
  platform: KeyValueStore,
): AsyncGenerator<Manifest> {
  const stored = await platform.read(HEAD_NAME);
  let hash: ContentHash | "" = stored === undefined
    ? ""
    : (JSON.parse(stored.value) as Head).manifest;
  while (hash !== "") {
    const chunk = await platform.read(chunkName(hash));
    if (chunk === undefined) return;
    const manifest = JSON.parse(chunk.value) as Manifest;
    yield manifest;
    hash = manifest.parent;
  }
}

/**
 * Publishes a checked set of objects and returns its manifest.
 *
 * Errors: `PublishConflict` when another publish came first; `InvalidInput`
 * when a chunk is too large; `PlatformUnavailable` when it could not be
 * learned whether the publish took effect.
 */
export async function publish(
  platform: KeyValueStore,
  order: PublishRequest,
): Promise<Manifest> {
  const chunks = splitIntoChunks(order.objects);
  const base = order.base;
  const manifest: Manifest = {
    revision: ((base?.head.revision ?? NO_REVISION) + 1) as Revision,
    parent: base?.head.manifest ?? "",
    publishId: randomUUID(),
    audit: {
      operator: order.operator,
      time: new Date().toISOString(),
      reason: order.reason,
      differences: diffObjects(base?.objects ?? [], order.objects),
    },
    chunks: chunks.map(({ hash }) => hash),
  };
  const manifestChunk = createChunk(JSON.stringify(manifest));
  requireSizes([...chunks, manifestChunk]);
  const held = new Set<ContentHash>(base?.manifest.chunks);
  for (const chunk of chunks) {
    if (!held.has(chunk.hash)) await writeChunk(platform, chunk);
  }
  await writeChunk(platform, manifestChunk);
  const head: Head = {
    revision: manifest.revision,
    manifest: manifestChunk.hash,
  };
  await moveHead(platform, head, base?.version);
  return manifest;
}

function requireSizes(chunks: readonly Chunk[]): void {
  const oversized = findOversized(chunks);
  if (oversized.length === 0) return;
  throw new InvalidInput(oversized.map(({ hash }) => ({
    location: {
      source: "deployment",
      line: 0,
      section: `chunk ${hash}`,
      key: "",
    },
    message: `exceeds ${PLATFORM_VALUE_MAX_BYTES} bytes`,
  })));
}

async function readChunkText(
  platform: KeyValueStore,
  hash: ContentHash,
): Promise<string> {
  const chunk = await platform.read(chunkName(hash));
  if (chunk === undefined) {
    throw new PlatformUnavailable(`chunk ${hash} is missing`);
  }
  return chunk.value;
}

/**
 * Writes a chunk. An existing one is written again, so that its new version
 * keeps the steward from removing it as unused; repeating is harmless.
 */
async function writeChunk(
  platform: KeyValueStore,
  chunk: Chunk,
): Promise<void> {
  for (let attempt = 1;; attempt++) {
    try {
      await platform.write(chunkName(chunk.hash), chunk.text);
      return;
    } catch (error) {
      if (attempt === CONFIRM_ATTEMPTS) throw error;
    }
  }
}

/** Moves the head; a lost answer is settled by reading the head back. */
async function moveHead(
  platform: KeyValueStore,
  head: Head,
  version: ObjectRevision | undefined,
): Promise<void> {
  const value = JSON.stringify(head);
  try {
    if (version === undefined) await platform.create(HEAD_NAME, value);
    else await platform.update(HEAD_NAME, version, value);
  } catch (error) {
    if (error instanceof VersionConflict) {
      return await requireWon(platform, head);
    }
    await confirmHead(platform, head, error);
  }
}

async function confirmHead(
  platform: KeyValueStore,
  head: Head,
  cause: unknown,
): Promise<void> {
  for (let attempt = 1; attempt <= CONFIRM_ATTEMPTS; attempt++) {
    try {
      return await requireWon(platform, head);
    } catch (error) {
      if (!(error instanceof PlatformUnavailable)) throw error;
    }
  }
  throw cause;
}

/** Returns when `head` stands in the history of the head in force. */
async function requireWon(platform: KeyValueStore, head: Head): Promise<void> {
  const stored = await platform.read(HEAD_NAME);
  if (stored === undefined) {
    throw new PlatformUnavailable("the move did not take effect");
  }
  let hash = (JSON.parse(stored.value) as Head).manifest;
  let manifest = await readManifest(platform, hash);
  while (manifest.revision > head.revision && manifest.parent !== "") {
    hash = manifest.parent;
    manifest = await readManifest(platform, hash);
  }
  if (hash === head.manifest) return;
  if (manifest.revision < head.revision) {
    throw new PlatformUnavailable("the move did not take effect");
  }
  throw new PublishConflict(manifest);
}
