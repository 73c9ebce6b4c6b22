/** When a relay stops using a server whose registration changed. */

import { performance } from "node:perf_hooks";
import { expect, test } from "vitest";
import type { EntryId, ObjectRevision } from "../ids.ts";
import { Fencing, ObjectKind } from "../version/types.ts";
import { Relay } from "./relay.ts";

function createRelay(): Relay {
  const relay = Relay.create({
    entry: "entry-1" as EntryId,
    log: () => undefined,
    fetchReport: () => Promise.resolve(undefined),
    copyKvCache: () => Promise.reject(new Error("no servers")),
    releaseKvCopy: () => Promise.resolve(),
    now: () => performance.now(),
    random: () => 0,
    retryRatio: 1,
    retryAllowance: 1,
    retryWindowMs: 1_000,
  });
  const revision = 1 as ObjectRevision;
  const server = {
    kind: ObjectKind.BackendServer as const,
    name: "i-1",
    address: "10.0.0.1:80",
    zone: "a",
    service: "s",
    slots: 4,
    fencing: Fencing.Ignored,
    isLeaving: false,
    startedMs: 1,
  };
  const listed = [{ name: "i-1", revision, server }];
  relay.replaceServerList(listed, { revision, isAfterOutage: false });
  return relay;
}

test("after an outage, an unusable registration is no missing one that may return", () => {
  const change = {
    name: "i-1",
    revision: 2 as ObjectRevision,
    server: undefined,
  };
  const unusable = createRelay();
  unusable.applyServerChanges([change], true);
  expect(unusable.servers.view("i-1")).toBeUndefined();
  const removed = createRelay();
  removed.applyServerChanges([{ ...change, isRemoved: true }], true);
  expect(removed.servers.view("i-1")).toBeDefined();
  removed.applyServerChanges([{ ...change, isRemoved: true }], false);
  expect(removed.servers.view("i-1")).toBeUndefined();
});
