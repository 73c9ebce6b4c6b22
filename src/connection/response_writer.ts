/** The caller of an order, as the core sees it. */

import type { RequestError } from "../errors.ts";
import type { ResponseHead } from "./backend_request.ts";

/** Where the answer to one order goes. */
export interface ResponseWriter {
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
  /** Sends a whole answer. */
  readonly send: (head: ResponseHead, body: Buffer) => void;
  /** Sends the start of a streamed answer. */
  readonly writeHead: (head: ResponseHead) => void;
  /** Sends a part of the body; resolves when more can be taken. */
  readonly write: (bytes: Buffer) => Promise<void>;
  /** Ends a streamed answer that is whole. */
  readonly end: () => void;
  /** Breaks off a streamed answer, so that it can't look whole. */
  readonly abort: () => void;
  /** Answers with a failure of our own. */
  readonly sendError: (refusal: RequestError) => void;
}
