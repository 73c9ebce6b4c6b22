/** Tests which heads are adopted, and which are passed over. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import type { Revision } from "../ids.ts";
import { createChunk } from "./chunks.ts";
import { RevisionStore } from "./revision_store.ts";
import type { Head } from "./types.ts";

const FETCH_MS = 20;

/** Creates heads with a manifest each, and a store that fetches these slowly. */
function createStore({ heads, missing = [] }: {
  readonly heads: number;
  readonly missing?: readonly number[];
}) {
  const manifests = Array.from(
    { length: heads },
    (_, at) => createChunk(JSON.stringify({ chunks: [], at })),
  );
  const fetched: number[] = [];
  const adopted: number[] = [];
  const store = RevisionStore.create(async (hash) => {
    await sleep(FETCH_MS);
    const at = manifests.findIndex((manifest) => manifest.hash === hash);
    fetched.push(at + 1);
    return missing.includes(at + 1) ? undefined : manifests[at]?.text;
  });
  store.subscribe(({ revision }) => adopted.push(revision));
  const adopt = (revision: number) =>
    store.adopt(
      {
        revision: revision as Revision,
        manifest: manifests[revision - 1]?.hash,
      } as Head,
    );
  return { adopt, fetched, adopted };
}

test("heads that newer ones have replaced don't delay the newest", async () => {
  const { adopt, fetched, adopted } = createStore({ heads: 20 });
  const results = await Promise.all(
    Array.from({ length: 20 }, (_, at) => adopt(at + 1)),
  );
  expect(adopted).toEqual([1, 20]);
  expect(fetched).toEqual([1, 20]);
  expect(results).not.toContain(false);
});

test("an older head that arrives late is passed over", async () => {
  const { adopt, fetched, adopted } = createStore({ heads: 3 });
  expect(await Promise.all([adopt(3), adopt(2), adopt(1)]))
    .toEqual([true, true, true]);
  expect(adopted).toEqual([3]);
  expect(fetched).toEqual([3]);
});

test("a head whose chunks are missing is not adopted, and a newer one is", async () => {
  const { adopt, adopted } = createStore({ heads: 3, missing: [1, 2] });
  expect(await adopt(1)).toBe(false);
  expect(await Promise.all([adopt(2), adopt(3)])).toEqual([false, true]);
  expect(adopted).toEqual([3]);
});
