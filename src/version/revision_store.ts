/**
 * Holds the adopted revision. A head is adopted only if its revision is greater
 * than the current one. While one is being adopted, only the newest waits.
 */

import { hashText } from "../hashing.ts";
import type { ContentHash } from "../ids.ts";
import { parseChunk } from "./chunks.ts";
import { Deployment } from "./deployment.ts";
import type { Head, Manifest } from "./types.ts";

/** Fetches the text of a chunk; `undefined` if it is not available now. */
export type ChunkFetcher = (hash: ContentHash) => Promise<string | undefined>;

/** Called after each adoption. */
export type AdoptionListener = (deployment: Deployment, head: Head) => void;

const FETCH_CONCURRENCY = 8;

/** A head that is being adopted or waits for it, and whether it succeeds. */
interface Adoption {
  head: Head;
  readonly result: Promise<boolean>;
}

/** The adopted deployment of one process, and its chunks. */
export class RevisionStore {
  readonly #fetch: ChunkFetcher;
  readonly #listeners: AdoptionListener[] = [];
  #deployment = Deployment.empty();
  #head: Head | undefined;
  #chunks = new Map<ContentHash, string>();
  #running: Adoption | undefined;
  /** Starts after the running one, with the newest head known by then. */
  #waiting: Adoption | undefined;

  private constructor(fetch: ChunkFetcher) {
    this.#fetch = fetch;
  }

  /** Creates a store without an adopted revision. */
  static create(fetch: ChunkFetcher): RevisionStore {
    return new RevisionStore(fetch);
  }

  /** The adopted deployment. */
  get deployment(): Deployment {
    return this.#deployment;
  }

  /** Head of the adopted revision; `undefined` before the first. */
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
   * Adopts a head if it is newer. Resolves with `false` if a chunk could not be
   * fetched; the store then keeps the current revision. A head that a newer one
   * replaces before its turn resolves with the result of that.
   */
  adopt(head: Head): Promise<boolean> {
    const running = this.#running;
    if (running === undefined && this.#waiting === undefined) {
      return this.#start(head);
    }
    if (running !== undefined && head.revision <= running.head.revision) {
      return running.result;
    }
    this.#waiting ??= {
      head,
      result: Promise.resolve(running?.result).then(() => this.#startWaiting()),
    };
    if (head.revision > this.#waiting.head.revision) this.#waiting.head = head;
    return this.#waiting.result;
  }

  #startWaiting(): Promise<boolean> {
    const { head } = this.#waiting ?? {};
    this.#waiting = undefined;
    return head === undefined ? Promise.resolve(true) : this.#start(head);
  }

  #start(head: Head): Promise<boolean> {
    const result = this.#adoptNow(head)
      .catch(() => false)
      .finally(() => this.#running = undefined);
    this.#running = { head, result };
    return result;
  }

  async #adoptNow(head: Head): Promise<boolean> {
    if (head.revision <= this.#deployment.revision) return true;
    const texts = new Map<ContentHash, string>();
    if (!await this.#fetchInto([head.manifest], texts)) return false;
    const manifest = JSON.parse(texts.get(head.manifest) ?? "") as Manifest;
    if (!await this.#fetchInto(manifest.chunks, texts)) return false;
    const objects = manifest.chunks.flatMap((hash) =>
      parseChunk(texts.get(hash) ?? "[]")
    );
    this.#deployment = Deployment.create(head.revision, objects);
    this.#head = head;
    this.#chunks = texts;
    for (const listener of this.#listeners) listener(this.#deployment, head);
    return true;
  }

  async #fetchInto(
    hashes: readonly ContentHash[],
    texts: Map<ContentHash, string>,
  ): Promise<boolean> {
    for (let offset = 0; offset < hashes.length; offset += FETCH_CONCURRENCY) {
      const batch = hashes.slice(offset, offset + FETCH_CONCURRENCY);
      const fetched = await Promise.all(
        batch.map((hash) => this.#fetchChunk(hash)),
      );
      for (const [index, text] of fetched.entries()) {
        const hash = batch[index];
        if (text === undefined || hash === undefined) return false;
        texts.set(hash, text);
      }
    }
    return true;
  }

  async #fetchChunk(hash: ContentHash): Promise<string | undefined> {
    const cached = this.#chunks.get(hash);
    if (cached !== undefined) return cached;
    const text = await this.#fetch(hash);
    return text !== undefined && hashText(text) === hash ? text : undefined;
  }
}
