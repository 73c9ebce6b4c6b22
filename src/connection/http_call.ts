/** HTTP calls with a timeout and without retries. */

import {
  type Agent,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request,
} from "node:http";
import { FramingLimit } from "./response_limits.ts";

/** An HTTP call. */
export interface HttpCall {
  /** IP and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  readonly timeoutMs: number;
  /** Reuses connections; without an agent each call opens its own. */
  readonly agent?: Agent;
  /** Called once the request may have reached the server. */
  readonly onSent?: () => void;
}

/** The complete response to a call. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** All values of each header, by name in lower case. */
  readonly headersDistinct: IncomingMessage["headersDistinct"];
  readonly body: Buffer;
}

/**
 * Makes one call and collects its response.
 *
 * Errors: rejects when no connection is established, when the connection closes
 * before the response is complete, and when the timeout expires.
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
      outgoing.destroy(new Error(`no response within ${call.timeoutMs} ms`));
    };
    // If the event loop was blocked past the timeout, a response that arrived
    // meanwhile is read first.
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
    const framing = FramingLimit.create(outgoing, () => {
      outgoing.destroy(new Error("response has too few bytes of content"));
    });
    let response: IncomingMessage | undefined;
    outgoing.on("error", (error) => {
      // Bytes after a complete response are an error too, but not of this call.
      if (response?.complete !== true) fail(error);
    });
    // Also emitted without an error, as when a response switches protocols.
    outgoing.once("close", () => {
      if (response === undefined) {
        fail(new Error("connection closed before a response"));
      }
    });
    outgoing.once("socket", (socket) => {
      if (!socket.connecting) call.onSent?.();
      else socket.once("connect", () => call.onSent?.());
    });
    outgoing.once("response", (incoming) => {
      response = incoming;
      const chunks: Buffer[] = [];
      incoming.on("data", (chunk: Buffer) => {
        framing.addContent(chunk.length);
        chunks.push(chunk);
      });
      incoming.on("error", fail);
      incoming.once("end", () => {
        stopTimer();
        if (!incoming.complete) {
          return reject(
            new Error("connection closed before the response was complete"),
          );
        }
        resolve({
          status: incoming.statusCode ?? 0,
          headers: incoming.headers,
          headersDistinct: incoming.headersDistinct,
          body: Buffer.concat(chunks),
        });
      });
      incoming.once("close", () => {
        fail(new Error("connection closed before the response was complete"));
      });
    });
    outgoing.end(call.body);
  });
}

/** Splits `IP:port`; an IPv6 address may have brackets. */
export function splitAddress(
  address: string,
): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colon + 1)),
  };
}
