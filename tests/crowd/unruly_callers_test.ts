/**
 * Crowds of callers that don't behave: the process lives, its memory and its
 * descriptors stay within those of its machine, and an ordinary request is
 * answered while the crowd is still there.
 */

import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { CrowdEntry, Door, LIMITS, MACHINE } from "./crowd_entry.ts";

/** Connections of a crowd that sends large bodies. */
const BODY_CROWD = 64;
/** Connections of a crowd that sends little, above the descriptors. */
const SLOW_CROWD = 400;
const PIPELINED_CONNECTIONS = 16;
const PIPELINED_REQUESTS = 4_000;
const FIELD_CROWD = 100;
const PIECE_BYTES = 16_384;
/** Time in which the entry takes in what a crowd has sent, in ms. */
const SETTLE_MS = 1_500;

let entry: CrowdEntry;

beforeEach(async () => {
  entry = await CrowdEntry.create();
});

afterEach(() => entry.close());

function head(path: string, ...fields: readonly string[]): string {
  const lines = [
    `POST ${path} HTTP/1.1`,
    "Host: a",
    `X-Request-Id: ${crypto.randomUUID()}`,
    "X-Deadline-Ms: 20000",
    ...fields,
  ];
  return `${lines.join("\r\n")}\r\n\r\n`;
}

/** Writes bytes as fast as they are taken, until all are or it is closed. */
async function writeAll(
  socket: Socket,
  { bytes, format = (piece: Buffer) => piece, pieceBytes = PIECE_BYTES }: {
    readonly bytes: number;
    readonly format?: (piece: Buffer) => Buffer;
    readonly pieceBytes?: number;
  },
): Promise<void> {
  const endMs = performance.now() + 4_000;
  for (let left = bytes; left > 0 && !socket.destroyed; left -= pieceBytes) {
    const piece = Buffer.alloc(Math.min(left, pieceBytes), "a");
    const isTaken = socket.write(format(piece));
    if (isTaken) continue;
    await Promise.race([
      new Promise<void>((resolve) => {
        socket.once("drain", resolve);
        socket.once("close", () => resolve());
      }),
      sleep(1_000),
    ]);
    if (performance.now() > endMs) return;
  }
}

function toChunk(piece: Buffer): Buffer {
  const size = Buffer.from(`${piece.length.toString(16)}\r\n`);
  return Buffer.concat([size, piece, Buffer.from("\r\n")]);
}

async function expectBounded(crowd: () => Promise<void>): Promise<void> {
  const peakMb = await entry.peakMemoryMb(async () => {
    await crowd();
    await sleep(SETTLE_MS);
  });
  expect(entry.isAlive).toBe(true);
  expect(peakMb).toBeLessThan(MACHINE.memoryMb);
  expect(await entry.descriptorCount()).toBeLessThan(MACHINE.maxFds);
  expect(await entry.isServing()).toBe(true);
  expect(entry.isAlive).toBe(true);
}

for (
  const [place, door, path] of [
    ["a route", Door.Callers, "/x/upload"],
    ["a path without a route", Door.Callers, "/none/upload"],
    ["the readiness path", Door.Callers, "/v1/readyz"],
    ["the readiness door", Door.Readiness, "/v1/readyz"],
    ["the door between entries", Door.Peers, "/peer"],
  ] as const
) {
  test(`bodies at ${place} that stop just short of their end`, () =>
    expectBounded(() =>
      entry.open(door, BODY_CROWD, async (socket) => {
        socket.write(head(path, `Content-Length: ${LIMITS.maxBodyBytes}`));
        await writeAll(socket, { bytes: LIMITS.maxBodyBytes - 1 });
      })
    ));
}

test("bodies in one piece that stop just short of their end", () =>
  expectBounded(() =>
    entry.open(Door.Callers, BODY_CROWD, async (socket) => {
      socket.write(head("/x/a", `Content-Length: ${LIMITS.maxBodyBytes}`));
      const bytes = LIMITS.maxBodyBytes - 1;
      await writeAll(socket, { bytes, pieceBytes: bytes });
    })
  ));

test("bodies in small chunks that never end", () =>
  expectBounded(() =>
    entry.open(Door.Callers, BODY_CROWD, async (socket) => {
      socket.write(head("/x/a", "Transfer-Encoding: chunked"));
      await writeAll(socket, {
        bytes: 400_000,
        pieceBytes: 16,
        format: toChunk,
      });
    })
  ));

test("bodies far over the limit", () =>
  expectBounded(() =>
    entry.open(Door.Callers, BODY_CROWD, async (socket) => {
      socket.write(head("/x/a", "Content-Length: 1000000000"));
      await writeAll(socket, { bytes: 16_000_000 });
    })
  ));

test("requests of very many short fields", () =>
  expectBounded(() =>
    entry.open(Door.Callers, FIELD_CROWD, (socket) => {
      const fields = Array.from({ length: 1_900 }, (_, at) =>
        `${at.toString(36)}:1`);
      socket.write(head("/x/a", "Content-Length: 5", ...fields) + "body");
    })
  ));

test("many requests ahead on a connection whose responses nobody reads", () =>
  expectBounded(() =>
    entry.open(Door.Callers, PIPELINED_CONNECTIONS, async (socket) => {
      socket.pause();
      const request = Buffer.from(head("/x/a", "Content-Length: 0"));
      for (let at = 0; at < PIPELINED_REQUESTS; at += 100) {
        if (socket.destroyed) return;
        socket.write(Buffer.concat(Array.from({ length: 100 }, () => request)));
        await sleep(1);
      }
    })
  ));

for (const door of Object.values(Door)) {
  test(`a crowd at the door of ${door} that stops in the middle of its heads`, () =>
    expectBounded(() =>
      entry.open(door, SLOW_CROWD, (socket) => {
        socket.write("POST /x/a HTTP/1.1\r\nHost: a\r\n");
      })
    ));

  test(`a crowd at the door of ${door} that stops in the middle of its bodies`, () =>
    expectBounded(() =>
      entry.open(door, SLOW_CROWD, (socket) => {
        socket.write(`${head("/x/a", "Content-Length: 9")}half`);
      })
    ));
}
