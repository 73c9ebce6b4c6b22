/** Instances of a deployment, as the platform lists them. */

/** Whether an instance keeps serving. */
export enum InstanceState {
  Live = "live",
  Leaving = "leaving",
}

/** One item of the platform's list of instances, which may be stale. */
export interface Instance {
  /** Name of an entry or of a backend server. */
  readonly name: string;
  /** IP and port; for an entry, its peer port. */
  readonly address: string;
  readonly role: "entry" | "backend-server";
  readonly state: InstanceState;
  /** Absent if unknown. */
  readonly zone?: string;
}
