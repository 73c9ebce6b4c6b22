/** HTTP calls with a timeout and without retries. */

import { splitAddress } from "./address.ts";
import {
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request,
} from "node:http";
import type { Socket } from "node:net";
import { setImmediate as immediate } from "node:timers/promises";
import { startReadTimer } from "./read_timer.ts";
import { ResponseBuffers } from "./response_buffers.ts";
import { ResponseEnd } from "./response_end.ts";
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
  /** Largest body, in bytes; without it, the limit of `buffers`. */
  readonly bodyMaxBytes?: number;
  /** Limits of the bodies; without them, those that all calls share. */
  readonly buffers?: ResponseBuffers;
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

const SHARED_BUFFERS = ResponseBuffers.create();

/**
 * Makes one call and collects its response.
 *
 * Errors: rejects when no connection is established, when the connection closes
 * before the response is complete, when the response exceeds its limits, and
 * when the timeout expires.
 */
export async function callHttp(call: HttpCall): Promise<HttpResponse> {
  if (call.agent !== undefined) await readIdleConnections();
  return await sendCall(call);
}

/**
 * Waits until the event loop has polled its sockets once, so that a kept
 * connection with unread bytes is ended before it could be used.
 */
async function readIdleConnections(): Promise<void> {
  // The first may run without a poll, after the callbacks of the last one.
  await immediate();
  await immediate();
}

function sendCall(call: HttpCall): Promise<HttpResponse> {
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
    const end = ResponseEnd.watch(outgoing);
    const expire = () => {
      outgoing.destroy(new Error(`no response within ${call.timeoutMs} ms`));
    };
    const stopTimer = startReadTimer(call.timeoutMs, expire);
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
      guardIdleConnection(outgoing, socket);
      if (!socket.connecting) call.onSent?.();
      else socket.once("connect", () => call.onSent?.());
    });
    outgoing.once("response", (incoming) => {
      response = incoming;
      const { buffers = SHARED_BUFFERS } = call;
      const body = buffers.open(call.bodyMaxBytes);
      const collect = (step: () => void) => {
        try {
          step();
        } catch (error) {
          outgoing.destroy();
          fail(error as Error);
        }
      };
      collect(() => body.checkLength(statedLength(call, incoming)));
      incoming.on("data", (chunk: Buffer) => {
        framing.addContent(chunk.length);
        collect(() => body.append(chunk));
      });
      incoming.on("error", fail);
      incoming.once("end", () => {
        stopTimer();
        if (!end.isComplete(incoming)) {
          return reject(
            new Error("connection closed before the response was complete"),
          );
        }
        collect(() => {
          resolve({
            status: incoming.statusCode ?? 0,
            headers: incoming.headers,
            headersDistinct: incoming.headersDistinct,
            body: body.take(),
          });
        });
      });
      incoming.once("close", () => {
        body.close();
        fail(new Error("connection closed before the response was complete"));
      });
    });
    outgoing.end(call.body);
  });
}

/** Ends a kept connection on which bytes arrive while no call waits. */
function guardIdleConnection(outgoing: ClientRequest, socket: Socket): void {
  socket.off("data", endConnection);
  outgoing.once("close", () => {
    if (!socket.destroyed) socket.on("data", endConnection);
  });
}

function endConnection(this: Socket): void {
  this.destroy();
}

/** Returns the length of the body by its headers, in bytes; 0 if unknown. */
function statedLength(
  { method }: HttpCall,
  { headers }: IncomingMessage,
): number {
  return method === "HEAD" ? 0 : Number(headers["content-length"] ?? 0);
}
