/**
 * Registers this entry in the shared store, lists the registered entries, and
 * registers again if its registration is missing from a list. The peer link to
 * an entry shows whether it is live.
 *
 * After its start an entry lists only if its peers know of a later list that
 * differs, so calls to the store do not grow with entries and time.
 */

import { setTimeout as sleepFor } from "node:timers/promises";
import { isAddress } from "../connection/address.ts";
import type {
  ObjectList,
  ObjectStore,
  StoredObject,
} from "../connection/object_store.ts";
import { messageOf, VersionConflict } from "../errors.ts";
import { eraOf } from "../connection/store_era.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { Log } from "../process/log.ts";
import {
  hasSameMembers,
  laterOf,
  type MemberSummary,
  summarize,
} from "./member_summary.ts";

/** A registered entry. */
export interface Member {
  readonly entry: EntryId;
  /** IP and port for other entries. */
  readonly address: string;
  /** Absent in registrations of earlier versions. */
  readonly zone?: string;
}

/** Dependencies of the membership task. */
export interface MembershipOptions {
  readonly objects: ObjectStore;
  readonly self: Member;
  /** Identifies this process among those that register under its name. */
  readonly incarnation: string;
  readonly log: Log;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Waits for a time in ms, on the same clock; the process's own if absent. */
  readonly sleep?: (ms: number) => Promise<unknown>;
  /** Returns a random number in [0, 1); used as jitter between entries. */
  readonly random: () => number;
  readonly onMembers: (members: readonly Member[]) => void;
  /** Whether no link to another entry is open; lists then come sooner. */
  readonly isAlone: () => boolean;
  /** Whether this entry looks for changes on behalf of the others. */
  readonly isReader: () => boolean;
  /** Names of entries that are gone for good. */
  readonly goneEntries: () => readonly string[];
}

/** What may stand in a registration, unless another writer left it. */
type RegistrationSpec = { readonly incarnation?: unknown } | null | undefined;

/** Object kind under which entries register. */
export const ENTRY_KIND = "gypsumridge-entries";
/** Checks at the shorter interval after a start or a missing registration. */
const STARTUP_CHECKS = 4;
/** Interval between these checks whether a list is due, in ms. */
const STARTUP_CHECK_INTERVAL_MS = 1_500;
/** Interval between later checks, in ms; closed links show exits sooner. */
const CHECK_INTERVAL_MS = 15_000;
/** Age at which a list is repeated though no peer knows of changes, in ms. */
const LIST_MAX_AGE_MS = 60_000;
/** Less than any revision of the store. */
const NEVER_REVISION = 0;
/** Delay before a failed call is retried, in ms. */
const RETRY_DELAY_MS = 500;

/** Registers this entry and lists the others periodically. */
export class Membership {
  readonly #options: MembershipOptions;
  /** Revision of this process's registration, once known. */
  #revision: ObjectRevision | undefined;
  /** Checks that still follow at the shorter interval. */
  #startupChecks = STARTUP_CHECKS;
  /** The last list. */
  #listed: MemberSummary | undefined;
  /** When it was requested, on the monotonic clock in ms. */
  #listedMs = Number.NEGATIVE_INFINITY;
  /** The latest list that this entry or a peer has made. */
  #latest: MemberSummary | undefined;
  #deregistration: Promise<void> | undefined;
  #isClosed = false;

  private constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Creates the membership task; `run` starts it. */
  static create(options: MembershipOptions): Membership {
    return new Membership(options);
  }

  /** Lists entries when due, and registers, until closed; never rejects. */
  async run(): Promise<void> {
    while (!this.#isClosed) {
      const isDone = !this.#isListDue ||
        await this.#attempt(() => this.#refresh());
      await this.#wait(isDone ? this.#nextIntervalMs() : RETRY_DELAY_MS);
    }
  }

  /** Lists soon: the store may have lost this entry's registration. */
  refresh(): void {
    this.#startupChecks = STARTUP_CHECKS;
    this.#listed = undefined;
  }

  /** The latest list that this entry knows of, for its peers. */
  get latest(): MemberSummary | undefined {
    return this.#latest;
  }

  /** Takes in the latest list that a peer knows of. */
  merge(summary: MemberSummary): void {
    const era = eraOf(this.#latest?.revision ?? summary.revision);
    if (eraOf(summary.revision) > era) this.refresh();
    this.#latest = laterOf(this.#latest, summary);
  }

  get #isListDue(): boolean {
    const { now, isAlone, isReader, goneEntries } = this.#options;
    if (this.#listed === undefined || this.#latest === undefined) return true;
    const isRegistered = this.#revision !== undefined &&
      this.#revision <= this.#listed.revision;
    if (!isRegistered || !hasSameMembers(this.#listed, this.#latest)) {
      return true;
    }
    if (isAlone() || goneEntries().length > 0) return true;
    const isStarting = this.#startupChecks > 0;
    return (isReader() && !isStarting) ||
      now() - this.#listedMs >= LIST_MAX_AGE_MS;
  }

  #wait(meanMs: number): Promise<unknown> {
    const { sleep = sleepFor, random } = this.#options;
    return sleep(meanMs * (0.5 + random()));
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

  /**
   * Lists the entries, registers this one if it isn't among them, and removes
   * one that is gone.
   */
  async #refresh(): Promise<void> {
    const { objects, now, onMembers } = this.#options;
    this.#listedMs = now();
    const list = await listEntries(objects);
    this.#listed = summarize(list);
    this.#latest = laterOf(this.#latest, this.#listed);
    onMembers(parseMembers(list));
    await this.#checkRegistration(list);
    await this.#removeGone(list);
  }

  async #checkRegistration(list: ObjectList): Promise<void> {
    const { self, log } = this.#options;
    // A list from before the registration says nothing about it.
    const isOlder = list.revision < (this.#revision ?? NEVER_REVISION);
    const stored = list.objects.find(({ name }) => name === self.entry);
    if (isOlder || this.#isClosed) return;
    if (this.#isOwn(stored)) {
      this.#revision = stored?.revision;
      return;
    }
    const wasRegistered = this.#revision !== undefined;
    if (!await this.#register(stored) || !wasRegistered) return;
    const found = stored === undefined ? "none" : "another process's";
    log(LOG_EVENTS.registrationRestored, { found });
    this.#startupChecks = STARTUP_CHECKS;
  }

  /**
   * Removes the registration of one entry that is gone, so that the entries
   * together make few writes. One that lives after all registers again.
   */
  async #removeGone(list: ObjectList): Promise<void> {
    const { objects, self, log, random, goneEntries } = this.#options;
    const names = new Set(goneEntries());
    const gone = list.objects.filter(({ name }) =>
      names.has(name) && name !== self.entry
    );
    const found = gone[Math.floor(random() * gone.length)];
    if (found === undefined || this.#isClosed) return;
    const { name, revision } = found;
    try {
      await objects.remove(ENTRY_KIND, { name, revision });
      log(LOG_EVENTS.registrationRemoved, { peer: name });
    } catch (error) {
      // It has registered again since the list.
      if (!(error instanceof VersionConflict)) throw error;
    }
  }

  #nextIntervalMs(): number {
    this.#startupChecks--;
    return this.#startupChecks >= 0 || this.#options.isAlone()
      ? STARTUP_CHECK_INTERVAL_MS
      : CHECK_INTERVAL_MS;
  }

  /**
   * Writes the registration, in place of one that was listed, unless it is
   * there; returns whether it was written.
   */
  async #register(listed: StoredObject | undefined): Promise<boolean> {
    const { objects, self } = this.#options;
    try {
      await this.#write(listed);
    } catch (error) {
      if (!(error instanceof VersionConflict)) throw error;
      // The list was old, or the answer to an earlier call was lost.
      const stored = await objects.read(ENTRY_KIND, self.entry);
      if (this.#isOwn(stored)) {
        this.#revision = stored?.revision;
        return false;
      }
      await this.#write(stored);
    }
    return true;
  }

  /** Creates the registration, or replaces the one of another process. */
  async #write(former: StoredObject | undefined): Promise<void> {
    const { objects, self } = this.#options;
    const written = former === undefined
      ? await objects.create(ENTRY_KIND, this.#registration)
      : await objects.replace(ENTRY_KIND, {
        ...this.#registration,
        revision: former.revision,
      });
    if (written === undefined) throw new VersionConflict(self.entry);
    this.#revision = written.revision;
  }

  get #registration() {
    const { self: { entry, ...self }, incarnation } = this.#options;
    return { name: entry, spec: { ...self, incarnation } };
  }

  #isOwn(stored: StoredObject | undefined): boolean {
    const { incarnation } = this.#options;
    return (stored?.spec as RegistrationSpec)?.incarnation === incarnation;
  }

  /** Makes a call; returns whether it succeeded. */
  async #attempt(call: () => Promise<unknown>): Promise<boolean> {
    try {
      await call();
      return true;
    } catch (error) {
      this.#options.log(LOG_EVENTS.platformUnreachable, {
        kind: ENTRY_KIND,
        reason: messageOf(error),
      });
      return false;
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
  return parseMembers(await listEntries(objects));
}

function listEntries(objects: ObjectStore): Promise<ObjectList> {
  return objects.list({ kind: ENTRY_KIND, allowsStale: true });
}

function parseMembers({ objects }: ObjectList): readonly Member[] {
  return objects.flatMap((object) => parseMember(object) ?? []);
}

function parseMember({ name, spec }: StoredObject): Member | undefined {
  const isObject = typeof spec === "object" && spec !== null;
  if (!isObject || !("address" in spec)) return undefined;
  const { address, zone } = spec as {
    readonly address: unknown;
    readonly zone?: unknown;
  };
  // Dialling any other text throws.
  if (typeof address !== "string" || !isAddress(address)) return undefined;
  const member = { entry: name as EntryId, address };
  return typeof zone === "string" ? { ...member, zone } : member;
}
