/** Which of the servers that are registered at one address are used. */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { Fencing, ObjectKind } from "../version/types.ts";
import type { RegisteredServer } from "./registered_server.ts";
import {
  RegisteredServers,
  type RegisteredServersOptions,
} from "./registered_servers.ts";
import { REPLACED_MS } from "./server_addresses.ts";
import { ServerFailure } from "./server_ejection.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function createServers(
  changes: Partial<RegisteredServersOptions> = {},
): RegisteredServers {
  return RegisteredServers.create({
    now: () => 1_000,
    random: () => 0,
    log: () => undefined,
    kvCacheTokensOf: () => Number.POSITIVE_INFINITY,
    onCapacityAvailable: () => undefined,
    onHoldOff: () => undefined,
    onFewerServers: () => undefined,
    ...changes,
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
  vi.advanceTimersByTime(REPLACED_MS);
  expect(usableNames(servers)).toEqual(["second"]);
  servers.delete("second");
  servers.eject("first", ServerFailure.Broken);
  expect(usableNames(servers)).toEqual([]);
});

test("a copy of a registration under a service that isn't configured takes no server away", () => {
  const services = new Set(["s"]);
  const servers = createServers({
    isKnownService: (service) => services.has(service),
  });
  const listCopy = (startedMs: number) =>
    servers.set(createServer("copy", startedMs, { service: "inventory" }));
  servers.set(createServer("runner", 1));
  listCopy(1);
  listCopy(9e15);
  expect(usableNames(servers)).toContain("runner");
  services.add("inventory");
  servers.refreshServices();
  expect(usableNames(servers)).toContain("runner");
  listCopy(9e15 + 1);
  expect(usableNames(servers)).toEqual(["copy"]);
  services.delete("inventory");
  servers.refreshServices();
  expect(usableNames(servers)).toContain("runner");
});

test("servers that were listed before the configuration are used once it names no service of the later ones", () => {
  let isConfigured = false;
  const servers = createServers({
    isKnownService: (service) => !isConfigured || service === "s",
  });
  servers.set(createServer("runner", 1));
  servers.set(createServer("copy", 1, { service: "inventory" }));
  isConfigured = true;
  servers.refreshServices();
  expect(usableNames(servers)).toContain("runner");
});

test("a server that has just responded is not replaced at its address", () => {
  const servers = createServers();
  servers.set(createServer("runner", 1));
  servers.recordActivity("runner");
  servers.set(createServer("copy", 9e15, { service: "other" }));
  expect(usableNames(servers)).toContain("runner");
});

test("a registration that is rewritten all the time takes a server away for seconds at most", () => {
  const servers = createServers();
  servers.set(createServer("runner", 1));
  for (let startedMs = 2; startedMs < 100; startedMs++) {
    servers.set(createServer("copy", startedMs, { service: "other" }));
    vi.advanceTimersByTime(REPLACED_MS / 10);
  }
  expect(usableNames(servers)).toEqual(["runner", "copy"]);
});

test("a server of another service that reuses an address replaces the former one", () => {
  const servers = createServers();
  servers.set(createServer("former", 1));
  servers.set(createServer("present", 2, { service: "other" }));
  expect(usableNames(servers)).toEqual(["present"]);
});
