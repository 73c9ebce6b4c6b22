import { expect, test } from "vitest";
import type { EntryId, ObjectRevision } from "../ids.ts";
import type { RegisteredServer } from "./registered_server.ts";
import { ServerList } from "./server_list.ts";

const PEER = "entry-2" as EntryId;

function createChange(name: string, revision: number, isListed = true) {
  const server = isListed ? { name } as RegisteredServer : null;
  return { name, revision: revision as ObjectRevision, server };
}

function createList() {
  const clock = { nowMs: 0 };
  const list = ServerList.create({ now: () => clock.nowMs });
  return { clock, list };
}

test("the highest revision wins, in any order of changes", () => {
  const { list } = createList();
  expect(list.apply(createChange("i-1", 5))).toBe(true);
  expect(list.apply(createChange("i-1", 4))).toBe(false);
  expect(list.apply(createChange("i-1", 5, false))).toBe(true);
  expect(list.apply(createChange("i-1", 5))).toBe(false);
  expect(list.apply(createChange("i-1", 6))).toBe(true);
});

test("a server listed after a complete list's revision is not missing from that list", () => {
  const { list } = createList();
  list.apply(createChange("old", 3));
  list.apply(createChange("new", 9));
  const missing = list.missing(new Set(), 7 as ObjectRevision);
  expect(missing.map(({ name }) => name)).toEqual(["old"]);
});

test("changes after the initial list are kept in order, the latest for each server", () => {
  const { list } = createList();
  list.apply(createChange("i-1", 1));
  list.markLoaded();
  expect(list.changesAfter(0)).toEqual({ upTo: 0, news: [] });
  list.apply(createChange("i-1", 2, false));
  list.apply(createChange("i-2", 3));
  list.apply(createChange("i-1", 4));
  expect(list.changesAfter(0).news)
    .toEqual([createChange("i-2", 3), createChange("i-1", 4)]);
  expect(list.changesAfter(2)).toEqual({
    upTo: 3,
    news: [createChange("i-1", 4)],
  });
});

test("an entry asks a peer only for changes that it may lack", () => {
  const { list } = createList();
  const peer = createList().list;
  for (const loaded of [list, peer]) loaded.markLoaded();
  const compare = () =>
    list.compare(PEER, {
      checksum: peer.checksum,
      changeCount: peer.changeCount,
    });
  expect(compare()).toBeUndefined();
  peer.apply(createChange("i-1", 1));
  peer.apply(createChange("i-2", 2));
  expect(compare()).toBe(0);
  const { upTo, news: changes } = peer.changesAfter(0);
  for (const change of changes) list.apply(change);
  list.recordSynced(PEER, upTo);
  expect(compare()).toBeUndefined();
  // The peer lacks a change of this list, which is no reason to ask it.
  list.apply(createChange("i-3", 3));
  expect(compare()).toBeUndefined();
  peer.apply(createChange("i-4", 4));
  expect(compare()).toBe(2);
  list.forgetPeer(PEER);
  expect(compare()).toBe(0);
});

test("expired changes are skipped, so that a peer does not ask for them again", () => {
  const { clock, list } = createList();
  list.markLoaded();
  list.apply(createChange("i-1", 1));
  clock.nowMs = 20_000;
  list.apply(createChange("i-2", 2));
  expect(list.changesAfter(0)).toEqual({
    upTo: 2,
    news: [createChange("i-2", 2)],
  });
  expect(list.changesAfter(2)).toEqual({ upTo: 2, news: [] });
});

test("changes beyond one batch come in the next one", () => {
  const { list } = createList();
  list.markLoaded();
  for (let i = 1; i <= 2_500; i++) list.apply(createChange(`i-${i}`, i));
  const first = list.changesAfter(0);
  expect(first.news.length).toBe(2_000);
  const second = list.changesAfter(first.upTo);
  expect(second.news.length).toBe(500);
  expect(second.upTo).toBe(2_500);
});

test("equal lists have equal checksums, in any order of their changes", () => {
  const { list } = createList();
  const peer = createList().list;
  for (const rev of [1, 2, 3]) list.apply(createChange(`i-${rev}`, rev));
  for (const rev of [3, 2, 1]) {
    peer.apply(createChange(`i-${rev}`, rev));
  }
  expect(list.checksum).toBe(peer.checksum);
  peer.apply(createChange("i-2", 2, false));
  expect(list.checksum).not.toBe(peer.checksum);
});

test("a list that stays different from a peer's needs a reload", () => {
  const { clock, list } = createList();
  list.apply(createChange("i-1", 1));
  list.markLoaded();
  clock.nowMs = 10_000;
  list.compare(PEER, { checksum: list.checksum + 1, changeCount: 0 });
  clock.nowMs += 1_000;
  list.compare(PEER, { checksum: list.checksum + 1, changeCount: 0 });
  expect(list.needsRelist).toBe(false);
  clock.nowMs += 1_000;
  expect(list.needsRelist).toBe(true);
  list.markLoaded();
  expect(list.needsRelist).toBe(false);
  list.compare(PEER, { checksum: list.checksum, changeCount: 0 });
  clock.nowMs += 10_000;
  expect(list.needsRelist).toBe(false);
});
