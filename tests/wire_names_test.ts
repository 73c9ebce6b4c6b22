/** Nothing outside the adapter and the stand-ins knows the platform's names. */

import { readdir, readFile } from "node:fs/promises";
import { expect, test } from "vitest";

const SOURCES = new URL("../src/", import.meta.url);

/** Headers of the platform, in lower case. */
const HEADERS = [
  "x-expect-instance",
  "x-server-stamp",
  "x-not-executed",
  "x-token-count",
  "x-prompt-prefix",
  "x-kv-backup",
  "kv-from",
  "x-deadline-ms",
  "x-tenant",
];

/** Other names on its wire that mean nothing else in this project. */
const FIELDS = [
  "routeKind",
  "pathPrefix",
  "currentRev",
  "hasMore",
  "coldRemainingMs",
  "trafficSplit",
  "targetLatencyMs",
  "gapTargetMs",
  "apiKeys",
  "kvCapacity",
  "allowStale",
  "/v1/objects",
  "/v1/report",
  "seedNodes",
  "GYPSUMRIDGE_CONFIG",
];

test("no source of the product names them", async () => {
  const files = await readdir(SOURCES, { recursive: true });
  const findings: string[] = [];
  for (const file of files.filter((name) => name.endsWith(".ts"))) {
    const text = await readFile(new URL(file, SOURCES), "utf8");
    const lowered = text.toLowerCase();
    const found = [
      ...HEADERS.filter((name) => lowered.includes(name)),
      ...FIELDS.filter((name) => text.includes(name)),
    ];
    findings.push(...found.map((name) => `${file}: ${name}`));
  }
  expect(files.length).toBeGreaterThan(50);
  expect(findings).toEqual([]);
});
