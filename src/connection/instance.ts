/** What the platform says of the instances of a deployment. */

/** Whether an instance serves on. */
export enum InstanceState {
  Live = "live",
  Leaving = "leaving",
}

/** One row of the platform's list of instances, which lags. */
export interface Instance {
  /** Name of an entry or of a backend server. */
  readonly name: string;
  /** IP and port: the peer port of an entry. */
  readonly address: string;
  readonly role: "entry" | "backend-server";
  readonly state: InstanceState;
}
