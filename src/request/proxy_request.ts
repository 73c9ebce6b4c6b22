/** A caller's request after validation, as the relay serves it. */

import type { Fingerprint, PromptPart, RequestId } from "../ids.ts";
import type { Rank } from "../version/types.ts";

/** How the response is delivered, and whether the request may run again. */
export enum RequestKind {
  /** Answered with a stream of events; runs at most once unless resumable. */
  Stream = "stream",
  /** A call that may run more than once. */
  Idempotent = "idempotent",
  /** A call that runs at most once. */
  NonIdempotent = "non_idempotent",
}

/** A validated request for a service. */
export interface ProxyRequest {
  readonly id: RequestId;
  readonly kind: RequestKind;
  /** Whether another server may resume the stream after the last event. */
  readonly isResumable: boolean;
  readonly service: string;
  readonly route: string;
  /** Name of the customer; empty if the route needs no API key. */
  readonly customer: string;
  readonly rank: Rank;
  /** Equal for requests that are identical to a backend server. */
  readonly fingerprint: Fingerprint;
  /** Largest KV cache at an engine, in tokens; 0 for plain services. */
  readonly kvCacheTokens: number;
  /** Prompt length in tokens; 0 for plain services. */
  readonly promptTokens: number;
  /** Key of the prompt, equal for equal prompts; empty without a prompt. */
  readonly promptKey: string;
  /**
   * Parts of the prompt that other requests may share, in order; without the
   * last part, which is the request's own. Empty without a prompt.
   */
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller has already received, if any. */
  readonly lastEventId: string | undefined;
  /** When the request arrived, on the monotonic clock in ms. */
  readonly receivedMs: number;
  /** When the caller stops waiting, on the monotonic clock in ms. */
  readonly callerDeadlineMs: number;
  /** When the route's time limit ends, on the monotonic clock in ms. */
  readonly routeDeadlineMs: number;
  /** Maximum number of attempts that may have run on a backend server. */
  readonly maxAttempts: number;
}

/** Whether the request may safely run again. */
export function isRetryable(request: ProxyRequest): boolean {
  switch (request.kind) {
    case RequestKind.Idempotent:
      return true;
    case RequestKind.NonIdempotent:
      return false;
    case RequestKind.Stream:
      return request.isResumable;
  }
}

/** When the response must be complete, on the monotonic clock in ms. */
export function effectiveDeadlineMs(request: ProxyRequest): number {
  return Math.min(request.callerDeadlineMs, request.routeDeadlineMs);
}
