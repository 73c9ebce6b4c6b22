/** Tests when a silent server's attempt is replaced. */

import { expect, test } from "vitest";
import {
  createRelay,
  createRequest,
  createServer,
} from "../../tests/relay/scripted.ts";
import { ServerFailure } from "../process/server_ejection.ts";
import { ReplacementSearch } from "./attempt_replacement.ts";

const SERVERS = ["a1", "b1"].map((name) => createServer(name));

/** Returns a search away from server a1, and what became of its slots. */
function createSearch({ retryAllowance = 100, canRetry = true } = {}) {
  const relay = createRelay(SERVERS, { retryAllowance });
  const events: string[] = [];
  const grants: ((server: string) => void)[] = [];
  const search = ReplacementSearch.create<
    { readonly server: { name: string } }
  >(
    {
      context: relay.context,
      request: createRequest(),
      canRetry: () => canRetry,
      server: "a1",
      failedServers: new Set(["b1"]),
      acquire: ({ excluded }) => {
        events.push(`without ${[...excluded].join()}`);
        return new Promise((resolve) =>
          grants.push((name) => resolve({ server: { name } }))
        );
      },
      release: () => events.push("released"),
      onFound: ({ server }) => events.push(`found ${server.name}`),
    },
  );
  return { relay, search, events, grant: (name: string) => grants[0]?.(name) };
}

test("a slot at a healthy server is found, even if the request failed there before", async () => {
  const { search, events, grant } = createSearch();
  const started = search.start();
  search.start();
  grant("b1");
  await started;
  expect(events).toEqual(["without a1", "found b1"]);
});

test("a slot that is granted after the server recovered is released", async () => {
  const { search, events, grant } = createSearch();
  const started = search.start();
  search.cancel();
  grant("b1");
  await started;
  expect(events).toEqual(["without a1", "released"]);
});

test("a slot at a server that failed meanwhile is released", async () => {
  const { relay, search, events, grant } = createSearch();
  const started = search.start();
  relay.servers.eject("b1", ServerFailure.Broken);
  grant("b1");
  await started;
  expect(events).toEqual(["without a1", "released"]);
});

test("a slot is released when the retry budget was spent meanwhile", async () => {
  const { relay, search, events, grant } = createSearch({ retryAllowance: 2 });
  const started = search.start();
  const { service } = createRequest();
  while (relay.context.retryBudget.takeRetry(service)) continue;
  grant("b1");
  await started;
  expect(events).toEqual(["without a1", "released"]);
});

test("no slot is requested without an attempt, a retry or a healthy server", async () => {
  const withoutAttempt = createSearch({ canRetry: false });
  const withoutRetry = createSearch({ retryAllowance: 0 });
  const withoutServer = createSearch();
  withoutServer.relay.servers.eject("b1", ServerFailure.Broken);
  for (
    const { search, events } of [
      withoutAttempt,
      withoutRetry,
      withoutServer,
    ]
  ) {
    await search.start();
    expect(events).toEqual([]);
  }
});
