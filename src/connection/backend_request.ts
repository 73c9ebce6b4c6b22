/** What the core asks of a backend server for an order, and what comes back. */

import { AttemptError, FailureCause } from "../errors.ts";
import type { LiveServer } from "../process/live_server.ts";
import type { KvCopy } from "../request/kv_copy_manager.ts";

/** One sending of an order to a server. */
export interface BackendRequest {
  readonly server: LiveServer;
  /** Time that the server may take, in ms. */
  readonly timeoutMs: number;
  /** Id of the last event that the caller got, if any. */
  readonly lastEventId: string | undefined;
  /** The copy of this run that the server holds, to go on from. */
  readonly copy: KvCopy | undefined;
  /** Server to which the run's memory is copied as it grows, if any. */
  readonly backup: LiveServer | undefined;
  /** Ends the attempt. */
  readonly signal: AbortSignal;
  /** Called once the request may have reached the server. */
  readonly onSent: () => void;
}

/** Status and headers as the server sent them, but for those of the connection. */
export interface ResponseHead {
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
export interface BackendResponse {
  readonly head: ResponseHead;
  /** Whether the server says that it did not run the order and never will. */
  readonly hasNotRun: boolean;
  /** Whether another process has the server's address. */
  readonly isMisdirected: boolean;
  /**
   * Yields the body as it arrives.
   *
   * Errors: `AttemptError` unless the body came whole.
   */
  readonly body: () => AsyncGenerator<Buffer>;
}

/** Sends an order to a server. Errors: `AttemptError`. */
export type BackendSender = (
  target: BackendRequest,
) => Promise<BackendResponse>;

/** Collects a whole body. Errors: `AttemptError`. */
export async function collectBody(answer: BackendResponse): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of answer.body()) parts.push(part);
  return Buffer.concat(parts);
}

/** Returns why an attempt was ended: its own loss, or that of its caller. */
export function abortError({ reason }: AbortSignal): AttemptError {
  return reason instanceof AttemptError
    ? reason
    : new AttemptError(FailureCause.Closed, "caller has gone");
}
