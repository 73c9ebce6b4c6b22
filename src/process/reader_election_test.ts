import { expect, test } from "vitest";
import type { EntryId } from "../ids.ts";
import { ReaderElection } from "./reader_election.ts";

const KIND = "servers";
const COUNT = 60;
/** One exchange of digests between entries, in ms. */
const ROUND_MS = 300;

/** Entries in a ring of links, each to three others, on one clock. */
function createFleet() {
  const clock = { nowMs: 0 };
  const entries = Array.from({ length: COUNT }, (_, at) => {
    const entry = `entry-${at}` as EntryId;
    const readers = ReaderElection.create({
      entry,
      now: () => clock.nowMs,
      isPartialMesh: () => true,
    });
    return { entry, readers, isAlive: true, reachesStore: true };
  });
  const exchange = () => {
    entries.forEach((sender, at) => {
      if (!sender.isAlive) return;
      for (const step of [1, 7, 23]) {
        const receiver = entries[(at + step) % COUNT];
        if (receiver === undefined || !receiver.isAlive) continue;
        receiver.readers.merge(sender.entry, sender.readers.liveness());
        sender.readers.merge(receiver.entry, receiver.readers.liveness());
      }
    });
  };
  /** Lets time pass; returns who reads the store at its end. */
  const run = (ms: number) => {
    const endMs = clock.nowMs + ms;
    while (clock.nowMs < endMs) {
      clock.nowMs += ROUND_MS;
      for (const { readers, isAlive, reachesStore } of entries) {
        if (isAlive && reachesStore && readers.mustRead) {
          readers.recordSuccess(KIND);
        }
      }
      exchange();
    }
    return entries.filter(({ isAlive, readers }) =>
      isAlive && readers.mustRead
    );
  };
  return { entries, run };
}

test("two of sixty entries read the store", () => {
  const { run } = createFleet();
  expect(run(3_000).length).toBe(2);
});

test("readers that end, or no longer reach the store, are replaced within two seconds", () => {
  const { entries, run } = createFleet();
  const [first, second] = run(3_000);
  if (first) first.isAlive = false;
  if (second) second.reachesStore = false;
  const readers = run(2_100).filter(({ reachesStore }) => reachesStore);
  expect(readers.length).toBeGreaterThanOrEqual(2);
  expect(run(3_000).filter(({ reachesStore }) => reachesStore).length).toBe(2);
  expect(entries.filter(({ isAlive }) => isAlive).length).toBe(COUNT - 1);
});

test("readers that say that they lost the store are replaced at once", () => {
  const { run } = createFleet();
  const lost = run(3_000);
  for (const reader of lost) {
    reader.reachesStore = false;
    reader.readers.recordFailure(KIND);
  }
  const others = run(900).filter(({ reachesStore }) => reachesStore);
  expect(others.length).toBeGreaterThanOrEqual(2);
});

test("an entry that is answered about one kind only is no reader", () => {
  const clock = { nowMs: 0 };
  const readers = ReaderElection.create({
    entry: "entry-1" as EntryId,
    now: () => clock.nowMs,
  });
  for (const kind of [KIND, "config"]) readers.recordSuccess(kind);
  expect(readers.liveness().map(({ isLost }) => isLost)).toEqual([undefined]);
  readers.recordFailure(KIND);
  clock.nowMs = 500;
  readers.recordSuccess("config");
  expect(readers.liveness().map(({ isLost }) => isLost)).toEqual([true]);
  readers.recordSuccess(KIND);
  expect(readers.isStoreReachable).toBe(true);
});

test("others are told once that the store is lost, not at each failing call", () => {
  let told = 0;
  const readers = ReaderElection.create({
    entry: "entry-1" as EntryId,
    now: () => 0,
    onStoreUnreachable: () => told++,
  });
  readers.recordSuccess(KIND);
  for (let failure = 0; failure < 5; failure++) readers.recordFailure(KIND);
  expect(told).toBe(1);
});

test("where few entries are, a reader that falls silent counts for 1.2 s", () => {
  const clock = { nowMs: 0 };
  const readers = ReaderElection.create({
    entry: "entry-1" as EntryId,
    now: () => clock.nowMs,
  });
  const others = Array.from({ length: 5 }, (_, at) => ({
    entry: `other-${at}` as EntryId,
    ageMs: 0,
  }));
  readers.merge("other-0" as EntryId, others);
  clock.nowMs = 1_100;
  const before = readers.isStoreReachable;
  clock.nowMs = 1_300;
  expect([before, readers.isStoreReachable]).toEqual([true, false]);
});

test("an entry that hears nobody reads for itself", () => {
  const clock = { nowMs: 0 };
  const readers = ReaderElection.create({
    entry: "entry-1" as EntryId,
    now: () => clock.nowMs,
  });
  expect(readers.mustRead).toBe(true);
  const others = Array.from({ length: 40 }, (_, at) => ({
    entry: `other-${at}` as EntryId,
    ageMs: 0,
  }));
  readers.merge("other-0" as EntryId, others);
  expect(readers.mustRead).toBe(false);
  clock.nowMs = 1_900;
  expect(readers.mustRead).toBe(true);
  expect(readers.isStoreReachable).toBe(false);
});

test("while nobody reaches the store, only the first of the entries heard keep trying", () => {
  const { entries, run } = createFleet();
  for (const entry of entries) entry.reachesStore = false;
  run(3_000);
  const probers = entries.filter(({ readers }) => readers.isProber);
  expect(probers.length).toBeGreaterThan(0);
  expect(probers.length).toBeLessThanOrEqual(COUNT / 2);
});
