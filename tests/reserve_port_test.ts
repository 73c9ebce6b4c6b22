/** Ports that are known before a process listens on them. */

import { readFile } from "node:fs/promises";
import { createServer } from "node:net";
import { expect, test } from "vitest";
import { reservePort } from "../bench/reserve_port.ts";

/** More than a block, so that the next one is claimed too. */
const PORTS = 250;
/** Where Linux says from which ports outgoing connections are made. */
const RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range";

test("no port is given twice, none can be taken by an outgoing connection", async () => {
  const [lowest = 0] = (await readFile(RANGE_FILE, "utf8")).split(/\s+/)
    .map(Number);
  const ports = await Promise.all(
    Array.from({ length: PORTS }, () => reservePort()),
  );
  expect(new Set(ports).size).toBe(PORTS);
  expect(Math.max(...ports)).toBeLessThan(lowest);
});

test("a port that is in use by somebody else is passed over", async () => {
  const port = await reservePort();
  const other = createServer();
  await new Promise<void>((resolve) =>
    other.listen(port + 1, "127.0.0.1", resolve)
  );
  expect(await reservePort()).not.toBe(port + 1);
  await new Promise((resolve) => other.close(resolve));
});
