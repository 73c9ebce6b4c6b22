/** Tests the responses to peers that request the configuration. */

import { expect, test } from "vitest";
import { reservePort } from "../../bench/reserve_port.ts";
import {
  createEmptyRelay,
  createRouteTable,
} from "../../tests/relay/scripted.ts";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import { PeerLink } from "../connection/peer_link.ts";
import { hashText } from "../hashing.ts";
import type { ContentHash, EntryId, ObjectRevision } from "../ids.ts";
import { StoreSync } from "./store_sync.ts";

const HOST = "127.0.0.1";
const REVISION = 1 as ObjectRevision;

/** A store that holds one object of each kind and never changes. */
function createStore(spec: unknown): ObjectStore {
  const object: StoredObject = {
    name: "main",
    revision: REVISION,
    spec,
    status: null,
  };
  return {
    list: () => Promise.resolve({ objects: [object], revision: REVISION }),
    watch: () => new Promise(() => undefined),
    read: () => Promise.resolve(object),
    create: () => Promise.resolve(object),
    replace: () => Promise.resolve(object),
    remove: () => Promise.resolve(),
    close: () => undefined,
  };
}

async function startStoreSync(spec: unknown) {
  const relay = createEmptyRelay();
  const peerPort = await reservePort();
  const storeSync = StoreSync.create({
    entry: "entry-1" as EntryId,
    host: HOST,
    peerPort,
    deployment: "deployment",
    objects: createStore(spec),
    configuration: {
      kind: "config",
      name: "main",
      parse: () => createRouteTable(1),
    },
    servers: { kind: "servers", parse: () => undefined },
    heartbeatMs: 1_200,
    relay,
    log: () => undefined,
    random: () => 0,
    onConfiguration: () => undefined,
  });
  await storeSync.start();
  await relay.configured;
  return { storeSync, peerPort, relay };
}

test.for(
  [
    [
      "nested too deeply to be sent",
      "[".repeat(100_000) + "]".repeat(100_000),
      undefined,
    ],
    ["of usual shape", '{"version":1}', "main"],
  ] as const,
)("a configuration %s is no reason to close a link", async ([, text, name]) => {
  const { storeSync, peerPort } = await startStoreSync(JSON.parse(text));
  const link = PeerLink.dial(`${HOST}:${peerPort}`, {
    key: hashText("deployment"),
    handlers: {
      onDigest: () => undefined,
      readChunk: () => undefined,
      onOpen: () => undefined,
      onClose: () => undefined,
    },
  });
  await expect.poll(() => link.isOpen).toBe(true);
  const chunk = await link.requestChunk("small-configuration" as ContentHash);
  expect(chunk === undefined ? undefined : JSON.parse(chunk).name).toBe(name);
  expect(link.isOpen).toBe(true);
  link.close();
  await storeSync.close();
});

test("an entry whose registration is gone still counts itself beside the registered ones", async () => {
  const { storeSync, relay } = await startStoreSync({
    address: `${HOST}:1`,
  });
  await expect.poll(() => relay.entryCount).toBe(2);
  await storeSync.close();
});
