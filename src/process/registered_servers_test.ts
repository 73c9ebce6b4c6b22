/** Which of the servers that are registered at one address are used. */

import { expect, test } from "vitest";
import { Fencing, ObjectKind } from "../version/types.ts";
import type { RegisteredServer } from "./registered_server.ts";
import { RegisteredServers } from "./registered_servers.ts";
import { ServerFailure } from "./server_ejection.ts";

function createServers(): RegisteredServers {
  return RegisteredServers.create({
    now: () => 1_000,
    random: () => 0,
    log: () => undefined,
    kvCacheTokensOf: () => Number.POSITIVE_INFINITY,
    onCapacityAvailable: () => undefined,
    onHoldOff: () => undefined,
    onFewerServers: () => undefined,
  });
}

function createServer(
  name: string,
  startedMs: number,
  changes: Partial<RegisteredServer> = {},
): RegisteredServer {
  return {
    kind: ObjectKind.BackendServer,
    name,
    address: "10.0.0.1:80",
    zone: "a",
    service: "s",
    slots: 4,
    fencing: Fencing.Ignored,
    isLeaving: false,
    startedMs,
    ...changes,
  };
}

function usableNames(servers: RegisteredServers): readonly string[] {
  return [...servers.views()]
    .filter(({ ejectedUntilMs }) => ejectedUntilMs <= 1_000)
    .map(({ server }) => server.name);
}

test("a server is used again once all later ones at its address are gone or moved", () => {
  const servers = createServers();
  servers.set(createServer("first", 1));
  servers.set(createServer("second", 2));
  servers.set(createServer("third", 3));
  expect(usableNames(servers)).toEqual(["third"]);
  servers.set(createServer("third", 3, { address: "10.0.0.2:80" }));
  expect(usableNames(servers)).toEqual(["second", "third"]);
  servers.delete("second");
  expect(usableNames(servers)).toEqual(["first", "third"]);
});

test("a server is used again once a later one proves not to have its address", () => {
  const servers = createServers();
  servers.set(createServer("first", 1));
  servers.set(createServer("future", 9e15));
  expect(usableNames(servers)).toEqual(["future"]);
  servers.eject("future", ServerFailure.Replaced);
  expect(usableNames(servers)).toEqual(["first"]);
});

test("a server that proved not to have its address is not used again", () => {
  const servers = createServers();
  servers.set(createServer("first", 1));
  servers.eject("first", ServerFailure.Replaced);
  servers.set(createServer("second", 2));
  servers.delete("second");
  servers.eject("first", ServerFailure.Broken);
  expect(usableNames(servers)).toEqual([]);
});
