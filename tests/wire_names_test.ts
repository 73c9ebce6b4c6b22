/**
 * Tests that no file under `src` contains a wire name of the platform. In
 * production code only the adapter under `platform` uses them.
 */

import { readdir, readFile } from "node:fs/promises";
import { expect, test } from "vitest";

const SOURCES = new URL("../src/", import.meta.url);

/** Header names of the platform, in lower case. */
const HEADERS = [
  "x-expect-instance",
  "x-server-stamp",
  "x-not-executed",
  "server-leaving",
  "x-token-count",
  "x-prompt-prefix",
  "x-kv-backup",
  "kv-from",
  "x-deadline-ms",
  "x-tenant",
];

/** Other wire names of the platform; none has a second meaning in `src`. */
const OTHER_NAMES = [
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

test("no file under src contains a wire name of the platform", async () => {
  const files = await readdir(SOURCES, { recursive: true });
  const findings: string[] = [];
  for (const file of files.filter((name) => name.endsWith(".ts"))) {
    const text = await readFile(new URL(file, SOURCES), "utf8");
    const lowerCaseText = text.toLowerCase();
    const found = [
      ...HEADERS.filter((name) => lowerCaseText.includes(name)),
      ...OTHER_NAMES.filter((name) => text.includes(name)),
    ];
    findings.push(...found.map((name) => `${file}: ${name}`));
  }
  expect(files.length).toBeGreaterThan(50);
  expect(findings).toEqual([]);
});
