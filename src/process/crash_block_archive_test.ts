/** What entries know of crashes after all of them have died. */

import fc from "fast-check";
import { expect, test } from "vitest";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import { VersionConflict } from "../errors.ts";
import type { CrashCause, EntryId, ObjectRevision, RequestId } from "../ids.ts";
import { CrashAccount } from "./crash_account.ts";
import { CrashBlockArchive } from "./crash_block_archive.ts";
import { RunStage } from "./crash_evidence.ts";

const PART = "part deadly" as CrashCause;
const OTHER_PART = "part sound" as CrashCause;
/** Longer than crashes take to settle, in ms. */
const SETTLED_MS = 1_000;

/** A store in memory that counts writes. */
class MemoryStore {
  readonly objects = new Map<string, StoredObject>();
  writes = 0;
  #revision = 0;

  readonly api = {
    list: () =>
      Promise.resolve({
        objects: [...this.objects.values()],
        revision: this.#revision as ObjectRevision,
      }),
    create: async (
      _: string,
      { name, spec }: { readonly name: string; readonly spec: unknown },
    ) => {
      if (this.objects.has(name)) throw new VersionConflict(name);
      return await this.put(name, spec);
    },
    replace: async (
      _: string,
      { name, spec, revision }: Parameters<ObjectStore["replace"]>[1],
    ) => {
      this.#check(name, revision);
      return await this.put(name, spec);
    },
    remove: (
      _: string,
      { name, revision }: Parameters<ObjectStore["remove"]>[1],
    ) => {
      this.#check(name, revision);
      this.writes++;
      this.objects.delete(name);
      return Promise.resolve();
    },
  } as unknown as ObjectStore;

  put(name: string, spec: unknown): Promise<StoredObject> {
    this.writes++;
    const revision = ++this.#revision as ObjectRevision;
    const stored = JSON.parse(JSON.stringify(spec ?? null));
    const object = { name, revision, spec: stored, status: null };
    this.objects.set(name, object);
    return Promise.resolve(object);
  }

  #check(name: string, revision: ObjectRevision | undefined): void {
    if (this.objects.get(name)?.revision !== revision) {
      throw new VersionConflict(name);
    }
  }
}

const clock = { ms: 0 };

/** An entry that starts `startMs` after the first, without memory. */
function startEntry(store: MemoryStore, isWriter = true) {
  const startMs = clock.ms;
  const logged: number[] = [];
  const account = CrashAccount.create({
    entry: "entry",
    now: () => clock.ms - startMs,
    onBlocked: () => undefined,
    onCleared: () => undefined,
  });
  const archive = CrashBlockArchive.create({
    entry: "entry" as EntryId,
    objects: store.api,
    account,
    isWriter: () => isWriter,
    log: ({ number }) => logged.push(number),
    now: () => ({ monotonicMs: clock.ms - startMs, unixMs: clock.ms }),
  });
  const crash = (parts: readonly CrashCause[]) => {
    clock.ms += SETTLED_MS;
    account.recordCrash(createRequest(parts), {
      server: `${clock.ms}`,
      zone: "a",
      atMs: clock.ms - startMs,
      stage: RunStage.Begun,
    });
  };
  return { account, archive, crash, logged };
}

let requests = 0;

function createRequest(parts: readonly CrashCause[]) {
  const id = `${++requests}`;
  return {
    id: id as RequestId,
    request: `request ${id}` as CrashCause,
    parts,
  };
}

/** An entry that has seen three crashes by requests with the part, and died. */
async function blockPart(store: MemoryStore): Promise<void> {
  const { archive, crash } = startEntry(store);
  for (let crashes = 0; crashes < 3; crashes++) crash([PART]);
  clock.ms += SETTLED_MS;
  await archive.update();
}

test("a part that crashes servers is still refused after all entries have died", async () => {
  const store = new MemoryStore();
  await blockPart(store);
  clock.ms += SETTLED_MS;
  const { account, archive } = startEntry(store);
  expect(account.blockedUntilMs(createRequest([PART]))).toBeUndefined();
  await archive.restore();
  expect(account.blockedUntilMs(createRequest([PART]))).toBeGreaterThan(0);
  expect(account.blockedUntilMs(createRequest([OTHER_PART]))).toBeUndefined();
});

test("a block is written once, and again after each failed trial", async () => {
  const store = new MemoryStore();
  const other = startEntry(store, false);
  const { archive, crash } = startEntry(store);
  for (let crashes = 0; crashes < 3; crashes++) {
    crash([PART]);
    other.crash([PART]);
  }
  clock.ms += SETTLED_MS;
  for (let update = 0; update < 5; update++) {
    await Promise.all([archive.update(), other.archive.update()]);
  }
  expect(store.writes).toBe(1);
  clock.ms += 60_000;
  crash([PART]);
  clock.ms += SETTLED_MS;
  await archive.update();
  expect(store.writes).toBe(2);
});

test("a block that a sound run has lifted is removed, also by the next writer", async () => {
  const store = new MemoryStore();
  await blockPart(store);
  const { account, archive } = startEntry(store);
  await archive.restore();
  clock.ms += SETTLED_MS;
  account.recordProof([PART]);
  await archive.update();
  expect(store.objects.size).toBe(0);
});

test("a writer that another one preceded follows the store", async () => {
  const store = new MemoryStore();
  const late = startEntry(store);
  for (let crashes = 0; crashes < 3; crashes++) late.crash([PART]);
  clock.ms += SETTLED_MS;
  await late.archive.update();
  const [name = ""] = store.objects.keys();
  await store.put(name, store.objects.get(name)?.spec);
  late.crash([PART]);
  clock.ms += SETTLED_MS;
  await expect(late.archive.update()).rejects.toThrow(VersionConflict);
  await late.archive.update();
  expect(JSON.stringify(store.objects.get(name))).toContain(
    `"${clock.ms - SETTLED_MS}"`,
  );
});

test("records that are too large, of another version or damaged are logged and block nothing", async () => {
  const valid = new MemoryStore();
  await blockPart(valid);
  const [object] = valid.objects.values();
  const spec = object?.spec as Record<string, unknown>;
  const damage = fc.oneof(
    fc.jsonValue(),
    fc.constant({ ...spec, version: 2 }),
    fc.constant({ ...spec, writtenMs: "yesterday" }),
    fc.constant({ ...spec, notes: "x".repeat(20_000) }),
    fc.record({ block: fc.jsonValue() }).map((part) => ({ ...spec, ...part })),
  );
  await fc.assert(
    fc.asyncProperty(damage, async (value) => {
      const store = new MemoryStore();
      await store.put("damaged", value);
      const { account, archive, logged } = startEntry(store);
      await archive.restore();
      expect(account.blocks()).toEqual([]);
      expect(logged).toEqual([3122]);
      await archive.update();
      expect([...store.objects.keys()]).toEqual(["damaged"]);
    }),
    { numRuns: 50 },
  );
});
