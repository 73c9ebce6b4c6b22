/** A store in memory for tests of what is written to it, and how often. */

import type {
  ObjectStore,
  StoredObject,
} from "../src/connection/object_store.ts";
import { PlatformUnavailable, VersionConflict } from "../src/errors.ts";
import type { ObjectRevision } from "../src/ids.ts";

export type WriteKind = "create" | "replace" | "remove";

/** A store with one kind of objects that counts calls and can hold writes back. */
export class HeldStore {
  readonly #objects = new Map<string, StoredObject>();
  readonly #heldWrites: (() => unknown)[] = [];
  #revision = 0;
  /** Calls of any kind. */
  callCount = 0;
  /** Writes that get no answer, and take effect with `releaseWrites`. */
  held: WriteKind | undefined;
  /** Whether writes take effect but get no answer. */
  losesAnswers = false;
  readonly store = {
    list: () => {
      this.callCount++;
      return Promise.resolve({
        objects: [...this.#objects.values()],
        revision: this.#revision as ObjectRevision,
      });
    },
    read: (_, name) => {
      this.callCount++;
      return Promise.resolve(this.find(name));
    },
    create: (_, { name, spec }) =>
      this.#write("create", () => {
        if (this.find(name) !== undefined) throw new VersionConflict(name);
        return this.put(name, spec);
      }),
    replace: (_, { name, spec, revision }) =>
      this.#write("replace", () => {
        const stored = this.#requireRevision(name, revision);
        return stored === undefined ? undefined : this.put(name, spec);
      }),
    replaceStatus: () => Promise.resolve(undefined),
    remove: (_, { name, revision }) =>
      this.#write("remove", () => {
        this.#requireRevision(name, revision);
        this.drop(name);
      }),
    watch: () => new Promise(() => undefined),
    close: () => undefined,
  } as ObjectStore;

  get heldCount(): number {
    return this.#heldWrites.length;
  }

  find(name: string): StoredObject | undefined {
    return this.#objects.get(name);
  }

  put(name: string, spec: unknown): StoredObject {
    const revision = ++this.#revision as ObjectRevision;
    const object = { name, revision, spec, status: null };
    this.#objects.set(name, object);
    return object;
  }

  drop(name: string): void {
    this.#revision++;
    this.#objects.delete(name);
  }

  releaseWrites(): void {
    for (const write of this.#heldWrites.splice(0)) {
      Promise.resolve().then(write).catch(() => undefined);
    }
  }

  #requireRevision(name: string, revision?: ObjectRevision) {
    const stored = this.find(name);
    const isCurrent = revision === undefined || revision === stored?.revision;
    if (stored !== undefined && !isCurrent) throw new VersionConflict(name);
    return stored;
  }

  async #write<Result>(kind: WriteKind, write: () => Result): Promise<Result> {
    this.callCount++;
    if (this.held === kind) this.#heldWrites.push(write);
    else {
      const result = await Promise.resolve().then(write);
      if (!this.losesAnswers) return result;
    }
    throw new PlatformUnavailable("no answer");
  }
}
