/** Helpers for Node's HTTP server: request bodies, JSON, listening. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import {
  type AddressInfo,
  createServer,
  type Server as ConnectionServer,
} from "node:net";
import { setImmediate } from "node:timers/promises";
import { BodyBuffer, freeBody } from "./body_buffer.ts";
import type { HeldRequest } from "./caller_load.ts";
import { RequestError, RequestErrorType } from "../errors.ts";
import { HOLDS_TOO_MUCH } from "./response_writer.ts";

/** Suggested delay before a request that was dropped is repeated, in s. */
const HELD_RETRY_AFTER_S = 1;

/**
 * Collects a request's body.
 *
 * Errors: rejects with a `RequestError` when it exceeds `limitBytes`, ends
 * early, or has to be dropped to stay within the limit of all bodies.
 *
 * @param held counts the bytes for that limit; none if absent
 */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
  held?: HeldRequest,
): Promise<Buffer> {
  const statedBytes = Number(request.headers["content-length"] ?? 0);
  const body = statedBytes > limitBytes
    ? undefined
    : await collectBody(request, limitBytes, held);
  if (body !== undefined) return body;
  request.resume();
  // The HTTP parser may be in the middle of what has arrived.
  await setImmediate();
  throw createTooLarge(limitBytes);
}

/** Errors: `RequestError` if a body was collected that exceeds its limit. */
export function checkBodyLength(
  body: Buffer,
  limitBytes = Number.POSITIVE_INFINITY,
): void {
  if (body.length <= limitBytes) return;
  freeBody(body);
  throw createTooLarge(limitBytes);
}

function createTooLarge(limitBytes: number): RequestError {
  return new RequestError(
    RequestErrorType.TooLarge,
    `request body exceeds ${limitBytes} bytes`,
  );
}

/**
 * Resolves with the body, or with `undefined` once it is too large; the
 * connection stays, so that a response to it arrives.
 */
function collectBody(
  request: IncomingMessage,
  limitBytes: number,
  held: HeldRequest | undefined,
): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const bytes = BodyBuffer.create(limitBytes);
    const settle = (end: () => void) => {
      // They would keep the body for as long as the request.
      request.off("data", collect);
      request.off("end", finish);
      request.off("error", endEarly);
      request.off("close", endEarly);
      if (held !== undefined) {
        held.onYield = undefined;
        held.onClosed = undefined;
      }
      end();
    };
    const drop = () => {
      bytes.drop();
      held?.drop();
    };
    const collect = (chunk: Buffer) => {
      if (bytes.length + chunk.length > limitBytes) {
        drop();
        return settle(() => resolve(undefined));
      }
      bytes.append(chunk);
      held?.add(chunk.length);
    };
    const finish = () => settle(() => resolve(bytes.take()));
    const endEarly = () => {
      drop();
      settle(() =>
        reject(
          new RequestError(
            RequestErrorType.InvalidRequest,
            "request body ended early",
          ),
        )
      );
    };
    if (held !== undefined) {
      // Node reports no close of a request that was answered before its end.
      held.onClosed = endEarly;
      held.onYield = () => {
        drop();
        request.resume();
        settle(() => reject(createHeldRefusal()));
      };
    }
    request.on("data", collect);
    request.once("end", finish);
    request.once("error", endEarly);
    request.once("close", endEarly);
    if (request.readableEnded) finish();
    else if (request.destroyed) endEarly();
  });
}

/** Returns the refusal of a request that is dropped to stay within a limit. */
export function createHeldRefusal(): RequestError {
  return new RequestError(
    RequestErrorType.NotRun,
    HOLDS_TOO_MUCH.message,
    HELD_RETRY_AFTER_S,
  );
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
