import { expect, test } from "vitest";
import { PromptPlaces } from "./prompt_places.ts";

function createPlaces() {
  const clock = { nowMs: 0 };
  const places = PromptPlaces.create({ now: () => clock.nowMs });
  return { clock, places };
}

test("the place of an open stream stays news, for entries that start later", () => {
  const { clock, places } = createPlaces();
  const release = places.hold("open");
  places.note("open", "i-1");
  places.note("ended", "i-2");
  clock.nowMs = 3_000;
  expect(places.news()).toEqual([["open", "i-1"]]);
  places.note("open", "i-3");
  expect(places.news()).toEqual([["open", "i-3"]]);
  release();
  clock.nowMs = 6_000;
  expect(places.news()).toEqual([]);
  expect(places.find("open")).toBe("i-3");
});

test("what another entry told is not told again", () => {
  const { places } = createPlaces();
  const release = places.hold("prompt");
  places.note("prompt", "i-1", false);
  expect(places.news()).toEqual([]);
  release();
});

test("requests without a prompt share no place", () => {
  const places = PromptPlaces.create({ now: () => 0 });
  places.note("", "i-1");
  expect(places.find("")).toBeUndefined();
  expect(places.news()).toEqual([]);
});
