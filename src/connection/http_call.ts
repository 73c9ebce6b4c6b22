/** One HTTP call with a time limit, without retries. */

import {
  type Agent,
  type IncomingHttpHeaders,
  type OutgoingHttpHeaders,
  request,
} from "node:http";

/** What is asked of an HTTP server. */
export interface HttpCall {
  /** IP and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  readonly timeoutMs: number;
  /** Keeps connections; without one each call opens its own. */
  readonly agent?: Agent;
  /** Called once the request may have reached the server. */
  readonly onSent?: () => void;
}

/** The whole answer to a call. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/**
 * Makes one call and collects its answer.
 *
 * Errors: rejects when no connection is made, when the connection closes
 * before the answer ends, and when the time limit passes.
 */
export function callHttp(call: HttpCall): Promise<HttpResponse> {
  const { host, port } = splitAddress(call.address);
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host,
      port,
      method: call.method,
      path: call.path,
      headers: call.headers,
      agent: call.agent ?? false,
    });
    const expire = () => {
      outgoing.destroy(new Error(`no answer within ${call.timeoutMs} ms`));
    };
    // An answer that arrived while this process stood still is read first.
    let timer: NodeJS.Timeout | NodeJS.Immediate = setTimeout(() => {
      timer = setImmediate(expire);
    }, call.timeoutMs);
    const stopTimer = () => {
      clearTimeout(timer as NodeJS.Timeout);
      clearImmediate(timer as NodeJS.Immediate);
    };
    const fail = (error: Error) => {
      stopTimer();
      reject(error);
    };
    outgoing.once("error", fail);
    outgoing.once("socket", (socket) => {
      if (!socket.connecting) call.onSent?.();
      else socket.once("connect", () => call.onSent?.());
    });
    outgoing.once("response", (incoming) => {
      const parts: Buffer[] = [];
      incoming.on("data", (part: Buffer) => parts.push(part));
      incoming.once("error", fail);
      incoming.once("end", () => {
        stopTimer();
        if (!incoming.complete) {
          return reject(new Error("connection closed before the answer ended"));
        }
        resolve({
          status: incoming.statusCode ?? 0,
          headers: incoming.headers,
          body: Buffer.concat(parts),
        });
      });
      incoming.once("close", () => {
        if (!incoming.complete) fail(new Error("connection closed early"));
      });
    });
    outgoing.end(call.body);
  });
}

/** Splits `IP:port`. */
export function splitAddress(
  address: string,
): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colon + 1)),
  };
}
