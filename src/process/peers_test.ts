/** Links to other entries: whom an entry dials, and how often. */

import { createServer, type Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { reservePort } from "../../bench/reserve_port.ts";
import { InstanceState } from "../connection/instance.ts";
import type { GossipDigest } from "../connection/peer_protocol.ts";
import type { EntryId } from "../ids.ts";
import { Peers } from "./peers.ts";

const HOST = "127.0.0.1";
const INTERVAL_MS = 50;
const WATCHED_MS = 2_000;
const WORK_PLACED = 20;
const WORK_EACH_MS = 25;
/** Time in which the last digest has surely arrived. */
const ARRIVED_MS = 200;

const closing: (() => void)[] = [];

afterEach(() => {
  for (const close of closing.splice(0)) close();
});

function createPeers(entry: string, heard: string[] = []): Peers {
  const peers = Peers.create({
    entry: entry as EntryId,
    key: "key",
    log: () => undefined,
    digestIntervalMs: INTERVAL_MS,
    createDigest: () => ({ kind: "digest", entry }) as unknown as GossipDigest,
    onDigest: (digest) => heard.push(digest.entry),
    readChunk: () => undefined,
  });
  closing.push(() => peers.close());
  return peers;
}

/** Lists one entry that can be reached, and others that are not dialled. */
function know(peers: Peers, name: string, port: number, others = 0): void {
  const names = Array.from({ length: others }, (_, at) => `other-${at}`);
  peers.setInstances([name, ...names].map((listed, at) => ({
    name: listed,
    address: `${HOST}:${at === 0 ? port : 1}`,
    role: "entry",
    state: InstanceState.Live,
  })));
}

/** Listens and ends every connection at once; counts them. */
async function listenInVain(port: number): Promise<() => number> {
  let count = 0;
  const server: Server = createServer((socket) => {
    count++;
    socket.destroy();
  });
  await new Promise<void>((resolve) => server.listen(port, HOST, resolve));
  closing.push(() => server.close());
  return () => count;
}

test("an entry that can't be reached is dialled more and more seldom", async () => {
  const port = await reservePort();
  const count = await listenInVain(port);
  know(createPeers("a"), "b", port);
  await sleep(WATCHED_MS);
  // At 0, 0.15, 0.45, 1.05 s and so on, instead of 40 times.
  expect(count()).toBeGreaterThanOrEqual(3);
  expect(count()).toBeLessThanOrEqual(6);
});

test("an entry that comes back is linked again within the longest pause", async () => {
  const heard: string[] = [];
  const port = await reservePort();
  const peers = createPeers("a", heard);
  know(peers, "b", port);
  await sleep(1_000);
  const back = createPeers("b");
  await back.listen(HOST, port);
  await expect.poll(() => heard.includes("b"), { timeout: 2_500 }).toBe(true);
});

test("where there are many entries each hears from its peers half as often, and not of each placement", async () => {
  const counts: number[] = [];
  const told: number[] = [];
  for (const others of [0, 20]) {
    const heard: string[] = [];
    const port = await reservePort();
    const peer = createPeers("b", heard);
    await peer.listen(HOST, port);
    const peers = createPeers("a");
    // The name decides who is dialled: this one is among the first six of all.
    know(peers, "b", port, others);
    await expect.poll(() => heard.length).toBeGreaterThan(0);
    heard.length = 0;
    await sleep(WATCHED_MS);
    counts.push(heard.length);
    heard.length = 0;
    for (let placed = 0; placed < WORK_PLACED; placed++) {
      peers.schedulePlacementBroadcast();
      await sleep(WORK_EACH_MS);
    }
    await sleep(ARRIVED_MS);
    told.push(heard.length);
  }
  const [few = 0, many = 0] = counts;
  expect(many / few).toBeGreaterThan(0.4);
  expect(many / few).toBeLessThan(0.6);
  // Besides the digests of that time, work is told one by one to few only.
  const [toFew = 0, toMany = 0] = told;
  expect(toFew).toBeGreaterThanOrEqual(WORK_PLACED);
  expect(toMany).toBeLessThan(WORK_PLACED);
});
