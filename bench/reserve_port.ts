/**
 * Ports of processes that must be known before they listen, or that are taken
 * again after a restart. A port that the system hands out by itself can be
 * taken meanwhile by any outgoing connection; these lie below that range, in
 * blocks that one process holds at a time.
 */

import { createServer, type Server } from "node:net";
import process from "node:process";

/** Lowest port of the blocks; the soak's fixed ports lie below. */
const FIRST_PORT = 10_000;
/** Lowest port that Linux gives to outgoing connections unless told otherwise. */
const OUTGOING_PORT = 32_768;
/** Ports of a block; the first only shows that the block is held. */
const BLOCK_PORTS = 100;
const BLOCKS = Math.floor((OUTGOING_PORT - FIRST_PORT) / BLOCK_PORTS);
const HOST = "127.0.0.1";

/** Ports left of the block that this process holds. */
let left: number[] = [];
/** Work on the block is done one call after the other. */
let turn: Promise<unknown> = Promise.resolve();

/** Returns a loopback port that no other call of any process gets. */
export function reservePort(): Promise<number> {
  const taken = turn.then(takeNext);
  turn = taken.catch(() => undefined);
  return taken;
}

async function takeNext(): Promise<number> {
  for (;;) {
    const port = left.shift();
    if (port === undefined) {
      left = await claimBlock();
    } else {
      const probe = await bind(port);
      if (probe === undefined) continue;
      await new Promise((resolve) => probe.close(resolve));
      return port;
    }
  }
}

/** Holds the first free block for the rest of this process's life. */
async function claimBlock(): Promise<number[]> {
  for (let tried = 0; tried < BLOCKS; tried++) {
    const block = (process.pid + tried) % BLOCKS;
    const first = FIRST_PORT + block * BLOCK_PORTS;
    const holder = await bind(first);
    if (holder === undefined) continue;
    holder.unref();
    return Array.from({ length: BLOCK_PORTS - 1 }, (_, at) => first + 1 + at);
  }
  throw new Error(`none of ${BLOCKS} blocks of ports is free`);
}

/** Listens on a port; undefined if it is in use. */
function bind(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "EADDRINUSE") resolve(undefined);
      else reject(error);
    });
    server.listen(port, HOST, () => resolve(server));
  });
}
