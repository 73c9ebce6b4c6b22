/** Writes the response to a caller's request. */

import { AttemptError, FailureCause, type RequestError } from "../errors.ts";
import type { ResponseHead } from "./backend_request.ts";

/**
 * Why a request is aborted whose caller has ended its sending direction: it may
 * have left, or still read.
 */
export const HALF_CLOSED = new AttemptError(
  FailureCause.Closed,
  "no response soon after the caller had ended its sending direction",
);

/** Why a request is aborted that is refused to stay within a limit. */
export const HOLDS_TOO_MUCH = new AttemptError(
  FailureCause.NoResources,
  "this entry holds too many bytes of requests",
);

/** Reasons for which a request is aborted whose caller may still read. */
const REFUSED_REASONS: ReadonlySet<unknown> = new Set([
  HALF_CLOSED,
  HOLDS_TOO_MUCH,
]);

/** Writer of the response to one request. */
export interface ResponseWriter {
  /**
   * Aborted when the caller disconnects, or with `HALF_CLOSED` when it may have
   * left, or with `HOLDS_TOO_MUCH`; it then still gets a refusal.
   */
  readonly signal: AbortSignal;
  /** Sends a complete response. */
  readonly send: (head: ResponseHead, body: Buffer) => void;
  /** Sends the head of a streamed response. */
  readonly writeHead: (head: ResponseHead) => void;
  /** Sends a chunk of the body; resolves when more can be written. */
  readonly write: (bytes: Buffer) => Promise<void>;
  /** Ends a complete streamed response. */
  readonly end: () => void;
  /** Aborts a streamed response, so that it can't look complete. */
  readonly abort: () => void;
  /** Sends an error response of the entry itself. */
  readonly sendError: (requestError: RequestError) => void;
}

/** Whether the caller has disconnected. */
export function isDisconnected({ signal }: ResponseWriter): boolean {
  return signal.aborted && !REFUSED_REASONS.has(signal.reason);
}
