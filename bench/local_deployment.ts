/** The deployment of a local cluster, as INI text. */

import { hashText } from "../src/hashing.ts";

/** A backend server of a local cluster. */
export interface LocalServer {
  readonly name: string;
  readonly address: string;
  readonly service: string;
}

/** A customer of a local cluster; its bearer key is `key-NAME`. */
export interface LocalCustomer {
  readonly name: string;
  readonly weight?: number;
}

/** The variable parts of a local cluster's deployment. */
export interface LocalDeployment {
  readonly servers: readonly LocalServer[];
  readonly customers: readonly LocalCustomer[];
  readonly slots: number;
  readonly modelVersion: string;
  /** Target time of the `urgent` rank, in ms; 5,000 if absent. */
  readonly urgentTargetMs?: number;
  /** Target time of the `patient` rank, in ms; 60,000 if absent. */
  readonly patientTargetMs?: number;
}

/** Name of the generation service. */
export const GENERATION_SERVICE = "reports";
/** Name of the plain service. */
export const PLAIN_SERVICE = "bookings";
const ZONES = ["zone-a", "zone-b", "zone-c"];

/** Returns the bearer key of a local customer. */
export function bearerKey(customer: string): string {
  return `key-${customer}`;
}

/** Returns the deployment as INI text. */
export function formatLocalDeployment(deployment: LocalDeployment): string {
  const zones = ZONES.map((name) =>
    `[availability-zone ${name}]\nregion = loopback`
  );
  const customers = deployment.customers.map(({ name, weight = 1 }) =>
    [
      `[customer ${name}]`,
      `key_sha256 = ${hashText(bearerKey(name))}`,
      `weight = ${weight}`,
      `services = ${GENERATION_SERVICE}, ${PLAIN_SERVICE}`,
      "ranks = urgent, patient",
    ].join("\n")
  );
  const servers = deployment.servers.map(({ name, address, service }, index) =>
    [
      `[backend-server ${name}]`,
      `address = ${address}`,
      `zone = ${ZONES[index % ZONES.length]}`,
      `service = ${service}`,
      `slots = ${deployment.slots}`,
    ].join("\n")
  );
  const fixedObjects = `[model writer]
version = ${deployment.modelVersion}
max_tokens = 20000

[rank urgent]
order = 0
target_ms = ${deployment.urgentTargetMs ?? 5_000}
floor_percent = 50

[rank patient]
order = 1
target_ms = ${deployment.patientTargetMs ?? 60_000}
floor_percent = 20

[service ${GENERATION_SERVICE}]
form = generation
model = writer
rank = patient

[service ${PLAIN_SERVICE}]
form = plain
rank = urgent
non_idempotent = POST /bookings, POST /payments
call_limit_ms = 2000`;
  return [fixedObjects, ...zones, ...customers, ...servers, ""].join("\n\n");
}
