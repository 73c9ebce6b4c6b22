/**
 * Key-value store on the object store: strings with versions and conditional
 * updates. The part of a name before the first slash selects the object's kind.
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

/** An item of a list, without the value. */
export interface ValueMetadata {
  readonly name: string;
  readonly version: ObjectRevision;
  /** Time of the last write on the writer's clock, in ms since the epoch. */
  readonly updatedMs: number;
}

/** Backing store and instance list of a key-value store. */
export interface KeyValueStoreOptions {
  readonly objects: ObjectStore;
  /** Reads the platform's list of instances. Errors: `PlatformUnavailable`. */
  readonly listInstances: () => Promise<readonly Instance[]>;
}

/** Kind and name of the object that stores a value. */
interface ObjectKey {
  readonly kind: string;
  readonly name: string;
}

/** Prefix of the object kinds of key-value stores. */
const KIND_PREFIX = "gypsumridge-";

/** Values by name; writes are never retried automatically. */
export class KeyValueStore {
  readonly #options: KeyValueStoreOptions;
  #closed = false;

  private constructor(options: KeyValueStoreOptions) {
    this.#options = options;
  }

  /** Creates a store; connections open at the first call. */
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
    const key = objectKeyOf(name);
    const object = await this.#options.objects.read(key.kind, key.name);
    return object === undefined ? undefined : parseValue(object);
  }

  /**
   * Creates a value.
   *
   * Errors: `VersionConflict` when it already exists; `PlatformUnavailable`
   * when the write may or may not have taken effect.
   */
  async create(name: string, value: string): Promise<ObjectRevision> {
    const key = objectKeyOf(name);
    const object = { name: key.name, spec: createSpec(value) };
    const created = await this.#options.objects.create(key.kind, object);
    return created.revision;
  }

  /**
   * Replaces a value at `version`.
   *
   * Errors: `VersionConflict` when it has another version or does not exist;
   * `PlatformUnavailable` as for `create`.
   */
  async update(
    name: string,
    version: ObjectRevision,
    value: string,
  ): Promise<ObjectRevision> {
    const key = objectKeyOf(name);
    const replaced = await this.#options.objects.replace(key.kind, {
      name: key.name,
      spec: createSpec(value),
      revision: version,
    });
    if (replaced === undefined) throw new VersionConflict(name);
    return replaced.revision;
  }

  /** Writes a value regardless of its version. Errors: as for `create`. */
  async write(name: string, value: string): Promise<ObjectRevision> {
    const key = objectKeyOf(name);
    const object = { name: key.name, spec: createSpec(value) };
    const replaced = await this.#options.objects.replace(key.kind, object);
    if (replaced !== undefined) return replaced.revision;
    return (await this.#options.objects.create(key.kind, object)).revision;
  }

  /**
   * Removes a value at `version`, if it exists.
   *
   * Errors: `VersionConflict` when it has another version;
   * `PlatformUnavailable` as for `create`.
   */
  async remove(name: string, version: ObjectRevision): Promise<void> {
    const key = objectKeyOf(name);
    await this.#options.objects.remove(key.kind, {
      name: key.name,
      revision: version,
    });
  }

  /** Lists values by prefix of their name. Errors: `PlatformUnavailable`. */
  async list(prefix: string): Promise<readonly ValueMetadata[]> {
    const { kind, name } = objectKeyOf(prefix);
    const { objects } = await this.#options.objects.list({ kind });
    const [group = ""] = prefix.split("/");
    return objects
      .filter((object) => object.name.startsWith(name))
      .map((object) => ({
        name: `${group}/${object.name}`,
        version: object.revision,
        updatedMs: parseSpec(object).writtenMs,
      }));
  }

  /** Reads the list of instances. Errors: `PlatformUnavailable`. */
  instances(): Promise<readonly Instance[]> {
    return this.#options.listInstances();
  }

  /**
   * Yields a value whenever its version changes, and `undefined` after each
   * failed call to the platform.
   */
  async *watch(name: string): AsyncGenerator<StoredValue | undefined> {
    const key = objectKeyOf(name);
    const { objects } = this.#options;
    let sinceRevision: ObjectRevision | undefined;
    let lastVersion: ObjectRevision | undefined;
    while (!this.#closed) {
      try {
        let found: StoredObject | undefined;
        if (sinceRevision === undefined) {
          const list = await objects.list({ kind: key.kind });
          found = list.objects.find((object) => object.name === key.name);
          sinceRevision = list.revision;
        } else {
          const waitMs = WATCH_TIMEOUT_MS;
          const watched = await objects.watch({
            kind: key.kind,
            sinceRevision,
            waitMs,
          });
          found = watched.changes.findLast(({ object, isDeleted }) =>
            object.name === key.name && !isDeleted
          )?.object;
          sinceRevision = watched.revision;
        }
        if (found === undefined || found.revision === lastVersion) continue;
        lastVersion = found.revision;
        yield parseValue(found);
      } catch (error) {
        if (this.#closed) return;
        if (error instanceof PlatformHistoryGone) {
          sinceRevision = undefined;
          continue;
        }
        yield undefined;
        await sleep(PLATFORM_RETRY_DELAY_MS);
      }
    }
  }
}

/** Returns a name's object; one without a slash is the only one of its kind. */
function objectKeyOf(name: string): ObjectKey {
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

function parseSpec(
  { spec }: StoredObject,
): { readonly value: string; readonly writtenMs: number } {
  const fields = (spec ?? {}) as { value?: unknown; writtenMs?: unknown };
  return {
    value: typeof fields.value === "string" ? fields.value : "",
    writtenMs: typeof fields.writtenMs === "number" ? fields.writtenMs : 0,
  };
}

function parseValue(object: StoredObject): StoredValue {
  return { version: object.revision, value: parseSpec(object).value };
}
