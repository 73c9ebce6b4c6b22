/** Error responses, which all have the same JSON shape. */

import {
  REQUEST_ERROR_STATUS,
  RequestError,
  RequestErrorType,
} from "../errors.ts";
import type { RequestId } from "../ids.ts";
import { respondJson, type ResponseTarget } from "./exchange.ts";

/** Body of an error response. */
export interface ErrorBody {
  readonly error: {
    readonly type: RequestErrorType;
    readonly message: string;
    readonly request: RequestId;
  };
}

/** Returns the response body that reports an error to a caller. */
export function errorBody(
  error: RequestError,
  request: RequestId,
): ErrorBody {
  const { type, message } = error;
  return { error: { type, message, request } };
}

/** Sends an error response; destroys a response that has already begun. */
export function sendErrorResponse(
  target: ResponseTarget,
  error: RequestError,
): void {
  const { id, response } = target;
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  response.setHeader("x-request-id", id);
  if (error.retryAfterS !== undefined) {
    response.setHeader("retry-after", error.retryAfterS);
  }
  const isBodyUnread = error.type === RequestErrorType.TooLarge &&
    !response.req.complete;
  if (isBodyUnread && target.decideClose(true)) {
    response.setHeader("connection", "close");
  }
  respondJson(target, {
    status: REQUEST_ERROR_STATUS[error.type],
    value: errorBody(error, id),
  });
}
