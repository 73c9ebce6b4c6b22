/**
 * Requests that wait while no server is known, as after the loss of all entries,
 * when the list of servers arrives.
 */

import { expect, test } from "vitest";
import type { ObjectRevision } from "../../src/ids.ts";
import type { Relay, ServerChange } from "../../src/process/relay.ts";
import { createDispatchRequest } from "../../src/request/acquire_slot.ts";
import { createEmptyRelay, createRequest, createServer } from "./scripted.ts";

const SERVERS = 12;
const REQUESTS = 12;

function createChanges(): readonly ServerChange[] {
  return Array.from({ length: SERVERS }, (_, at) => ({
    name: `a${at}`,
    revision: (at + 1) as ObjectRevision,
    server: createServer(`a${at}`, { slots: 12 }),
  }));
}

/** Has requests wait; returns the names of the servers that they get. */
function waitForServers(relay: Relay): readonly string[] {
  const names: string[] = [];
  for (let at = 0; at < REQUESTS; at++) {
    const request = createRequest({ promptKey: `prompt-${at}` });
    const waiting = createDispatchRequest(request, {
      excluded: new Set(),
      waitMs: 5_000,
      signal: new AbortController().signal,
      isResumed: false,
      onAssigned: (name) => names.push(name),
    });
    relay.context.dispatcher.reserve(waiting).catch(() => undefined);
  }
  return names;
}

function mostAtOneServer(names: readonly string[]): number {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  return Math.max(...counts.values());
}

test.each<[string, (relay: Relay, changes: readonly ServerChange[]) => void]>([
  ["a list", (relay, changes) =>
    relay.replaceServerList(changes, {
      revision: SERVERS as ObjectRevision,
      isAfterOutage: false,
    })],
  [
    "changes from the store",
    (relay, changes) => relay.applyServerChanges(changes, false),
  ],
  [
    "changes from a peer",
    (relay, changes) =>
      relay.mergeServerChanges("entry-2" as never, {
        upTo: SERVERS,
        news: changes.map(({ name, revision, server }) => ({
          name,
          revision,
          server: server ?? null,
        })),
      }),
  ],
])("waiting requests are spread over all servers of %s", (_, apply) => {
  const relay = createEmptyRelay();
  const names = waitForServers(relay);
  apply(relay, createChanges());
  expect(names).toHaveLength(REQUESTS);
  expect(mostAtOneServer(names)).toBeLessThanOrEqual(2);
});
