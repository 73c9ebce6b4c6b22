/** When an entry asks the store, and what it makes of an outage. */

import { afterEach, expect, test } from "vitest";
import type { ObjectStore, WatchResult } from "../connection/object_store.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";
import { ObjectWatch } from "./object_watch.ts";
import { ReaderElection } from "./reader_election.ts";

const SELF = "entry-self" as EntryId;
const OTHERS = Array.from(
  { length: 40 },
  (_, at) => `other-${at}` as EntryId,
);

interface Calls {
  lists: number;
  readonly watchedFrom: number[];
}

let watch: ObjectWatch;

afterEach(() => watch.close());

/** A store at revision 7 whose watches end after 20 ms with one change. */
function createStore(calls: Calls): ObjectStore {
  const unused = () => Promise.reject(new Error("not used"));
  return {
    list: () => {
      calls.lists++;
      return Promise.resolve({ objects: [], revision: 7 as ObjectRevision });
    },
    watch: ({ sinceRevision: from }) => {
      calls.watchedFrom.push(from);
      const object = { name: "a", revision: from, spec: {}, status: {} };
      const answer: WatchResult = {
        changes: [{ object, isDeleted: false }],
        revision: from + 1 as ObjectRevision,
      };
      return new Promise((resolve) => setTimeout(() => resolve(answer), 20));
    },
    read: unused,
    create: unused,
    replace: unused,
    remove: unused,
    close: () => undefined,
  };
}

function createWatch() {
  const calls: Calls = { lists: 0, watchedFrom: [] };
  const clock = { nowMs: 0 };
  const outages: boolean[] = [];
  const readers = ReaderElection.create({
    entry: SELF,
    now: () => clock.nowMs,
  });
  watch = ObjectWatch.create({
    objects: createStore(calls),
    kind: "things",
    log: () => undefined,
    random: () => 0,
    waitMs: 20,
    batchDelayMs: 0,
    outageThresholdMs: 2_200,
    readerElection: readers,
    onList: () => undefined,
    onChanges: (_, isAfterOutage) => outages.push(isAfterOutage),
  });
  const hearOthers = () => {
    const signs = OTHERS.map((entry) => ({ entry, ageMs: 0 }));
    readers.merge(OTHERS[0] as EntryId, signs);
  };
  return { calls, clock, outages, hearOthers };
}

test("an entry lists once, and leaves watching to others that it hears of", async () => {
  const { calls, hearOthers } = createWatch();
  hearOthers();
  watch.run();
  await expect.poll(() => calls.lists).toBe(1);
  await new Promise((resolve) => setTimeout(resolve, 1_200));
  expect(calls.watchedFrom).toEqual([]);
  expect(watch.requestRelist()).toBe(true);
  expect(watch.requestRelist()).toBe(false);
  await expect.poll(() => calls.lists).toBe(2);
});

test("what is gone after a short time without readers has left, and did not lapse", async () => {
  const { calls, clock, outages, hearOthers } = createWatch();
  hearOthers();
  watch.run();
  await expect.poll(() => calls.lists).toBe(1);
  clock.nowMs = 1_900;
  await expect.poll(() => outages.length, { timeout: 3_000 })
    .toBeGreaterThan(0);
  expect(outages[0]).toBe(false);
});

test("when the others fall silent it goes on from where it was, as after an outage", async () => {
  const { calls, clock, outages, hearOthers } = createWatch();
  hearOthers();
  watch.run();
  await expect.poll(() => calls.lists).toBe(1);
  clock.nowMs = 60_000;
  await expect.poll(() => calls.watchedFrom[0], { timeout: 3_000 }).toBe(7);
  await expect.poll(() => outages.length).toBeGreaterThan(1);
  // Nobody reached the store for a while; its own answer ends that.
  expect(outages.slice(0, 2)).toEqual([true, false]);
});
