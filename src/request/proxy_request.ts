/** An order: one caller's request, checked, as the core serves it. */

import type { Fingerprint, RequestId } from "../ids.ts";
import type { Rank } from "../version/types.ts";

/** What a request may be repeated as. */
export enum RequestKind {
  /** Answered by events; runs once unless it may be resumed. */
  Stream = "stream",
  /** May run more than once. */
  Idempotent = "idempotent",
  /** Runs at most once. */
  NonIdempotent = "non_idempotent",
}

/** A request that has passed its checks and names a service. */
export interface ProxyRequest {
  readonly id: RequestId;
  readonly kind: RequestKind;
  /** Whether a stream may go on at another server after its last event. */
  readonly isResumable: boolean;
  readonly service: string;
  readonly route: string;
  /** Name of the customer, empty where the route needs no key. */
  readonly customer: string;
  readonly rank: Rank;
  /** The same for requests that are the same to a backend server. */
  readonly fingerprint: Fingerprint;
  /** Memory that it takes at most at a model engine, in tokens; else 0. */
  readonly kvCacheTokens: number;
  /** Length of its prompt, in tokens; 0 for plain services. */
  readonly promptTokens: number;
  /** Names its prompt, the same whenever it comes again; empty without one. */
  readonly promptKey: string;
  /** Id of the last event that the caller holds already, if any. */
  readonly lastEventId: string | undefined;
  /** When it came, on the monotonic clock in ms. */
  readonly receivedMs: number;
  /** When the caller stops waiting, on the monotonic clock in ms. */
  readonly callerDeadlineMs: number;
  /** When the operator wants it ended, on the monotonic clock in ms. */
  readonly routeDeadlineMs: number;
  /** Backend servers that it may be sent to. */
  readonly maxAttempts: number;
}

/** Whether running the order again does no harm. */
export function isRetryable(order: ProxyRequest): boolean {
  switch (order.kind) {
    case RequestKind.Idempotent:
      return true;
    case RequestKind.NonIdempotent:
      return false;
    case RequestKind.Stream:
      return order.isResumable;
  }
}

/** When the order must have its final answer, on the monotonic clock in ms. */
export function effectiveDeadlineMs(order: ProxyRequest): number {
  return Math.min(order.callerDeadlineMs, order.routeDeadlineMs);
}
