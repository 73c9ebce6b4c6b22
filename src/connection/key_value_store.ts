/**
 * Named values on the shared objects: texts with versions and conditional
 * updates. The part of a name before the first slash is the object's kind.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { PLATFORM_RETRY_DELAY_MS, WATCH_TIMEOUT_MS } from "../constants.ts";
import { PlatformHistoryGone, VersionConflict } from "../errors.ts";
import type { ObjectRevision } from "../ids.ts";
import type { Instance } from "./instance.ts";
import type { ObjectStore, StoredObject } from "./object_store.ts";

/** A stored value. */
export interface StoredValue {
  readonly version: ObjectRevision;
  readonly value: string;
}

/** One row of a listing, without the value. */
export interface ValueMetadata {
  readonly name: string;
  readonly version: ObjectRevision;
  /** Writer's time of the last write, ms since the epoch. */
  readonly updatedMs: number;
}

/** What values are kept on. */
export interface KeyValueStoreOptions {
  readonly objects: ObjectStore;
  /** Reads the platform's list of instances. Errors: `PlatformUnavailable`. */
  readonly listInstances: () => Promise<readonly Instance[]>;
}

/** Where a name lies among the shared objects. */
interface ObjectPlace {
  readonly kind: string;
  readonly name: string;
}

/** Start of the kinds that are the system's own. */
const KIND_PREFIX = "gypsumridge-";

/** Named values; writes are never retried by themselves. */
export class KeyValueStore {
  readonly #options: KeyValueStoreOptions;
  #closed = false;

  private constructor(options: KeyValueStoreOptions) {
    this.#options = options;
  }

  /** Makes a store; connections open at the first call. */
  static create(options: KeyValueStoreOptions): KeyValueStore {
    return new KeyValueStore(options);
  }

  /** Closes the connections and ends watches. */
  close(): void {
    this.#closed = true;
    this.#options.objects.close();
  }

  /** Reads a value. Errors: `PlatformUnavailable`. */
  async read(name: string): Promise<StoredValue | undefined> {
    const place = placeOf(name);
    const object = await this.#options.objects.read(place.kind, place.name);
    return object === undefined ? undefined : restoreValue(object);
  }

  /**
   * Creates a value.
   *
   * Errors: `VersionConflict` when it exists; `PlatformUnavailable` when the
   * write may or may not have taken effect.
   */
  async create(name: string, value: string): Promise<ObjectRevision> {
    const place = placeOf(name);
    const object = { name: place.name, spec: createSpec(value) };
    const created = await this.#options.objects.create(place.kind, object);
    return created.revision;
  }

  /** Replaces a value at `version`. Errors: as for `create`. */
  async update(
    name: string,
    version: ObjectRevision,
    value: string,
  ): Promise<ObjectRevision> {
    const place = placeOf(name);
    const replaced = await this.#options.objects.replace(place.kind, {
      name: place.name,
      spec: createSpec(value),
      revision: version,
    });
    if (replaced === undefined) throw new VersionConflict(name);
    return replaced.revision;
  }

  /** Writes a value whatever its version. Errors: `PlatformUnavailable`. */
  async write(name: string, value: string): Promise<ObjectRevision> {
    const place = placeOf(name);
    const object = { name: place.name, spec: createSpec(value) };
    const replaced = await this.#options.objects.replace(place.kind, object);
    if (replaced !== undefined) return replaced.revision;
    return (await this.#options.objects.create(place.kind, object)).revision;
  }

  /** Removes a value at `version`. Errors: as for `create`. */
  async remove(name: string, version: ObjectRevision): Promise<void> {
    const place = placeOf(name);
    await this.#options.objects.remove(place.kind, {
      name: place.name,
      revision: version,
    });
  }

  /** Lists values by the start of their name. Errors: `PlatformUnavailable`. */
  async list(prefix: string): Promise<readonly ValueMetadata[]> {
    const { kind, name } = placeOf(prefix);
    const { objects } = await this.#options.objects.list({ kind });
    const [group = ""] = prefix.split("/");
    return objects
      .filter((object) => object.name.startsWith(name))
      .map((object) => ({
        name: `${group}/${object.name}`,
        version: object.revision,
        updatedMs: readSpec(object).writtenMs,
      }));
  }

  /** Reads the list of instances. Errors: `PlatformUnavailable`. */
  instances(): Promise<readonly Instance[]> {
    return this.#options.listInstances();
  }

  /**
   * Yields a value each time its version differs from the last one seen, and
   * `undefined` each time the platform could not be reached.
   */
  async *watch(name: string): AsyncGenerator<StoredValue | undefined> {
    const place = placeOf(name);
    const { objects } = this.#options;
    let from: ObjectRevision | undefined;
    let seen: ObjectRevision | undefined;
    while (!this.#closed) {
      try {
        let found: StoredObject | undefined;
        if (from === undefined) {
          const list = await objects.list({ kind: place.kind });
          found = list.objects.find((object) => object.name === place.name);
          from = list.revision;
        } else {
          const waitMs = WATCH_TIMEOUT_MS;
          const watched = await objects.watch({
            kind: place.kind,
            sinceRevision: from,
            waitMs,
          });
          found = watched.changes.findLast(({ object, isDeleted }) =>
            object.name === place.name && !isDeleted
          )?.object;
          from = watched.revision;
        }
        if (found === undefined || found.revision === seen) continue;
        seen = found.revision;
        yield restoreValue(found);
      } catch (error) {
        if (this.#closed) return;
        if (error instanceof PlatformHistoryGone) {
          from = undefined;
          continue;
        }
        yield undefined;
        await sleep(PLATFORM_RETRY_DELAY_MS);
      }
    }
  }
}

/** A name without a slash is the only one of its kind. */
function placeOf(name: string): ObjectPlace {
  const slash = name.indexOf("/");
  if (slash < 0) return { kind: `${KIND_PREFIX}${name}`, name };
  return {
    kind: `${KIND_PREFIX}${name.slice(0, slash)}`,
    name: name.slice(slash + 1),
  };
}

function createSpec(value: string) {
  return { value, writtenMs: Date.now() };
}

function readSpec(
  { spec }: StoredObject,
): { readonly value: string; readonly writtenMs: number } {
  const fields = (spec ?? {}) as { value?: unknown; writtenMs?: unknown };
  return {
    value: typeof fields.value === "string" ? fields.value : "",
    writtenMs: typeof fields.writtenMs === "number" ? fields.writtenMs : 0,
  };
}

function restoreValue(object: StoredObject): StoredValue {
  return { version: object.revision, value: readSpec(object).value };
}
