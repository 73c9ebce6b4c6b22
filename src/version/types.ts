/** Shapes of the deployment's objects and of a published revision. */

import type { ContentHash, Revision } from "../ids.ts";

/** Kinds of objects that operators publish. */
export enum ObjectKind {
  AvailabilityZone = "availability-zone",
  Model = "model",
  Rank = "rank",
  Service = "service",
  Customer = "customer",
  BackendServer = "backend-server",
}

/** A place whose machines fail together. */
export interface AvailabilityZone {
  readonly kind: ObjectKind.AvailabilityZone;
  readonly name: string;
  readonly region: string;
}

/** A model at one version; resumed output must come from the same version. */
export interface Model {
  readonly kind: ObjectKind.Model;
  readonly name: string;
  readonly version: string;
  readonly adapter: string;
  /** Most tokens that one answer may hold. */
  readonly maxTokens: number;
}

/** A rank of work; lower `order` is served first. */
export interface Rank {
  readonly kind: ObjectKind.Rank;
  readonly name: string;
  readonly order: number;
  /** Target time to the first token or answer, in ms. */
  readonly targetMs: number;
  /** Part of the capacity kept for this rank under a flood, in percent. */
  readonly floorPercent: number;
}

/** What the backend servers of a service are. */
export enum ServiceForm {
  Generation = "generation",
  Plain = "plain",
}

/** Something that callers ask for by name. */
export interface Service {
  readonly kind: ObjectKind.Service;
  readonly name: string;
  readonly form: ServiceForm;
  /** Name of the model; empty for plain services. */
  readonly model: string;
  /** Rank of requests that name none. */
  readonly rank: string;
  /** Calls that must run at most once, as `METHOD /path`. */
  readonly nonIdempotent: readonly string[];
  /** Time limit of one call to a plain service, in ms. */
  readonly callLimitMs: number;
}

/** Someone who sends requests. */
export interface Customer {
  readonly kind: ObjectKind.Customer;
  readonly name: string;
  /** SHA-256 of the bearer key, in hexadecimal. */
  readonly keySha256: string;
  /** Share of a rank's capacity relative to other customers. */
  readonly weight: number;
  readonly services: readonly string[];
  readonly ranks: readonly string[];
}

/** Whether a backend server refuses orders with an old fencing number. */
export enum Fencing {
  Checked = "checked",
  Ignored = "ignored",
}

/** One process that runs work for a service. */
export interface BackendServer {
  readonly kind: ObjectKind.BackendServer;
  readonly name: string;
  /** IP and port. */
  readonly address: string;
  readonly zone: string;
  readonly service: string;
  /** Requests that it runs at the same time. */
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

/** One object's change between two revisions. */
export interface Difference {
  readonly change: "added" | "changed" | "removed";
  readonly kind: ObjectKind;
  readonly name: string;
}

/** Who changed the deployment, when and why. */
export interface AuditRecord {
  readonly operator: string;
  /** ISO 8601 time on the operator's machine. */
  readonly time: string;
  readonly reason: string;
  readonly differences: readonly Difference[];
}

/** A published revision: its audit record and the chunks that hold its objects. */
export interface Manifest {
  readonly revision: Revision;
  /** Manifest of the revision before; empty for the first. */
  readonly parent: ContentHash | "";
  /** Tells apart two publishes of the same content. */
  readonly publishId: string;
  readonly audit: AuditRecord;
  readonly chunks: readonly ContentHash[];
}

/** The one object that a publish moves. */
export interface Head {
  readonly revision: Revision;
  readonly manifest: ContentHash;
}
