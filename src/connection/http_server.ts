/** Helpers for Node's HTTP server: request bodies, JSON, listening. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import {
  type AddressInfo,
  createServer,
  type Server as ConnectionServer,
} from "node:net";
import { setImmediate } from "node:timers/promises";
import { BodyPieces } from "./body_pieces.ts";
import type { RequestBody } from "./request_bodies.ts";
import { RequestError, RequestErrorType } from "../errors.ts";

/** Suggested delay before a request that was dropped is repeated, in s. */
const EVICTED_RETRY_AFTER_S = 1;

/**
 * Collects a request's body.
 *
 * Errors: rejects with a `RequestError` when it exceeds `limitBytes`, ends
 * early, or has to be dropped to stay within the limit of all bodies.
 *
 * @param account counts the bytes for that limit; none if absent
 */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
  account?: RequestBody,
): Promise<Buffer> {
  const statedBytes = Number(request.headers["content-length"] ?? 0);
  const body = statedBytes > limitBytes
    ? undefined
    : await collectBody(request, limitBytes, account);
  if (body !== undefined) {
    account?.markComplete();
    return body;
  }
  account?.close();
  request.resume();
  // The HTTP parser may be in the middle of what has arrived.
  await setImmediate();
  throw new RequestError(
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
  account: RequestBody | undefined,
): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const bytes = BodyPieces.create();
    const settle = (end: () => void) => {
      request.off("data", collect);
      end();
    };
    const collect = (chunk: Buffer) => {
      if (bytes.length + chunk.length > limitBytes) {
        return settle(() => resolve(undefined));
      }
      bytes.append(chunk);
      account?.add(chunk.length);
    };
    const endEarly = () =>
      settle(() =>
        reject(
          new RequestError(
            RequestErrorType.InvalidRequest,
            "request body ended early",
          ),
        )
      );
    if (account !== undefined) {
      account.onEvicted = () => {
        bytes.take();
        request.resume();
        settle(() =>
          reject(
            new RequestError(
              RequestErrorType.NotRun,
              "this entry holds too many bytes of requests",
              EVICTED_RETRY_AFTER_S,
            ),
          )
        );
      };
    }
    request.on("data", collect);
    request.once("end", () => settle(() => resolve(bytes.take())));
    request.once("error", endEarly);
    request.once("close", endEarly);
    if (request.readableEnded) settle(() => resolve(bytes.take()));
    else if (request.destroyed) endEarly();
  });
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
