/** Tests that an entry follows the store to another address. */

import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { promisify } from "node:util";
import { expect, test } from "vitest";
import { HOST, startLocalEntry } from "./local_platform_entry.ts";

/** Time in which the delays between failed calls grow to their limit, in ms. */
const OUTAGE_MS = 2_000;
/** Less than such a delay, in ms. */
const TAKEOVER_MAX_MS = 300;

/** A store that is unavailable, and notes the paths of calls. */
async function startStore(paths: Set<string>): Promise<Server> {
  const server = createServer((request, response) => {
    paths.add(new URL(request.url ?? "", "http://store").pathname);
    response.writeHead(503).end();
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return server;
}

function addressOf(server: Server): string {
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}

test("a changed address of the store is used at once, and the connections to the old one close", async () => {
  const oldPaths = new Set<string>();
  const paths = new Set<string>();
  const oldStore = await startStore(oldPaths);
  const store = await startStore(paths);
  const { entry, settings } = await startLocalEntry(
    "entry-1",
    addressOf(oldStore),
  );
  await sleep(OUTAGE_MS);
  entry.applySettings({ ...settings, storeAddress: addressOf(store) });
  await expect.poll(() => [...paths], { timeout: TAKEOVER_MAX_MS })
    .toEqual(
      expect.arrayContaining(["/v1/objects/config", "/v1/objects/servers"]),
    );
  const countConnections = promisify(oldStore.getConnections.bind(oldStore));
  await expect.poll(() => countConnections()).toBe(0);
  oldPaths.clear();
  await sleep(OUTAGE_MS);
  expect([...oldPaths]).toEqual([]);
  await entry.close();
  store.close();
  oldStore.close();
});
