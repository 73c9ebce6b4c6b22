/** Types of deployment objects and of published revisions. */

import type { ContentHash, Revision } from "../ids.ts";

/** Kinds of deployment objects. */
export enum ObjectKind {
  AvailabilityZone = "availability-zone",
  Model = "model",
  Rank = "rank",
  Service = "service",
  Customer = "customer",
  BackendServer = "backend-server",
}

/** A failure domain: its instances may fail together. */
export interface AvailabilityZone {
  readonly kind: ObjectKind.AvailabilityZone;
  readonly name: string;
  readonly region: string;
}

/** A model at one version; output is resumed only by the same version. */
export interface Model {
  readonly kind: ObjectKind.Model;
  readonly name: string;
  readonly version: string;
  readonly adapter: string;
  /** Maximum number of tokens of one response. */
  readonly maxTokens: number;
}

/** A priority class of requests; lower `order` is served first. */
export interface Rank {
  readonly kind: ObjectKind.Rank;
  readonly name: string;
  readonly order: number;
  /** Target time to the first token or the response, in ms. */
  readonly targetMs: number;
  /** Capacity guaranteed to this rank under overload, in percent. */
  readonly floorPercent: number;
}

/** Kind of backend server that a service has. */
export enum ServiceForm {
  Generation = "generation",
  Plain = "plain",
}

/** A service that callers address by name. */
export interface Service {
  readonly kind: ObjectKind.Service;
  readonly name: string;
  readonly form: ServiceForm;
  /** Name of the model; empty for plain services. */
  readonly model: string;
  /** Rank of requests that specify none. */
  readonly rank: string;
  /** Calls that may run at most once, as `METHOD /path`. */
  readonly nonIdempotent: readonly string[];
  /** Time limit of one call to a plain service, in ms. */
  readonly callLimitMs: number;
}

/** A tenant that sends requests. */
export interface Customer {
  readonly kind: ObjectKind.Customer;
  readonly name: string;
  /** SHA-256 of the bearer key, in hexadecimal. */
  readonly keySha256: string;
  /** Share of a rank's capacity, relative to other customers. */
  readonly weight: number;
  readonly services: readonly string[];
  readonly ranks: readonly string[];
}

/** Whether a backend server rejects requests with an old fencing number. */
export enum Fencing {
  Checked = "checked",
  Ignored = "ignored",
}

/** A process that executes requests of a service. */
export interface BackendServer {
  readonly kind: ObjectKind.BackendServer;
  readonly name: string;
  /** IP and port. */
  readonly address: string;
  readonly zone: string;
  readonly service: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly fencing: Fencing;
}

/** Any object of a deployment. */
export type DeploymentObject =
  | AvailabilityZone
  | Model
  | Rank
  | Service
  | Customer
  | BackendServer;

/** Change of one object between two revisions. */
export interface Difference {
  readonly change: "added" | "changed" | "removed";
  readonly kind: ObjectKind;
  readonly name: string;
}

/** Who changed the deployment, when and why. */
export interface AuditRecord {
  readonly operator: string;
  /** ISO 8601 time by the clock of the operator's machine. */
  readonly time: string;
  readonly reason: string;
  readonly differences: readonly Difference[];
}

/** A published revision: its audit record and the chunks with its objects. */
export interface Manifest {
  readonly revision: Revision;
  /** Manifest of the previous revision; empty for the first. */
  readonly parent: ContentHash | "";
  /** Distinguishes two publishes with the same content. */
  readonly publishId: string;
  readonly audit: AuditRecord;
  readonly chunks: readonly ContentHash[];
}

/** The head object; each publish updates it to the new revision. */
export interface Head {
  readonly revision: Revision;
  readonly manifest: ContentHash;
}
