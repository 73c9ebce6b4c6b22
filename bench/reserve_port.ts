/**
 * Ports that must be known before a process listens, or reused after a restart.
 * An outgoing connection could meanwhile take an ephemeral port, so these lie
 * below the ephemeral range, in blocks that are each locked by one process.
 */

import { createServer, type Server } from "node:net";
import process from "node:process";

/** First port of the first block; the soak's fixed ports are lower. */
const FIRST_PORT = 10_000;
/** First ephemeral port in Linux's default configuration. */
const FIRST_EPHEMERAL_PORT = 32_768;
/** Ports per block; the first one serves as the block's lock. */
const PORTS_PER_BLOCK = 100;
const BLOCK_COUNT = Math.floor(
  (FIRST_EPHEMERAL_PORT - FIRST_PORT) / PORTS_PER_BLOCK,
);
const HOST = "127.0.0.1";

/** Unused ports of the block that this process has locked. */
let unusedPorts: number[] = [];
/** Last reservation; each one starts after the one before. */
let lastReservation: Promise<unknown> = Promise.resolve();

/**
 * Returns a loopback port that no other call in any process returns until this
 * process exits.
 */
export function reservePort(): Promise<number> {
  const reservation = lastReservation.then(nextFreePort);
  lastReservation = reservation.catch(() => undefined);
  return reservation;
}

async function nextFreePort(): Promise<number> {
  for (;;) {
    const port = unusedPorts.shift();
    if (port === undefined) {
      unusedPorts = await lockBlock();
    } else {
      const probe = await tryListen(port);
      if (probe === undefined) continue;
      await new Promise((resolve) => probe.close(resolve));
      return port;
    }
  }
}

/** Locks the first free block until this process exits. */
async function lockBlock(): Promise<number[]> {
  for (let attempt = 0; attempt < BLOCK_COUNT; attempt++) {
    const block = (process.pid + attempt) % BLOCK_COUNT;
    const first = FIRST_PORT + block * PORTS_PER_BLOCK;
    const lock = await tryListen(first);
    if (lock === undefined) continue;
    lock.unref();
    return Array.from(
      { length: PORTS_PER_BLOCK - 1 },
      (_, at) => first + 1 + at,
    );
  }
  throw new Error(
    `no free port block: all ${BLOCK_COUNT} are locked by other processes`,
  );
}

/** Listens on a port; undefined if it is in use. */
function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "EADDRINUSE") resolve(undefined);
      else reject(error);
    });
    server.listen(port, HOST, () => resolve(server));
  });
}
