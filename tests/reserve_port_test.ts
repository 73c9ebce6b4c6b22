/** Tests ports that are reserved before a process listens on them. */

import { readFile } from "node:fs/promises";
import { createServer } from "node:net";
import { expect, test } from "vitest";
import { reservePort } from "../bench/reserve_port.ts";

/** More ports than a block has, so that further blocks are locked. */
const PORT_COUNT = 250;
/** File with Linux's range of ephemeral ports for outgoing connections. */
const EPHEMERAL_RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range";

test("reserved ports are unique and outside the ephemeral range", async () => {
  const [lowestEphemeralPort = 0] =
    (await readFile(EPHEMERAL_RANGE_FILE, "utf8")).split(/\s+/)
      .map(Number);
  const ports = await Promise.all(
    Array.from({ length: PORT_COUNT }, () => reservePort()),
  );
  expect(new Set(ports).size).toBe(PORT_COUNT);
  expect(Math.max(...ports)).toBeLessThan(lowestEphemeralPort);
});

test("a port on which another process listens is skipped", async () => {
  const port = await reservePort();
  const listener = createServer();
  await new Promise<void>((resolve) =>
    listener.listen(port + 1, "127.0.0.1", resolve)
  );
  expect(await reservePort()).not.toBe(port + 1);
  await new Promise((resolve) => listener.close(resolve));
});
