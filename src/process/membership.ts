/**
 * Registers this entry in the shared store and lists the registered entries.
 * The peer link to an entry shows whether it is live.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { isAddress } from "../connection/address.ts";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import { messageOf, VersionConflict } from "../errors.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";
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
  /** Identifies this process among those that register under its name. */
  readonly incarnation: string;
  readonly log: Log;
  /** Returns a random number in [0, 1); used as jitter between entries. */
  readonly random: () => number;
  readonly onMembers: (members: readonly Member[]) => void;
}

/** What may stand in a registration, unless another writer left it. */
type RegistrationSpec = { readonly incarnation?: unknown } | null | undefined;

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
  /** Revision of this process's registration, once known. */
  #revision: ObjectRevision | undefined;
  #deregistration: Promise<void> | undefined;
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

  /** Stops listing and removes the registration; a second call waits for it. */
  close(): Promise<void> {
    this.#isClosed = true;
    return this.#deregistration ??= this.#deregister();
  }

  async #deregister(): Promise<void> {
    const { objects, self, log } = this.#options;
    const name = self.entry;
    try {
      const revision = this.#revision ?? await this.#readOwnRevision();
      if (revision === undefined) return;
      // The call may take effect once the next process has registered.
      await objects.remove(ENTRY_KIND, { name, revision });
    } catch (error) {
      if (error instanceof VersionConflict) return;
      // The other entries drop this one when its links close.
      log(LOG_EVENTS.platformUnreachable, {
        kind: ENTRY_KIND,
        reason: messageOf(error),
      });
    }
  }

  async #readOwnRevision(): Promise<ObjectRevision | undefined> {
    const { objects, self } = this.#options;
    const stored = await objects.read(ENTRY_KIND, self.entry);
    return this.#isOwn(stored) ? stored?.revision : undefined;
  }

  async #register(): Promise<void> {
    const { objects, self } = this.#options;
    try {
      const created = await objects.create(ENTRY_KIND, this.#registration);
      this.#revision = created.revision;
    } catch (error) {
      if (!(error instanceof VersionConflict)) throw error;
      const stored = await objects.read(ENTRY_KIND, self.entry);
      if (stored === undefined) throw error;
      // The answer to an earlier call may have been lost.
      if (this.#isOwn(stored)) this.#revision = stored.revision;
      else await this.#replace(stored);
    }
  }

  /** Replaces the registration of another process. */
  async #replace({ name, revision }: StoredObject): Promise<void> {
    const replaced = await this.#options.objects.replace(ENTRY_KIND, {
      ...this.#registration,
      revision,
    });
    if (replaced === undefined) throw new VersionConflict(name);
    this.#revision = replaced.revision;
  }

  get #registration() {
    const { self: { entry, address }, incarnation } = this.#options;
    return { name: entry, spec: { address, incarnation } };
  }

  #isOwn(stored: StoredObject | undefined): boolean {
    const { incarnation } = this.#options;
    return (stored?.spec as RegistrationSpec)?.incarnation === incarnation;
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
