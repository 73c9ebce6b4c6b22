import { expect, test } from "vitest";
import { PromptCacheIndex } from "./prompt_cache_index.ts";

function createIndex() {
  const clock = { nowMs: 0 };
  const index = PromptCacheIndex.create({ now: () => clock.nowMs });
  return { clock, index };
}

test("the prompt of an open stream stays in the digests, for entries that start later", () => {
  const { clock, index } = createIndex();
  const release = index.trackOpenStream("open");
  index.record("open", "i-1");
  index.record("ended", "i-2");
  clock.nowMs = 3_000;
  expect(index.digest()).toEqual([["open", "i-1"]]);
  index.record("open", "i-3");
  expect(index.digest()).toEqual([["open", "i-3"]]);
  release();
  clock.nowMs = 6_000;
  expect(index.digest()).toEqual([]);
  expect(index.findServer("open")).toBe("i-3");
});

test("a location learned from a peer entry is not in the digests", () => {
  const { index } = createIndex();
  const release = index.trackOpenStream("prompt");
  index.record("prompt", "i-1", false);
  expect(index.digest()).toEqual([]);
  release();
});

test("the empty prompt has no location", () => {
  const index = PromptCacheIndex.create({ now: () => 0 });
  index.record("", "i-1");
  expect(index.findServer("")).toBeUndefined();
  expect(index.digest()).toEqual([]);
});
