/** Which entries read the store, and which changes count as after an outage. */

import { afterEach, expect, test } from "vitest";
import { runInVirtualTime } from "../../bench/emulator/virtual_time.ts";
import type {
  ObjectStore,
  WatchOptions,
  WatchResult,
} from "../connection/object_store.ts";
import { PlatformUnavailable } from "../errors.ts";
import type { EntryId, ObjectRevision } from "../ids.ts";
import { LOG_EVENTS } from "./log_events.ts";
import { ObjectWatch, type ObjectWatchOptions } from "./object_watch.ts";
import { ReaderElection } from "../gossip/reader_election.ts";

const SELF = "entry-self" as EntryId;
const OTHER_ENTRIES = Array.from(
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
  const unexpectedCall = () =>
    Promise.reject(
      new Error("unexpected call: a watch only lists and watches"),
    );
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
    read: unexpectedCall,
    create: unexpectedCall,
    replace: unexpectedCall,
    remove: unexpectedCall,
    replaceStatus: unexpectedCall,
    close: () => undefined,
  };
}

function createWatch(options: Partial<ObjectWatchOptions> = {}) {
  const calls: Calls = { lists: 0, watchedFrom: [] };
  const clock = { nowMs: 0 };
  const outages: boolean[] = [];
  const readerElection = ReaderElection.create({
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
    readerElection,
    onList: () => undefined,
    onChanges: (_, isAfterOutage) => outages.push(isAfterOutage),
    ...options,
  });
  const receiveLiveness = () => {
    const liveness = OTHER_ENTRIES.map((entry) => ({ entry, ageMs: 0 }));
    readerElection.merge(OTHER_ENTRIES[0] as EntryId, liveness);
  };
  return { calls, clock, outages, receiveLiveness };
}

test("an entry lists once and doesn't watch while others read", async () => {
  const { calls, receiveLiveness } = createWatch();
  receiveLiveness();
  watch.run();
  await expect.poll(() => calls.lists).toBe(1);
  await new Promise((resolve) => setTimeout(resolve, 1_200));
  expect(calls.watchedFrom).toEqual([]);
  expect(watch.requestRelist()).toBe(true);
  expect(watch.requestRelist()).toBe(false);
  await expect.poll(() => calls.lists).toBe(2);
});

test.each([
  ["is no outage", 2_200, false],
  ["is an outage after its threshold was lowered", 1_800, true],
])("a short time without readers %s", async (_, thresholdMs, isOutage) => {
  const { calls, clock, outages, receiveLiveness } = createWatch();
  receiveLiveness();
  watch.run();
  await expect.poll(() => calls.lists).toBe(1);
  watch.setOutageThreshold(thresholdMs);
  clock.nowMs = 1_900;
  await expect.poll(() => outages.length, { timeout: 3_000 })
    .toBeGreaterThan(0);
  expect(outages[0]).toBe(isOutage);
});

test("silent readers make the watch resume as after an outage", async () => {
  const { calls, clock, outages, receiveLiveness } = createWatch();
  receiveLiveness();
  watch.run();
  await expect.poll(() => calls.lists).toBe(1);
  clock.nowMs = 60_000;
  await expect.poll(() => calls.watchedFrom[0], { timeout: 3_000 }).toBe(7);
  await expect.poll(() => outages.length).toBeGreaterThan(1);
  // No entry reached the store for a while; this entry's first read ends that.
  expect(outages.slice(0, 2)).toEqual([true, false]);
});

test("a list that is due while others read is not repeated without a pause if the store turns this entry away", async () => {
  let lists = 0;
  await runInVirtualTime(5_000, ({ now }) => {
    const readerElection = ReaderElection.create({ entry: SELF, now });
    const liveness = OTHER_ENTRIES.map((entry) => ({ entry, ageMs: 0 }));
    const receiveLiveness = () =>
      readerElection.merge(OTHER_ENTRIES[0] as EntryId, liveness);
    receiveLiveness();
    setInterval(receiveLiveness, 50);
    const list = () => {
      lists++;
      return new Promise<never>((_, reject) =>
        setTimeout(() => reject(new PlatformUnavailable("turned away")), 5)
      );
    };
    createWatch({
      objects: { ...createStore({ lists: 0, watchedFrom: [] }), list },
      readerElection,
      now,
      sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
    });
    watch.run();
  });
  // After four shorter pauses one of 0.4 s each.
  expect(lists).toBeLessThan(20);
});

test("an entry that takes over reading isn't held up by versions since it last read", async () => {
  const { calls, clock, receiveLiveness } = createWatch({
    followsNewestOnly: true,
  });
  receiveLiveness();
  watch.run();
  await expect.poll(() => calls.lists).toBe(1);
  clock.nowMs = 60_000;
  await expect.poll(() => calls.watchedFrom.length, { timeout: 3_000 })
    .toBeGreaterThan(0);
  expect(calls.lists).toBe(2);
});

test("a watch that times out on too many versions is followed by a list of the newest", async () => {
  const calls: Calls = { lists: 0, watchedFrom: [] };
  const store = createStore(calls);
  const watchTooMany = (options: WatchOptions) => {
    calls.watchedFrom.push(options.sinceRevision);
    return Promise.reject(
      new PlatformUnavailable("no response within 1400 ms"),
    );
  };
  createWatch({
    followsNewestOnly: true,
    objects: { ...store, watch: watchTooMany },
    readerElection: undefined,
  });
  watch.run();
  await expect.poll(() => calls.watchedFrom.length).toBeGreaterThan(1);
  expect(calls.lists).toBe(calls.watchedFrom.length);
});

test("a change that a watch passes over is found and logged, with one list", async () => {
  const calls: Calls = { lists: 0, watchedFrom: [] };
  const changed = {
    name: "main",
    revision: 8 as ObjectRevision,
    spec: {},
    status: {},
  };
  const events: number[] = [];
  createWatch({
    followsNewestOnly: true,
    log: ({ number }) => events.push(number),
    objects: {
      ...createStore(calls),
      list: () => {
        calls.lists++;
        const objects = calls.lists === 1 ? [] : [changed];
        const revision = calls.lists === 1 ? 7 : 9;
        return Promise.resolve({
          objects,
          revision: revision as ObjectRevision,
        });
      },
      watch: async ({ sinceRevision }) => {
        calls.watchedFrom.push(sinceRevision);
        await new Promise((resolve) => setTimeout(resolve, 20));
        return { changes: [], revision: 9 as ObjectRevision };
      },
    },
    readerElection: undefined,
  });
  watch.run();
  await expect.poll(() => calls.lists, { timeout: 2_000 }).toBe(2);
  await new Promise((resolve) => setTimeout(resolve, 1_200));
  expect(calls.lists).toBe(2);
  expect(events).toEqual([LOG_EVENTS.changePassedOver.number]);
});

test("revisions of other kinds cause a list once a second at most", async () => {
  const calls: Calls = { lists: 0, watchedFrom: [] };
  let revision = 7;
  createWatch({
    followsNewestOnly: true,
    objects: {
      ...createStore(calls),
      watch: async () => {
        await new Promise((resolve) => setTimeout(resolve, 20));
        return { changes: [], revision: ++revision as ObjectRevision };
      },
    },
    readerElection: undefined,
  });
  watch.run();
  await new Promise((resolve) => setTimeout(resolve, 2_500));
  expect(calls.lists).toBe(3);
});

/** Time in which a configuration is in force in every entry, in ms. */
const APPLY_LIMIT_MS = 2_000;
/** Longest time for the call to a sound store and its answer, in ms. */
const CALL_MS = 50;
/** When the readers are lost, in ms. */
const LOST_AT_MS = 3_000;

test.each(
  [["a full", false], ["a partial", true]] as const,
)(
  "when all readers in %s mesh are lost at once, another entry reads in time for a change",
  async (_, isPartialMesh) => {
    let startLists = 0;
    let lists = 0;
    const endMs = LOST_AT_MS + APPLY_LIMIT_MS - CALL_MS;
    await runInVirtualTime(endMs, ({ now }) => {
      const readerElection = ReaderElection.create({
        entry: SELF,
        now,
        isPartialMesh: () => isPartialMesh,
      });
      const { calls } = createWatch({
        readerElection,
        now,
        sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
        random: () => 0.999,
        followsNewestOnly: true,
      });
      const receiveLiveness = () => {
        lists = calls.lists;
        if (now() > LOST_AT_MS) return;
        startLists = calls.lists;
        const liveness = OTHER_ENTRIES.map((entry) => ({ entry, ageMs: 0 }));
        readerElection.merge(OTHER_ENTRIES[0] as EntryId, liveness);
      };
      receiveLiveness();
      setInterval(receiveLiveness, 50);
      watch.run();
    });
    expect(startLists).toBe(1);
    expect(lists).toBe(2);
  },
);
