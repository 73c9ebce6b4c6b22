/** The caller of an order, as the core sees it. */

import type { Refusal } from "../errors.ts";
import type { AnswerHead } from "./backend_answer.ts";

/** Where the answer to one order goes. */
export interface OrderCaller {
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
  /** Sends a whole answer. */
  readonly answer: (head: AnswerHead, body: Buffer) => void;
  /** Sends the start of a streamed answer. */
  readonly begin: (head: AnswerHead) => void;
  /** Sends a part of the body; resolves when more can be taken. */
  readonly write: (bytes: Buffer) => Promise<void>;
  /** Ends a streamed answer that is whole. */
  readonly end: () => void;
  /** Breaks off a streamed answer, so that it can't look whole. */
  readonly breakOff: () => void;
  /** Answers with a failure of our own. */
  readonly refuse: (refusal: Refusal) => void;
}
