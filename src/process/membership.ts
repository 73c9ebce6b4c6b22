/**
 * Which entries there are: each registers itself among the shared objects, and
 * reads who else is there. Links to the others tell who lives.
 */

import { setTimeout as sleep } from "node:timers/promises";
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

/** What membership needs of its process. */
export interface MembershipOptions {
  readonly objects: ObjectStore;
  readonly self: Member;
  readonly log: Log;
  /** Number from 0 up to 1; spreads the calls of many entries. */
  readonly random: () => number;
  readonly onMembers: (members: readonly Member[]) => void;
}

/** Kind under which entries register. */
export const ENTRY_KIND = "gypsumridge-entries";
/** Readings while a deployment starts, and the pause between them, in ms. */
const EARLY_READINGS = 4;
const EARLY_MS = 1_500;
/** Pause between later readings, in ms; links show sooner who has ended. */
const LATE_MS = 15_000;
/** Pause before a failed call is tried again, in ms. */
const RETRY_MS = 500;

/** Registers this entry and follows the others. */
export class Membership {
  readonly #options: MembershipOptions;
  #closed = false;

  private constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Makes a membership; `run` starts it. */
  static create(options: MembershipOptions): Membership {
    return new Membership(options);
  }

  /** Registers and reads until closed; never rejects. */
  async run(): Promise<void> {
    await this.#retry(() => this.#register());
    for (let reading = 0; !this.#closed; reading++) {
      await this.#retry(() => this.#read());
      const pauseMs = reading < EARLY_READINGS ? EARLY_MS : LATE_MS;
      await sleep(pauseMs * (0.5 + this.#options.random()));
    }
  }

  /** Stops reading and takes the registration back. */
  async close(): Promise<void> {
    this.#closed = true;
    const { objects, self, log } = this.#options;
    try {
      await objects.remove(ENTRY_KIND, { name: self.entry });
    } catch (error) {
      // The others drop this entry when its links end.
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

  async #read(): Promise<void> {
    const { objects, onMembers } = this.#options;
    onMembers(await listMembers(objects));
  }

  async #retry(call: () => Promise<void>): Promise<void> {
    while (!this.#closed) {
      try {
        return await call();
      } catch (error) {
        const { log, random } = this.#options;
        log(LOG_EVENTS.platformUnreachable, {
          kind: ENTRY_KIND,
          reason: messageOf(error),
        });
        await sleep(RETRY_MS * (0.5 + random()));
      }
    }
  }
}

/** Reads the registered entries, some seconds old. Errors: `PlatformUnavailable`. */
export async function listMembers(
  objects: ObjectStore,
): Promise<readonly Member[]> {
  const list = await objects.list({ kind: ENTRY_KIND, allowsStale: true });
  return list.objects.flatMap((object) => restoreMember(object) ?? []);
}

function restoreMember({ name, spec }: StoredObject): Member | undefined {
  const isObject = typeof spec === "object" && spec !== null;
  if (!isObject || !("address" in spec)) return undefined;
  const { address } = spec;
  if (typeof address !== "string") return undefined;
  return { entry: name as EntryId, address };
}
