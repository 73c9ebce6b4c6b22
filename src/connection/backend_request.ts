/** An attempt to serve a request on a backend server, and its response. */

import { AttemptError, FailureCause } from "../errors.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import { ResponseBuffers, ResponseTooLarge } from "./response_buffers.ts";
import type { KvCopy } from "../request/kv_copy_manager.ts";

/** One attempt to serve a request on a server. */
export interface BackendRequest {
  readonly server: RegisteredServer;
  /** Time left for the server's response, in ms. */
  readonly timeoutMs: number;
  /** Id of the last event that the caller received, if any. */
  readonly lastEventId: string | undefined;
  /** KV cache copy on this server from which the run resumes, if any. */
  readonly kvCopy: KvCopy | undefined;
  /** Server that receives a backup of the KV cache as it grows, if any. */
  readonly backupServer: RegisteredServer | undefined;
  /** Aborts the attempt. */
  readonly signal: AbortSignal;
  /** Called once the request may have reached the server. */
  readonly onSent: () => void;
  /**
   * Called when the server asks for a pause, in ms, whether or not its response
   * is valid otherwise.
   */
  readonly onHoldOff: (holdOffMs: number) => void;
}

/** Status and headers that the server sent, without hop-by-hop headers. */
export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values, as on the wire. */
  readonly headers: readonly string[];
  /**
   * Whether a length or a last chunk marks the end of the body; otherwise it
   * ends with its connection, and a truncated one can look complete.
   */
  readonly isFramed: boolean;
}

/** A response that was verified to belong to the request. */
export interface BackendResponse {
  readonly head: ResponseHead;
  /** Whether the server states that it did not and will not run the request. */
  readonly hasNotRun: boolean;
  /** Whether another process now uses the server's address. */
  readonly isMisdirected: boolean;
  /**
   * Whether the server announces that it is leaving; never set on a misdirected
   * request, which another process answered.
   */
  readonly isServerLeaving?: boolean;
  /**
   * Yields the body as it arrives.
   *
   * Errors: `AttemptError` unless the body is complete.
   */
  readonly body: () => AsyncGenerator<Buffer>;
}

/** Sends a request to a server. Errors: `AttemptError`. */
export type BackendSender = (
  attempt: BackendRequest,
) => Promise<BackendResponse>;

/** Collects a complete body within the limits. Errors: `AttemptError`. */
export async function collectBody(
  response: BackendResponse,
  buffers = ResponseBuffers.create(),
): Promise<Buffer> {
  const buffer = buffers.open();
  try {
    for await (const chunk of response.body()) buffer.append(chunk);
    return buffer.take();
  } catch (error) {
    if (!(error instanceof ResponseTooLarge)) throw error;
    throw new AttemptError(FailureCause.Closed, error.message);
  } finally {
    buffer.close();
  }
}

/** Returns an aborted attempt's error: the signal's, or a caller disconnect. */
export function abortError({ reason }: AbortSignal): AttemptError {
  return reason instanceof AttemptError
    ? reason
    : new AttemptError(FailureCause.Closed, "caller disconnected");
}
