/**
 * Holds the adopted revision and moves it forward only: a head with the same or
 * a lower revision is never adopted.
 */

import { hashText } from "../hashing.ts";
import type { ContentHash } from "../ids.ts";
import { parseChunk } from "./chunks.ts";
import { Deployment } from "./deployment.ts";
import type { Head, Manifest } from "./types.ts";

/** Fetches the text of a chunk, or `undefined` when it can't be had now. */
export type ChunkFetcher = (hash: ContentHash) => Promise<string | undefined>;

/** Called after each adoption. */
export type AdoptionListener = (deployment: Deployment, head: Head) => void;

const FETCH_PARALLEL = 8;

/** The configuration of one process. */
export class RevisionStore {
  readonly #fetch: ChunkFetcher;
  readonly #listeners: AdoptionListener[] = [];
  #deployment = Deployment.empty();
  #head: Head | undefined;
  #chunks = new Map<ContentHash, string>();
  #adopting: Promise<boolean> = Promise.resolve(true);

  private constructor(fetch: ChunkFetcher) {
    this.#fetch = fetch;
  }

  /** Makes a store without a configuration. */
  static create(fetch: ChunkFetcher): RevisionStore {
    return new RevisionStore(fetch);
  }

  /** The adopted deployment. */
  get deployment(): Deployment {
    return this.#deployment;
  }

  /** Head of the adopted revision. */
  get head(): Head | undefined {
    return this.#head;
  }

  /** Returns a chunk of the adopted revision. */
  chunk(hash: ContentHash): string | undefined {
    return this.#chunks.get(hash);
  }

  /** Calls `listener` after each adoption. */
  subscribe(listener: AdoptionListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Adopts a head if it is newer. Resolves with `false` when a chunk could not
   * be fetched, and the store then keeps what it has.
   */
  adopt(head: Head): Promise<boolean> {
    this.#adopting = this.#adopting
      .then(() => this.#adoptNext(head))
      .catch(() => false);
    return this.#adopting;
  }

  async #adoptNext(head: Head): Promise<boolean> {
    if (head.revision <= this.#deployment.revision) return true;
    const texts = new Map<ContentHash, string>();
    if (!await this.#load([head.manifest], texts)) return false;
    const manifest = JSON.parse(texts.get(head.manifest) ?? "") as Manifest;
    if (!await this.#load(manifest.chunks, texts)) return false;
    const objects = manifest.chunks.flatMap((hash) =>
      parseChunk(texts.get(hash) ?? "[]")
    );
    this.#deployment = Deployment.create(head.revision, objects);
    this.#head = head;
    this.#chunks = texts;
    for (const listener of this.#listeners) listener(this.#deployment, head);
    return true;
  }

  async #load(
    hashes: readonly ContentHash[],
    texts: Map<ContentHash, string>,
  ): Promise<boolean> {
    for (let at = 0; at < hashes.length; at += FETCH_PARALLEL) {
      const group = hashes.slice(at, at + FETCH_PARALLEL);
      const loaded = await Promise.all(group.map((hash) => this.#text(hash)));
      for (const [index, text] of loaded.entries()) {
        const hash = group[index];
        if (text === undefined || hash === undefined) return false;
        texts.set(hash, text);
      }
    }
    return true;
  }

  async #text(hash: ContentHash): Promise<string | undefined> {
    const held = this.#chunks.get(hash);
    if (held !== undefined) return held;
    const text = await this.#fetch(hash);
    return text !== undefined && hashText(text) === hash ? text : undefined;
  }
}
