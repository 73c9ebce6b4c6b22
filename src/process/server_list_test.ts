import { expect, test } from "vitest";
import type { EntryId, ObjectRevision } from "../ids.ts";
import type { LiveServer } from "./live_server.ts";
import { ServerList } from "./server_list.ts";

const OTHER = "entry-2" as EntryId;

function news(name: string, revision: number, isListed = true) {
  const server = isListed ? { name } as LiveServer : null;
  return { name, revision: revision as ObjectRevision, server };
}

function createList() {
  const clock = { nowMs: 0 };
  const list = ServerList.create({ now: () => clock.nowMs });
  return { clock, list };
}

test("the higher revision wins, whoever tells it and in whatever order", () => {
  const { list } = createList();
  expect(list.apply(news("i-1", 5))).toBe(true);
  expect(list.apply(news("i-1", 4))).toBe(false);
  expect(list.apply(news("i-1", 5, false))).toBe(true);
  expect(list.apply(news("i-1", 5))).toBe(false);
  expect(list.apply(news("i-1", 6))).toBe(true);
});

test("a server listed after a list was read is not missing from it", () => {
  const { list } = createList();
  list.apply(news("old", 3));
  list.apply(news("new", 9));
  const missing = list.missing(new Set(), 7 as ObjectRevision);
  expect(missing.map(({ name }) => name)).toEqual(["old"]);
});

test("changes are told in their order, a first list is not, and later ones replace earlier", () => {
  const { list } = createList();
  list.apply(news("i-1", 1));
  list.markLoaded();
  expect(list.changesAfter(0)).toEqual({ upTo: 0, news: [] });
  list.apply(news("i-1", 2, false));
  list.apply(news("i-2", 3));
  list.apply(news("i-1", 4));
  expect(list.changesAfter(0).news)
    .toEqual([news("i-2", 3), news("i-1", 4)]);
  expect(list.changesAfter(2)).toEqual({ upTo: 3, news: [news("i-1", 4)] });
});

test("an entry asks another one only for changes that it may lack", () => {
  const { list } = createList();
  const other = createList().list;
  for (const read of [list, other]) read.markLoaded();
  const compare = () =>
    list.compare(OTHER, {
      checksum: other.checksum,
      changeCount: other.changeCount,
    });
  expect(compare()).toBeUndefined();
  other.apply(news("i-1", 1));
  other.apply(news("i-2", 2));
  expect(compare()).toBe(0);
  const { upTo, news: told } = other.changesAfter(0);
  for (const change of told) list.apply(change);
  list.recordSynced(OTHER, upTo);
  expect(compare()).toBeUndefined();
  // A change that this entry has and the other lacks is nothing to ask for.
  list.apply(news("i-3", 3));
  expect(compare()).toBeUndefined();
  other.apply(news("i-4", 4));
  expect(compare()).toBe(2);
  list.forgetPeer(OTHER);
  expect(compare()).toBe(0);
});

test("an entry does not ask again for changes that are no longer kept", () => {
  const { clock, list } = createList();
  list.markLoaded();
  list.apply(news("i-1", 1));
  clock.nowMs = 20_000;
  list.apply(news("i-2", 2));
  expect(list.changesAfter(0)).toEqual({ upTo: 2, news: [news("i-2", 2)] });
  expect(list.changesAfter(2)).toEqual({ upTo: 2, news: [] });
});

test("more changes than fit into one answer come with the next one", () => {
  const { list } = createList();
  list.markLoaded();
  for (let at = 1; at <= 2_500; at++) list.apply(news(`i-${at}`, at));
  const first = list.changesAfter(0);
  expect(first.news.length).toBe(2_000);
  const second = list.changesAfter(first.upTo);
  expect(second.news.length).toBe(500);
  expect(second.upTo).toBe(2_500);
});

test("equal lists have equal checksums, in whatever order they came", () => {
  const { list } = createList();
  const other = createList().list;
  for (const revision of [1, 2, 3]) list.apply(news(`i-${revision}`, revision));
  for (const revision of [3, 2, 1]) {
    other.apply(news(`i-${revision}`, revision));
  }
  expect(list.checksum).toBe(other.checksum);
  other.apply(news("i-2", 2, false));
  expect(list.checksum).not.toBe(other.checksum);
});

test("a list that differs from another entry's for long is doubtful until it is read", () => {
  const { clock, list } = createList();
  list.apply(news("i-1", 1));
  list.markLoaded();
  clock.nowMs = 10_000;
  list.compare(OTHER, { checksum: list.checksum + 1, changeCount: 0 });
  clock.nowMs += 1_000;
  list.compare(OTHER, { checksum: list.checksum + 1, changeCount: 0 });
  expect(list.needsRelist).toBe(false);
  clock.nowMs += 1_000;
  expect(list.needsRelist).toBe(true);
  list.markLoaded();
  expect(list.needsRelist).toBe(false);
  list.compare(OTHER, { checksum: list.checksum, changeCount: 0 });
  clock.nowMs += 10_000;
  expect(list.needsRelist).toBe(false);
});
