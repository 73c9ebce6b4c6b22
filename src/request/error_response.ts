/** The one JSON shape of all error answers. */

import type { ServerResponse } from "node:http";
import { sendJson } from "../connection/http_server.ts";
import {
  REQUEST_ERROR_STATUS,
  RequestError,
  RequestErrorType,
} from "../errors.ts";
import type { RequestId } from "../ids.ts";

/** Body of an error answer. */
export interface ErrorBody {
  readonly error: {
    readonly type: RequestErrorType;
    readonly message: string;
    readonly request: RequestId;
  };
}

/** Returns the body that tells a caller of a refusal. */
export function errorBody(
  refusal: RequestError,
  request: RequestId,
): ErrorBody {
  const { type, message } = refusal;
  return { error: { type, message, request } };
}

/** Answers a request with a refusal. */
export function sendErrorResponse(
  response: ServerResponse,
  refusal: RequestError,
  request: RequestId,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  response.setHeader("x-request-id", request);
  if (refusal.retryAfterS !== undefined) {
    response.setHeader("retry-after", refusal.retryAfterS);
  }
  if (refusal.type === RequestErrorType.TooLarge) {
    response.setHeader("connection", "close");
  }
  sendJson(
    response,
    REQUEST_ERROR_STATUS[refusal.type],
    errorBody(refusal, request),
  );
}
