/** Requests that reached the stand-in for a backend server. */

/** A request that reached the stand-in. */
export interface Arrival {
  /** Wall clock, in ms. */
  readonly atMs: number;
  readonly path: string;
  /** `Retry-After` with which it was rejected; empty if it was not. */
  readonly retryAfter: string;
}
