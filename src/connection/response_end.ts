/**
 * Tells whether a response is complete that may end with its connection.
 *
 * A reset that arrives together with the last bytes, or whose error the write of
 * the request has taken, looks like an end in order: Node reports the response
 * as complete. But a connection that was reset no longer has a peer.
 */

import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** What is known of the end of a response. */
export class ResponseEnd {
  #failure: Error | undefined;

  private constructor(outgoing: ClientRequest) {
    outgoing.on("error", (error) => this.#failure ??= error);
    // Node's own listeners of the end may destroy the socket.
    outgoing.once("socket", (socket) => {
      const check = () => this.#check(socket);
      socket.prependOnceListener("end", check);
      outgoing.once("close", () => socket.off("end", check));
    });
  }

  /** Watches a request from its creation on; errors come as early as that. */
  static watch(outgoing: ClientRequest): ResponseEnd {
    return new ResponseEnd(outgoing);
  }

  /** Error of the connection, if there was one. */
  get failure(): Error | undefined {
    return this.#failure;
  }

  /** Whether a response that has ended is complete. */
  isComplete(incoming: IncomingMessage): boolean {
    const mayEndEarly = this.#failure !== undefined && !isFramed(incoming);
    return incoming.complete && !mayEndEarly;
  }

  /** The address of a peer is looked up when it is first read. */
  #check({ remoteAddress }: Socket): void {
    if (remoteAddress !== undefined) return;
    this.#failure ??= new Error("connection was reset");
  }
}

/** Whether a length or a last chunk marks the end of a body. */
export function isFramed({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
