/**
 * A server that announced leaving in a response gets no new requests, in any
 * order of its responses, digests, list changes and restarts.
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import { Fencing, ObjectKind } from "../version/types.ts";
import {
  addLeavingServer,
  DrainingSource,
  isKnownLeaving,
  LEAVING_RETENTION_MS,
  NO_LEAVING_SERVERS,
  parseLeavingServers,
  recentlyLeaving,
  type ServerIncarnation,
  updateListing,
} from "./leaving_servers.ts";
import type { RegisteredServer } from "./registered_server.ts";
import { RegisteredServers } from "./registered_servers.ts";

const SERVICE = "s";
const NAMES = ["i-1", "i-2", "i-3"];
const ADDRESSES = ["10.0.0.1:80", "10.0.0.2:80"];

interface Change {
  readonly kind:
    | "listed"
    | "listed as draining"
    | "removed"
    | "answer"
    | "peer"
    | "reinstated"
    | "found unreachable by a peer";
  readonly incarnation: ServerIncarnation;
  /** Time since the last change, in ms. */
  readonly afterMs: number;
}

const INCARNATIONS = fc.record({
  name: fc.constantFrom(...NAMES),
  address: fc.constantFrom(...ADDRESSES),
  startedMs: fc.integer({ min: 0, max: 3 }),
});

const CHANGES: fc.Arbitrary<readonly Change[]> = fc.array(
  fc.record({
    kind: fc.constantFrom<Change["kind"]>(
      "listed",
      "listed as draining",
      "removed",
      "answer",
      "peer",
      "reinstated",
      "found unreachable by a peer",
    ),
    incarnation: INCARNATIONS,
    afterMs: fc.integer({ min: 0, max: LEAVING_RETENTION_MS / 40 }),
  }),
  { maxLength: 40 },
);

function createServer(
  incarnation: ServerIncarnation,
  isLeaving: boolean,
): RegisteredServer {
  return {
    kind: ObjectKind.BackendServer,
    ...incarnation,
    zone: incarnation.name,
    service: SERVICE,
    slots: 4,
    fencing: Fencing.Ignored,
    isLeaving,
  };
}

function keyOf({ name, address, startedMs }: ServerIncarnation): string {
  return `${name} ${address} ${startedMs}`;
}

/** A set of servers, and a record of their announcements. */
function createRecordedServers() {
  const clock = { nowMs: 0 };
  const servers = RegisteredServers.create({
    now: () => clock.nowMs,
    random: () => 0,
    log: () => undefined,
    kvCacheTokensOf: () => Number.POSITIVE_INFINITY,
    onCapacityAvailable: () => undefined,
    onHoldOff: () => undefined,
    onFewerServers: () => undefined,
  });
  const announcedByServer = new Set<string>();
  const announcedByPeer = new Set<string>();
  const listed = new Map<string, RegisteredServer>();
  const apply = ({ kind, incarnation, afterMs }: Change) => {
    const { name } = incarnation;
    clock.nowMs += afterMs;
    switch (kind) {
      case "listed":
      case "listed as draining": {
        const server = createServer(incarnation, kind !== "listed");
        listed.set(name, server);
        return servers.set(server);
      }
      case "removed":
        listed.delete(name);
        return servers.delete(name);
      case "answer":
        announcedByServer.add(keyOf(incarnation));
        return servers.markLeaving(incarnation, DrainingSource.Answer);
      case "peer": {
        const server = listed.get(name);
        if (server !== undefined && keyOf(server) === keyOf(incarnation)) {
          announcedByPeer.add(keyOf(incarnation));
        }
        return servers.markLeaving(incarnation, DrainingSource.Peer);
      }
      case "reinstated":
        return servers.reinstate(name);
      case "found unreachable by a peer":
        return servers.applyPeerEjection(name);
    }
  };
  const isDraining = (server: RegisteredServer) =>
    server.isLeaving || announcedByServer.has(keyOf(server)) ||
    announcedByPeer.has(keyOf(server));
  return { servers, listed, apply, isDraining };
}

test("a server that announced leaving gets no new requests, in any order of changes", () => {
  fc.assert(
    fc.property(CHANGES, (changes) => {
      const { servers, listed, apply, isDraining } = createRecordedServers();
      for (const change of changes) {
        apply(change);
        const criteria = {
          service: SERVICE,
          tokens: 0,
          excluded: new Set<string>(),
        };
        const chosen = servers.choose(criteria);
        expect(chosen !== undefined && isDraining(chosen)).toBe(false);
        for (const server of [...listed.values()].filter(isDraining)) {
          expect(servers.isUsable(server.name)).toBe(false);
          expect(servers.mayHoldBackup(server.name)).toBe(false);
          const only = NAMES.filter((name) => name !== server.name);
          const others = { ...criteria, excluded: new Set(only) };
          expect(servers.canServe(others)).toBe(false);
        }
      }
    }),
    { numRuns: 500 },
  );
});

test("only servers announced as leaving by themselves, the list or a peer are draining", () => {
  fc.assert(
    fc.property(CHANGES, (changes) => {
      const { servers, listed, apply, isDraining } = createRecordedServers();
      for (const change of changes) {
        apply(change);
        const draining = [...servers.views()]
          .filter(({ server }) => server.isLeaving)
          .map(({ server }) => server.name);
        expect(new Set(draining)).toEqual(
          new Set(
            [...listed.values()].filter(isDraining).map(({ name }) => name),
          ),
        );
      }
    }),
    { numRuns: 500 },
  );
});

const INCARNATION: ServerIncarnation = {
  name: "i-1",
  address: "10.0.0.1:80",
  startedMs: 1,
};

test("a leaving server is kept while it is listed and dropped some time after", () => {
  const listed = addLeavingServer(NO_LEAVING_SERVERS, INCARNATION, {
    isListed: true,
    nowMs: 0,
  });
  const removedMs = 10 * LEAVING_RETENTION_MS;
  const removed = updateListing(listed, INCARNATION, {
    isListed: false,
    nowMs: removedMs,
  });
  const addOther = (nowMs: number) =>
    addLeavingServer(removed, { ...INCARNATION, name: "i-2" }, {
      isListed: false,
      nowMs,
    });
  const untilMs = removedMs + LEAVING_RETENTION_MS;
  expect(isKnownLeaving(addOther(untilMs), INCARNATION)).toBe(true);
  expect(isKnownLeaving(addOther(untilMs + 1), INCARNATION)).toBe(false);
  expect(addOther(untilMs + 1).size).toBe(1);
});

test.for([
  { afterMs: LEAVING_RETENTION_MS, isForgotten: false },
  { afterMs: LEAVING_RETENTION_MS + 1, isForgotten: true },
])(
  "a leaving server that has restarted is forgotten after $afterMs ms: $isForgotten",
  ({ afterMs, isForgotten }) => {
    const { servers, apply } = createRecordedServers();
    const incarnation = INCARNATION;
    const restarted = { ...incarnation, startedMs: 2 };
    const other = { ...incarnation, name: "i-2" };
    apply({ kind: "listed", incarnation, afterMs: 0 });
    apply({ kind: "answer", incarnation, afterMs: 0 });
    apply({ kind: "listed", incarnation: restarted, afterMs: 0 });
    apply({ kind: "answer", incarnation: other, afterMs });
    apply({ kind: "listed", incarnation, afterMs: 0 });
    expect(servers.isUsable(incarnation.name)).toBe(isForgotten);
  },
);

test("only some digests contain a leaving server", () => {
  const leaving = addLeavingServer(NO_LEAVING_SERVERS, INCARNATION, {
    isListed: true,
    nowMs: 0,
  });
  expect(recentlyLeaving(leaving, 300)).toEqual([INCARNATION]);
  expect(recentlyLeaving(leaving, 3_000)).toEqual([]);
});

test("a digest's list of leaving servers may hold anything", () => {
  expect(parseLeavingServers(undefined)).toEqual([]);
  fc.assert(
    fc.property(fc.anything(), fc.array(fc.anything()), (value, items) => {
      expect(Array.isArray(parseLeavingServers(value))).toBe(true);
      const parsed = parseLeavingServers([...items, INCARNATION]);
      expect(parsed.at(-1)).toEqual(INCARNATION);
    }),
  );
});
