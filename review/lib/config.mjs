/** The configuration of the cases, in the form of `fleetbench wire`. */

import { HOST_NAME, KEY } from "./cluster.mjs";

/** Service and limits of the booking application of `bojka-flotila`. */
export const SERVICE = "sluzby-clenu";
export const READ_PATH = "/read/";
export const BOOK_PATH = "/book/";
export const STREAM_PATH = "/stream/";

const ROUTE = {
  host: HOST_NAME,
  timeoutMs: 1_000,
  targetLatencyMs: 193,
  priority: 2,
  service: SERVICE,
  anonymous: false,
};

/**
 * Writes the configuration: reads may be repeated, bookings and streams may not.
 */
export function writeConfiguration(store) {
  store.put("config", "main", {
    version: 7,
    routes: [
      {
        ...ROUTE,
        name: "sklad-cist",
        pathPrefix: READ_PATH,
        routeKind: "idempotent",
        maxAttempts: 2,
      },
      {
        ...ROUTE,
        name: "vymena-objednat",
        pathPrefix: BOOK_PATH,
        routeKind: "non_idempotent",
        maxAttempts: 1,
      },
      {
        ...ROUTE,
        name: "zprava",
        pathPrefix: STREAM_PATH,
        routeKind: "streaming",
        timeoutMs: 25_000,
        targetLatencyMs: 4_000,
        maxAttempts: 5,
        resumable: false,
        gapTargetMs: 700,
      },
    ],
    services: [
      {
        name: SERVICE,
        healthPath: "/healthz",
        maxConnections: 96,
        protocol: "h1",
        tls: false,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "huka270", apiKeys: [KEY], priority: 1 }],
  });
}
