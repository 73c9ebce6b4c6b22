/** A small deployment like bojka-flotila's, and what the cases share. */

import { appendFile, writeFile } from "node:fs/promises";
import process from "node:process";

export const HOST_NAME = "ficu95.example";
export const KEY = "xd9dnn2ctnfzs989anu6";
export const TENANT = "huka270";
/** Limits of what a client may send, as `config/main` states them. */
export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Whether the disruption is played. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Returns the operator's configuration. */
export function configuration(version = 1) {
  const route = { host: HOST_NAME, service: "sluzby-clenu", maxAttempts: 3 };
  return {
    version,
    routes: [
      {
        ...route,
        name: "lampa-souhrn",
        pathPrefix: "/souhrn/",
        routeKind: "streaming",
        service: "model-bojka",
        timeoutMs: 25_000,
        targetLatencyMs: 10_000,
        gapTargetMs: 700,
        maxAttempts: 5,
        priority: 2,
        resumable: true,
        sticky: true,
      },
      {
        ...route,
        name: "vymena-objednat",
        pathPrefix: "/objednat/",
        routeKind: "non_idempotent",
        timeoutMs: 1_000,
        targetLatencyMs: 193,
        priority: 2,
      },
      {
        ...route,
        name: "sklad-cist",
        pathPrefix: "/cist/",
        routeKind: "idempotent",
        timeoutMs: 1_000,
        targetLatencyMs: 193,
        priority: 2,
      },
    ],
    services: [
      {
        name: "model-bojka",
        healthPath: "/healthz",
        engine: { kvCapacity: 55_000 },
      },
      { name: "sluzby-clenu", healthPath: "/healthz" },
    ],
    limits: LIMITS,
    tenants: [{ name: TENANT, apiKeys: [KEY] }],
  };
}

/** Starts the record of a case; returns how to add a line. */
export async function openRecord(url) {
  const path = new URL("record.txt", url);
  await writeFile(path, "");
  return (line) => appendFile(path, `${line}\n`);
}

/** Ends a case with its exit code: 1 if the rule was broken. */
export async function finish(record, { isBroken, line, closing }) {
  await record(line);
  for (const close of closing) await close();
  process.stdout.write(`${line}\n`);
  process.exit(isBroken ? 1 : 0);
}

/** Runs a case; one that can't run ends with 2. */
export function runCase(main) {
  const timer = setTimeout(() => {
    process.stdout.write("the case took too long\n");
    process.exit(2);
  }, 110_000);
  timer.unref();
  // The processes that were started end with this one.
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => process.exit(2));
  }
  main().catch((error) => {
    process.stdout.write(`the case could not run: ${error.stack}\n`);
    process.exit(2);
  });
}
