/** Tests how an entry requests the configuration, and answers peers that do. */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { WebSocket } from "ws";
import { reservePort } from "../../bench/reserve_port.ts";
import {
  createEmptyRelay,
  createRouteTable,
} from "../../tests/relay/scripted.ts";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import { PeerLink } from "../gossip/peer_link.ts";
import {
  type GossipDigest,
  packMessage,
  PEER_KEY_HEADER,
  PEER_PATH,
  PeerMessageKind,
} from "../gossip/peer_protocol.ts";
import { PlatformUnavailable } from "../errors.ts";
import { hashText } from "../hashing.ts";
import type {
  ContentHash,
  CrashCause,
  EntryId,
  ObjectRevision,
  RequestId,
} from "../ids.ts";
import { RunStage } from "./crash_evidence.ts";
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
    replaceStatus: () => Promise.resolve(undefined),
    close: () => undefined,
  };
}

async function startStoreSync(
  spec: unknown,
  read?: ObjectStore["read"],
) {
  const relay = createEmptyRelay();
  const peerPort = await reservePort();
  const storeSync = StoreSync.create({
    zone: "zone-a",
    entry: "entry-1" as EntryId,
    host: HOST,
    peerPort,
    deployment: "deployment",
    objects: { ...createStore(spec), ...read !== undefined && { read } },
    configuration: {
      kind: "config",
      name: "main",
      parse: (parsed) =>
        createRouteTable((parsed as { version?: number }).version ?? 1),
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

test("a peer whose link was down learns of a crash when it opens", async () => {
  const { storeSync, peerPort, relay } = await startStoreSync({});
  const { crashAccount, now } = relay.context;
  const causes = {
    id: "1" as RequestId,
    request: "request 1" as CrashCause,
    parts: [],
  };
  crashAccount.recordCrash(causes, {
    server: "server",
    zone: "zone",
    atMs: now(),
    stage: RunStage.Calling,
  });
  // Digests no longer tell of it.
  await sleep(1_500);
  const known = new Set<string>();
  const link = PeerLink.dial(`${HOST}:${peerPort}`, {
    key: hashText("deployment"),
    handlers: {
      onDigest: ({ orders }) => {
        for (const { server } of orders?.crashAccount?.crashes ?? []) {
          known.add(server);
        }
      },
      readChunk: () => undefined,
      onOpen: () => undefined,
      onClose: () => undefined,
    },
  });
  await expect.poll(() => [...known]).toEqual(["server"]);
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

/** Time in which a configuration is in force in every entry, in ms. */
const APPLY_LIMIT_MS = 2_000;
const DIGEST_INTERVAL_MS = 150;
const STORE_TIMEOUT_MS = 800;

function createConfiguration(version: number, size: number): StoredObject {
  const spec = { version, filler: "x".repeat(size) };
  return { name: "main", revision: REVISION, spec, status: null };
}

function createDigest(entry: string, configuration: number): GossipDigest {
  return {
    kind: PeerMessageKind.Digest,
    entry: entry as EntryId,
    head: null,
    suspicions: [],
    orders: {
      configuration,
      loads: [],
      prompts: [],
      changes: 0,
      listed: 0,
      readers: [],
      dead: [],
    },
  };
}

/** Links a peer that announces version 2 and answers nothing. */
async function linkSilentPeer(address: string, name: string) {
  const socket = new WebSocket(`ws://${address}${PEER_PATH}`, {
    headers: { [PEER_KEY_HEADER]: hashText("deployment") },
  });
  await new Promise((resolve) => socket.once("open", resolve));
  socket.send(packMessage(createDigest(name, 2)));
  return socket;
}

/** Links a peer that holds version 2 and sends digests. */
async function linkSoundPeer(address: string, stored: StoredObject) {
  const link = PeerLink.dial(address, {
    key: hashText("deployment"),
    handlers: {
      onDigest: () => undefined,
      readChunk: (name) => {
        const text = JSON.stringify(stored);
        const isSmall = name.startsWith("small-");
        return isSmall && text.length > 65_536 ? undefined : text;
      },
      onOpen: () => undefined,
      onClose: () => undefined,
    },
  });
  await expect.poll(() => link.isOpen).toBe(true);
  const sendDigest = () => link.send(createDigest("sound", 2));
  const timer = setInterval(sendDigest, DIGEST_INTERVAL_MS);
  return { close: () => (clearInterval(timer), link.close()) };
}

const REFUSING: ObjectStore["read"] = () =>
  Promise.reject(new PlatformUnavailable("unexpected status 503"));
const SILENT: ObjectStore["read"] = async () => {
  await sleep(STORE_TIMEOUT_MS);
  throw new PlatformUnavailable(`no response within ${STORE_TIMEOUT_MS} ms`);
};

test.for(
  [
    ["a small configuration", "refuses", 100, 1, REFUSING],
    ["a small configuration", "is silent to", 100, 1, SILENT],
    ["a large configuration", "refuses", 200_000, 2, REFUSING],
    ["a large configuration", "is silent to", 200_000, 2, SILENT],
  ] as const,
)(
  "silent peers don't keep %s that another peer holds from an entry that the store %s",
  async ([, , size, silentPeers, read]) => {
    const { storeSync, peerPort, relay } = await startStoreSync(
      { version: 1 },
      read,
    );
    const address = `${HOST}:${peerPort}`;
    const startMs = performance.now();
    const silent = await Promise.all(
      Array.from(
        { length: silentPeers },
        (_, at) => linkSilentPeer(address, `silent-${at}`),
      ),
    );
    const sound = await linkSoundPeer(address, createConfiguration(2, size));
    await expect.poll(
      () => relay.configurationVersion,
      { timeout: 5_000, interval: 10 },
    ).toBe(2);
    expect(performance.now() - startMs).toBeLessThan(APPLY_LIMIT_MS);
    for (const socket of silent) socket.terminate();
    sound.close();
    await storeSync.close();
  },
);
