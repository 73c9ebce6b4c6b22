/** Helpers for Node's HTTP server: request bodies, JSON, listening. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import {
  type AddressInfo,
  createServer,
  type Server as ConnectionServer,
} from "node:net";
import { setImmediate } from "node:timers/promises";
import { RequestError, RequestErrorType } from "../errors.ts";

/**
 * Collects a request's body.
 *
 * Errors: throws a `RequestError` when it exceeds `limitBytes` or ends early.
 */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    // The connection stays, so that the response to a large body arrives.
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      length += (chunk as Buffer).length;
      if (length > limitBytes) break;
      chunks.push(chunk as Buffer);
    }
  } catch {
    throw new RequestError(
      RequestErrorType.InvalidRequest,
      "request body ended early",
    );
  }
  if (length > limitBytes) {
    request.resume();
    // The HTTP parser may be in the middle of what has arrived.
    await setImmediate();
    throw new RequestError(
      RequestErrorType.TooLarge,
      `request body exceeds ${limitBytes} bytes`,
    );
  }
  return Buffer.concat(chunks);
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Starts listening; resolves with the bound port. */
export function listen(
  server: ConnectionServer,
  host: string,
  port: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/**
 * Makes a server serve another address too; resolves with what listens there,
 * which its `close` does not end.
 */
export async function listenAlso(
  server: Server,
  host: string,
  port: number,
): Promise<ConnectionServer> {
  // As Node creates the HTTP server.
  const listener = createServer(
    { allowHalfOpen: true, noDelay: true },
    (socket) => server.emit("connection", socket),
  );
  await listen(listener, host, port);
  return listener;
}
