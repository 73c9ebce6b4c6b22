/** Writes the response to a caller's request. */

import type { RequestError } from "../errors.ts";
import type { ResponseHead } from "./backend_request.ts";

/** Writer of the response to one request. */
export interface ResponseWriter {
  /** Aborted when the caller disconnects. */
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
