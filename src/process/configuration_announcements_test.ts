/** Tests which announcements of configurations are known, and since when. */

import { expect, test } from "vitest";
import type { EntryId } from "../ids.ts";
import { ConfigurationAnnouncements } from "./configuration_announcements.ts";

function createAnnouncements() {
  const announcements = ConfigurationAnnouncements.create<null>();
  const announce = (peer: string, version: number, heardMs: number) =>
    announcements.record(
      { peer: peer as EntryId, version, link: null, heardMs },
      1,
    );
  return { announcements, announce };
}

test("the newest version comes first, then the peer that was heard last", () => {
  const { announcements, announce } = createAnnouncements();
  announce("early", 3, 10);
  announce("late", 3, 20);
  announce("newest", 4, 5);
  announce("same-as-here", 1, 30);
  const peers = () => announcements.newerThan(1).map(({ peer }) => peer);
  expect(peers()).toEqual(["newest", "late", "early"]);
  announcements.forgetPeer("newest" as EntryId);
  expect(peers()).toEqual(["late", "early"]);
});

test("an entry is behind since the first version that it lacks was announced", () => {
  const { announcements, announce } = createAnnouncements();
  expect(announcements.behindMs(50)).toBe(0);
  announce("a", 2, 100);
  announce("b", 2, 150);
  announce("a", 3, 300);
  expect(announcements.behindMs(400)).toBe(300);
  announcements.markAdopted(2);
  expect(announcements.behindMs(400)).toBe(100);
  announcements.markAdopted(3);
  expect(announcements.behindMs(400)).toBe(0);
});
