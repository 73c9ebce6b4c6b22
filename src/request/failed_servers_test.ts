/** Which servers the next attempt of a stream avoids after failed ones. */

import { expect, test } from "vitest";
import {
  createRelay,
  createRequest,
  createServer,
} from "../../tests/relay/scripted.ts";
import { FailureCause } from "../errors.ts";
import { FailedServers } from "./failed_servers.ts";

const A1 = createServer("a1");
const B1 = createServer("b1");

function createFailedServers() {
  const { context } = createRelay([A1, B1], { now: () => 1_000 });
  const failedServers = FailedServers.create(context, createRequest());
  return { context, failedServers };
}

test.for([
  { cause: FailureCause.Closed, isZoneSuspect: true },
  { cause: FailureCause.Unreachable, isZoneSuspect: true },
  { cause: FailureCause.Unresponsive, isZoneSuspect: true },
  { cause: FailureCause.Stalled, isZoneSuspect: false },
  { cause: FailureCause.Rejected, isZoneSuspect: false },
  { cause: FailureCause.NoResources, isZoneSuspect: false },
])(
  "$cause: the server is avoided, and its zone $isZoneSuspect",
  ({ cause, isZoneSuspect }) => {
    const { failedServers } = createFailedServers();
    failedServers.recordFailure(B1, FailureCause.Closed);
    failedServers.recordFailure(A1, cause);
    expect([...failedServers.names]).toEqual(["b1", "a1"]);
    expect(failedServers.recentFailure).toEqual(
      isZoneSuspect ? { zone: "zone-a", atMs: 1_000 } : undefined,
    );
  },
);

test("a healthy server gets one more attempt, and no third", () => {
  const { failedServers } = createFailedServers();
  failedServers.recordFailure(A1, FailureCause.Closed);
  failedServers.allowReuse(A1);
  expect([...failedServers.names]).toEqual([]);
  expect(failedServers.recentFailure).toBeUndefined();
  failedServers.recordFailure(A1, FailureCause.Closed);
  failedServers.allowReuse(A1);
  expect([...failedServers.names]).toEqual(["a1"]);
});

test("a server with a longer pause than the wait is no alternative", () => {
  const { context, failedServers } = createFailedServers();
  failedServers.add(A1);
  expect(failedServers.hasAlternative(0)).toBe(true);
  context.servers.holdOff(B1, 500);
  expect(failedServers.hasAlternative(499)).toBe(false);
  expect(failedServers.hasAlternative(500)).toBe(true);
  failedServers.add(B1);
  expect(failedServers.hasAlternative(500)).toBe(false);
  failedServers.clear();
  expect(failedServers.hasAlternative(0)).toBe(true);
});
