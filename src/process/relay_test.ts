/** When a relay stops using a server whose registration changed. */

import { expect, test } from "vitest";
import { createRelay, createServer } from "../../tests/relay/scripted.ts";
import type { ObjectRevision } from "../ids.ts";

test("after an outage, an unusable registration is no missing one that may return", () => {
  const change = {
    name: "i-1",
    revision: 2 as ObjectRevision,
    server: undefined,
  };
  const unusable = createRelay([createServer("i-1")]);
  unusable.applyServerChanges([change], true);
  expect(unusable.servers.view("i-1")).toBeUndefined();
  const removed = createRelay([createServer("i-1")]);
  removed.applyServerChanges([{ ...change, isRemoved: true }], true);
  expect(removed.servers.view("i-1")).toBeDefined();
  removed.applyServerChanges([{ ...change, isRemoved: true }], false);
  expect(removed.servers.view("i-1")).toBeUndefined();
});

test("an entry without links shares the budget of retries with those that are registered", () => {
  const relay = createRelay([createServer("i-1")], { retryAllowance: 30 });
  relay.setRegisteredEntryCount(3);
  let retries = 0;
  while (relay.context.retryBudget.takeRetry("engines")) retries++;
  // Four fifths of a third of 30.
  expect(retries).toBe(8);
});
