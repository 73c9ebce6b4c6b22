/**
 * Publishes a whole deployment by one conditional update of the head object,
 * and reads published revisions.
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

/** A revision read from the platform. */
export interface PublishedRevision {
  readonly head: Head;
  /** Version of the head object, for the next conditional update. */
  readonly version: ObjectRevision;
  readonly manifest: Manifest;
  readonly objects: readonly DeploymentObject[];
}

/** A change that an operator requests. */
export interface PublishRequest {
  readonly operator: string;
  readonly reason: string;
  readonly objects: readonly DeploymentObject[];
  /** Revision that the change is based on; `undefined` before the first. */
  readonly base: PublishedRevision | undefined;
}

/** Another operator published first. */
export class PublishConflict extends Error {
  readonly winner: Manifest;

  constructor(winner: Manifest) {
    const { operator, time } = winner.audit;
    super(`revision ${winner.revision} by ${operator} at ${time} came first`);
    this.name = "PublishConflict";
    this.winner = winner;
  }
}

const ATTEMPTS_MAX = 5;

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

/** Yields the retained manifests, from the one in force to the oldest. */
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
 * Publishes a validated set of objects and returns its manifest.
 *
 * Errors: `PublishConflict` if another operator published first;
 * `InvalidInput` if a chunk is too large; `PlatformUnavailable` if the platform
 * failed or it is unknown whether the publish took effect.
 */
export async function publish(
  platform: KeyValueStore,
  request: PublishRequest,
): Promise<Manifest> {
  const chunks = splitIntoChunks(request.objects);
  const base = request.base;
  const manifest: Manifest = {
    revision: ((base?.head.revision ?? NO_REVISION) + 1) as Revision,
    parent: base?.head.manifest ?? "",
    publishId: randomUUID(),
    audit: {
      operator: request.operator,
      time: new Date().toISOString(),
      reason: request.reason,
      differences: diffObjects(base?.objects ?? [], request.objects),
    },
    chunks: chunks.map(({ hash }) => hash),
  };
  const manifestChunk = createChunk(JSON.stringify(manifest));
  checkSizes([...chunks, manifestChunk]);
  const existing = new Set<ContentHash>(base?.manifest.chunks);
  for (const chunk of chunks) {
    if (!existing.has(chunk.hash)) await writeChunk(platform, chunk);
  }
  await writeChunk(platform, manifestChunk);
  const head: Head = {
    revision: manifest.revision,
    manifest: manifestChunk.hash,
  };
  await updateHead(platform, head, base?.version);
  return manifest;
}

function checkSizes(chunks: readonly Chunk[]): void {
  const oversized = findOversized(chunks);
  if (oversized.length === 0) return;
  throw new InvalidInput(oversized.map(({ hash }) => ({
    location: {
      source: "deployment",
      line: 0,
      section: `chunk ${hash}`,
      key: "",
    },
    message: `exceeds the limit of ${PLATFORM_VALUE_MAX_BYTES} bytes`,
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
 * Writes a chunk. An existing chunk is rewritten, because its new version keeps
 * the steward from removing it as unused. Writes are idempotent.
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
      if (attempt === ATTEMPTS_MAX) throw error;
    }
  }
}

/** Updates the head; if the call fails, reads the head to learn the outcome. */
async function updateHead(
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
      return await verifyPublished(platform, head);
    }
    await verifyPublishedWithRetries(platform, head, error);
  }
}

async function verifyPublishedWithRetries(
  platform: KeyValueStore,
  head: Head,
  cause: unknown,
): Promise<void> {
  for (let attempt = 1; attempt <= ATTEMPTS_MAX; attempt++) {
    try {
      return await verifyPublished(platform, head);
    } catch (error) {
      if (!(error instanceof PlatformUnavailable)) throw error;
    }
  }
  throw cause;
}

/**
 * Checks that `head` is the head in force or one of its ancestors.
 *
 * Errors: `PublishConflict` if another publish has its revision;
 * `PlatformUnavailable` if the update did not take effect.
 */
async function verifyPublished(
  platform: KeyValueStore,
  head: Head,
): Promise<void> {
  const stored = await platform.read(HEAD_NAME);
  if (stored === undefined) {
    throw new PlatformUnavailable("the update of the head did not take effect");
  }
  let hash = (JSON.parse(stored.value) as Head).manifest;
  let manifest = await readManifest(platform, hash);
  while (manifest.revision > head.revision && manifest.parent !== "") {
    hash = manifest.parent;
    manifest = await readManifest(platform, hash);
  }
  if (hash === head.manifest) return;
  if (manifest.revision < head.revision) {
    throw new PlatformUnavailable("the update of the head did not take effect");
  }
  throw new PublishConflict(manifest);
}
