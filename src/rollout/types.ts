/** Orders to move a service's requests to servers of another version. */

import type { Brand, ObjectRevision } from "../ids.ts";

/** Identifies an order; another order for the same service has another id. */
export type RolloutId = Brand<string, "rollout">;

/** How far an order is; a later one takes precedence over an earlier one. */
export enum RolloutStage {
  /** A small share of the requests shows how the new version behaves. */
  Observing,
  /** New requests go to the new version while open streams end. */
  Promoting,
  RolledBack,
  /** Old servers have stopped or are stopping. */
  Completed,
  /** The operator has removed the order. */
  Withdrawn,
}

/** State of an order in the store. */
export enum RolloutState {
  Active = "active",
  Completed = "completed",
  RolledBack = "rolled back",
}

/** An order as it was read from the store. */
export interface StoredRollout {
  readonly order: RolloutOrder;
  /** `undefined` if the order has none yet, or one of another order. */
  readonly state: RolloutState | undefined;
}

/** Why an order or its status can't be used. */
export interface UnusableRollout {
  readonly service: string;
  readonly field: string;
  readonly expected: string;
  /** What the field holds, in bounded length. */
  readonly found: string;
}

/** An operator's order. */
export interface RolloutOrder {
  readonly id: RolloutId;
  readonly service: string;
  /** Version whose servers are to get the requests. */
  readonly target: string;
  /** Time in which the order is to be completed or rolled back, in ms. */
  readonly durationMs: number;
  /** Revision of the store at which it was read; a later order has a higher. */
  readonly revision: ObjectRevision;
}

/** Responses of one version on one route, or of one measure of them. */
export interface ResponseCounts {
  /** Responses by latency; see `latencyBinOf`. */
  readonly bins: readonly number[];
  /** Responses that report a failure, which have no latency. */
  readonly failures: number;
  /** Up to two servers that sent failures. */
  readonly failedServers: readonly string[];
  /** Up to two servers that sent any response. */
  readonly servers: readonly string[];
}

/** What is compared, for both versions. */
export interface VersionCounts {
  /** A route, and the measure if it is not the latency of the response. */
  readonly aspect: string;
  readonly baseline: ResponseCounts;
  readonly candidate: ResponseCounts;
}

/** What one entry process has seen of an order. */
export interface RolloutTally {
  /** Identifies the process. */
  readonly writer: string;
  /** Number of responses; grows, so that the later of two tallies is known. */
  readonly total: number;
  readonly counts: readonly VersionCounts[];
}

/** What entries tell each other of an order. */
export interface RolloutDigest extends RolloutOrder {
  readonly stage: RolloutStage;
  /** Time since the order was first seen by any entry, in ms. */
  readonly ageMs: number;
  /** Time since the stage began, in ms. */
  readonly stageAgeMs: number;
  /** The sender's own tally first. */
  readonly tallies: readonly RolloutTally[];
}
