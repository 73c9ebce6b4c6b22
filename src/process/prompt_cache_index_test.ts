import { expect, test } from "vitest";
import { PromptCacheIndex } from "./prompt_cache_index.ts";

function createPlaces() {
  const clock = { nowMs: 0 };
  const places = PromptCacheIndex.create({ now: () => clock.nowMs });
  return { clock, places };
}

test("the place of an open stream stays news, for entries that start later", () => {
  const { clock, places } = createPlaces();
  const release = places.trackOpenStream("open");
  places.record("open", "i-1");
  places.record("ended", "i-2");
  clock.nowMs = 3_000;
  expect(places.digest()).toEqual([["open", "i-1"]]);
  places.record("open", "i-3");
  expect(places.digest()).toEqual([["open", "i-3"]]);
  release();
  clock.nowMs = 6_000;
  expect(places.digest()).toEqual([]);
  expect(places.findServer("open")).toBe("i-3");
});

test("what another entry told is not told again", () => {
  const { places } = createPlaces();
  const release = places.trackOpenStream("prompt");
  places.record("prompt", "i-1", false);
  expect(places.digest()).toEqual([]);
  release();
});

test("requests without a prompt share no place", () => {
  const places = PromptCacheIndex.create({ now: () => 0 });
  places.record("", "i-1");
  expect(places.findServer("")).toBeUndefined();
  expect(places.digest()).toEqual([]);
});
