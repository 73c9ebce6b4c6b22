/**
 * Keeps the blocks of the account of crashes in the platform's store, for entries
 * that start when no other one lives. One entry writes for all; no request waits
 * for it.
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import { messageOf } from "../errors.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";
import type { CrashAccount } from "./crash_account.ts";
import type { CrashBlock } from "./crash_block.ts";
import {
  createBlockRecord,
  type Moment,
  parseBlockRecord,
} from "./crash_block_record.ts";
import { SETTLE_MS } from "./crash_evidence.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";

/** Dependencies of the archive. */
export interface CrashBlockArchiveOptions {
  readonly entry: EntryId;
  readonly objects: ObjectStore;
  readonly account: Pick<CrashAccount, "blocks" | "adopt">;
  /** Whether this entry writes for all; at most one should. */
  readonly isWriter: () => boolean;
  readonly log: Log;
  /** Returns the present on both clocks. */
  readonly now: () => Moment;
}

/** What the store is known to hold under a block's key. */
interface StoredBlock {
  readonly revision: ObjectRevision;
  /** Server of the last crash. */
  readonly lastServer: string | undefined;
}

/** Object kind of the records. */
export const BLOCK_KIND = "gypsumridge-crash-blocks";
/** Interval at which the store is brought up to date, in ms. */
const UPDATE_INTERVAL_MS = 500;
/** Writes in one update; the others follow in the next ones. */
const UPDATE_WRITES_MAX = 4;

/** The blocks in the store, as far as this entry knows. */
export class CrashBlockArchive {
  readonly #options: CrashBlockArchiveOptions;
  readonly #stored = new Map<string, StoredBlock>();
  /** Revisions of the records that were logged as unusable. */
  readonly #unusable = new Set<ObjectRevision>();
  /** Whether no other entry has written since the records were listed. */
  #isCurrent = false;
  #isClosed = false;

  private constructor(options: CrashBlockArchiveOptions) {
    this.#options = options;
  }

  /** Creates an archive; `run` starts it. */
  static create(options: CrashBlockArchiveOptions): CrashBlockArchive {
    return new CrashBlockArchive(options);
  }

  /** Lists the records before the next write: the store may have lost some. */
  refresh(): void {
    this.#isCurrent = false;
  }

  /** Stops the updates. */
  close(): void {
    this.#isClosed = true;
  }

  /** Reads all blocks into the account; never rejects. */
  async restore(): Promise<void> {
    while (!this.#isClosed && !await this.#attempt(() => this.#list())) {
      await sleep(UPDATE_INTERVAL_MS);
    }
  }

  /** Keeps the store up to date until closed; never rejects. */
  async run(): Promise<void> {
    while (!this.#isClosed) {
      await sleep(UPDATE_INTERVAL_MS);
      await this.#attempt(() => this.update());
    }
  }

  /**
   * Writes the blocks that the store lacks, and removes those that no longer
   * hold, if this entry is the writer.
   *
   * Errors: `VersionConflict`, `PlatformUnavailable`.
   */
  async update(): Promise<void> {
    const { account, isWriter, now } = this.#options;
    if (!isWriter()) this.#isCurrent = false;
    const blocks = account.blocks().filter(({ sinceMs }) =>
      now().monotonicMs >= sinceMs + SETTLE_MS
    );
    if (!isWriter() || (blocks.length === 0 && this.#stored.size === 0)) return;
    if (!this.#isCurrent) await this.#list();
    const keys = new Set(blocks.map(({ key }) => key));
    const missing = blocks.filter((block) =>
      this.#stored.get(block.key)?.lastServer !== lastServerOf(block)
    );
    const outdated = [...this.#stored].filter(([key]) => !keys.has(key));
    const writes = [
      ...missing.map((block) => () => this.#write(block)),
      ...outdated.map(([key, stored]) => () => this.#remove(key, stored)),
    ];
    // A write that fails may have taken effect, or met that of another entry.
    this.#isCurrent = false;
    for (const write of writes.slice(0, UPDATE_WRITES_MAX)) await write();
    this.#isCurrent = true;
  }

  /** Whether `task` succeeded; a failure is logged. */
  async #attempt(task: () => Promise<void>): Promise<boolean> {
    try {
      await task();
      return true;
    } catch (error) {
      this.#options.log(LOG_EVENTS.platformUnreachable, {
        kind: BLOCK_KIND,
        reason: messageOf(error),
      });
      return false;
    }
  }

  async #list(): Promise<void> {
    const { objects, log } = this.#options;
    const list = await objects.list({ kind: BLOCK_KIND });
    this.#stored.clear();
    const adopted = list.objects.filter((object) => this.#adopt(object));
    this.#isCurrent = true;
    if (adopted.length === 0) return;
    log(LOG_EVENTS.crashBlocksRestored, {
      blocks: adopted.map(({ name }) => name).join(" "),
    });
  }

  /** Takes in a record; returns whether it is usable. */
  #adopt({ name, revision, spec }: StoredObject): boolean {
    const { account, log, now } = this.#options;
    try {
      const block = parseBlockRecord(spec, now());
      account.adopt(block);
      this.#stored.set(name, { revision, lastServer: lastServerOf(block) });
      return true;
    } catch (error) {
      if (!this.#unusable.has(revision)) {
        log(LOG_EVENTS.crashBlockUnusable, { name, reason: messageOf(error) });
      }
      this.#unusable.add(revision);
      return false;
    }
  }

  async #write(block: CrashBlock): Promise<void> {
    const { entry, objects, log, now } = this.#options;
    const { key: name, causes } = block;
    const spec = createBlockRecord(block, { writer: entry, moment: now() });
    const known = this.#stored.get(name);
    const written = known === undefined
      ? undefined
      : await objects.replace(BLOCK_KIND, {
        name,
        spec,
        revision: known.revision,
      });
    const { revision } = written ??
      await objects.create(BLOCK_KIND, { name, spec });
    this.#stored.set(name, { revision, lastServer: lastServerOf(block) });
    log(LOG_EVENTS.crashBlockStored, {
      block: name,
      causes: causes.join(", "),
    });
  }

  async #remove(name: string, { revision }: StoredBlock): Promise<void> {
    await this.#options.objects.remove(BLOCK_KIND, { name, revision });
    this.#stored.delete(name);
  }
}

function lastServerOf(
  { crashes }: Pick<CrashBlock, "crashes">,
): string | undefined {
  return crashes.at(-1)?.server;
}
