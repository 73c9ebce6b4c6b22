/**
 * Registers this entry in the shared store and lists the registered entries.
 * The peer link to an entry shows whether it is live.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { isAddress } from "../connection/address.ts";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import { messageOf, VersionConflict } from "../errors.ts";
import type { EntryId } from "../ids.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";

/** A registered entry. */
export interface Member {
  readonly entry: EntryId;
  /** IP and port for other entries. */
  readonly address: string;
}

/** Dependencies of the membership task. */
export interface MembershipOptions {
  readonly objects: ObjectStore;
  readonly self: Member;
  readonly log: Log;
  /** Returns a random number in [0, 1); used as jitter between entries. */
  readonly random: () => number;
  readonly onMembers: (members: readonly Member[]) => void;
}

/** Object kind under which entries register. */
export const ENTRY_KIND = "gypsumridge-entries";
/** Number of lists at the shorter interval, while a deployment starts. */
const STARTUP_LISTS = 4;
/** Interval between the first lists, in ms. */
const STARTUP_LIST_INTERVAL_MS = 1_500;
/** Interval between later lists, in ms; closed links show exits sooner. */
const LIST_INTERVAL_MS = 15_000;
/** Delay before a failed call is retried, in ms. */
const RETRY_DELAY_MS = 500;

/** Registers this entry and lists the others periodically. */
export class Membership {
  readonly #options: MembershipOptions;
  #isClosed = false;

  private constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Creates the membership task; `run` starts it. */
  static create(options: MembershipOptions): Membership {
    return new Membership(options);
  }

  /** Registers, then lists entries until closed; never rejects. */
  async run(): Promise<void> {
    await this.#retry(() => this.#register());
    for (let listCount = 0; !this.#isClosed; listCount++) {
      await this.#retry(() => this.#listMembers());
      const intervalMs = listCount < STARTUP_LISTS
        ? STARTUP_LIST_INTERVAL_MS
        : LIST_INTERVAL_MS;
      await sleep(intervalMs * (0.5 + this.#options.random()));
    }
  }

  /** Stops listing and removes the registration. */
  async close(): Promise<void> {
    this.#isClosed = true;
    const { objects, self, log } = this.#options;
    try {
      await objects.remove(ENTRY_KIND, { name: self.entry });
    } catch (error) {
      // The other entries drop this one when its links close.
      log(LOG_EVENTS.platformUnreachable, {
        kind: ENTRY_KIND,
        reason: messageOf(error),
      });
    }
  }

  async #register(): Promise<void> {
    const { objects, self } = this.#options;
    const object = { name: self.entry, spec: { address: self.address } };
    try {
      await objects.create(ENTRY_KIND, object);
    } catch (error) {
      if (!(error instanceof VersionConflict)) throw error;
      await objects.replace(ENTRY_KIND, object);
    }
  }

  async #listMembers(): Promise<void> {
    const { objects, onMembers } = this.#options;
    onMembers(await listMembers(objects));
  }

  async #retry(call: () => Promise<void>): Promise<void> {
    while (!this.#isClosed) {
      try {
        return await call();
      } catch (error) {
        const { log, random } = this.#options;
        log(LOG_EVENTS.platformUnreachable, {
          kind: ENTRY_KIND,
          reason: messageOf(error),
        });
        await sleep(RETRY_DELAY_MS * (0.5 + random()));
      }
    }
  }
}

/**
 * Lists the registered entries; the list may be seconds old.
 *
 * Errors: `PlatformUnavailable`.
 */
export async function listMembers(
  objects: ObjectStore,
): Promise<readonly Member[]> {
  const list = await objects.list({ kind: ENTRY_KIND, allowsStale: true });
  return list.objects.flatMap((object) => parseMember(object) ?? []);
}

function parseMember({ name, spec }: StoredObject): Member | undefined {
  const isObject = typeof spec === "object" && spec !== null;
  if (!isObject || !("address" in spec)) return undefined;
  const { address } = spec;
  // Dialling any other text throws.
  if (typeof address !== "string" || !isAddress(address)) return undefined;
  return { entry: name as EntryId, address };
}
