/** What the core asks of a backend server for an order, and what comes back. */

import { AttemptLoss, LossCause } from "../errors.ts";
import type { LiveServer } from "../process/live_server.ts";
import type { RunCopy } from "../request/run_copies.ts";

/** One sending of an order to a server. */
export interface AttemptTarget {
  readonly server: LiveServer;
  /** Time that the server may take, in ms. */
  readonly leftMs: number;
  /** Id of the last event that the caller got, if any. */
  readonly resumeAfter: string | undefined;
  /** The copy of this run that the server holds, to go on from. */
  readonly copy: RunCopy | undefined;
  /** Server to which the run's memory is copied as it grows, if any. */
  readonly backup: LiveServer | undefined;
  /** Ends the attempt. */
  readonly signal: AbortSignal;
  /** Called once the request may have reached the server. */
  readonly onSent: () => void;
}

/** Status and headers as the server sent them, but for those of the connection. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn, as on the wire. */
  readonly headers: readonly string[];
  /**
   * Whether the body's end is told by a length or a last chunk. Without that an
   * answer that was cut can look whole, so it is passed on in the same form.
   */
  readonly isFramed: boolean;
}

/** The start of a server's answer, which belongs to the order for certain. */
export interface BackendAnswer {
  readonly head: AnswerHead;
  /** Whether the server says that it did not run the order and never will. */
  readonly hasNotRun: boolean;
  /** Whether another process has the server's address. */
  readonly isReplaced: boolean;
  /**
   * Yields the body as it arrives.
   *
   * Errors: `AttemptLoss` unless the body came whole.
   */
  readonly body: () => AsyncGenerator<Buffer>;
}

/** Sends an order to a server. Errors: `AttemptLoss`. */
export type Opener = (target: AttemptTarget) => Promise<BackendAnswer>;

/** Collects a whole body. Errors: `AttemptLoss`. */
export async function collectBody(answer: BackendAnswer): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of answer.body()) parts.push(part);
  return Buffer.concat(parts);
}

/** Returns why an attempt was ended: its own loss, or that of its caller. */
export function lossOfSignal({ reason }: AbortSignal): AttemptLoss {
  return reason instanceof AttemptLoss
    ? reason
    : new AttemptLoss(LossCause.Closed, "caller has gone");
}
