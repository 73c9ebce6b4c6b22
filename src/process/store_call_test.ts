/**
 * Guards which call a watch makes: a wrong one hides a change, reads versions
 * that newer ones have replaced, or is made by every entry.
 */

import { expect, test } from "vitest";
import {
  chooseStoreCall,
  StoreCall,
  type StoreReadState,
} from "./store_call.ts";

const READER: StoreReadState = {
  isReader: true,
  mustRelist: false,
  hasRevision: true,
  followsNewestOnly: true,
  mayHaveMissedVersions: false,
  mayHavePassedOver: false,
  listAgeMs: 60_000,
};

test.each<readonly [string, Partial<StoreReadState>, StoreCall]>([
  ["a reader waits for changes", {}, StoreCall.Watch],
  ["the first call lists", { hasRevision: false }, StoreCall.List],
  ["others read", { isReader: false }, StoreCall.None],
  [
    "others read, and versions accumulate",
    { isReader: false, mayHaveMissedVersions: true },
    StoreCall.None,
  ],
  [
    "others read, and a list was requested",
    { isReader: false, mustRelist: true },
    StoreCall.List,
  ],
  [
    "only the newest of accumulated versions is read",
    { mayHaveMissedVersions: true },
    StoreCall.List,
  ],
  [
    "every change since the last call counts",
    { mayHaveMissedVersions: true, followsNewestOnly: false },
    StoreCall.Watch,
  ],
  [
    "a change may have been passed over",
    { mayHavePassedOver: true },
    StoreCall.List,
  ],
  [
    "the same, right after a list",
    { mayHavePassedOver: true, listAgeMs: 999 },
    StoreCall.Watch,
  ],
])("next call to the store: %s", (_, overrides, call) => {
  expect(chooseStoreCall({ ...READER, ...overrides })).toBe(call);
});
