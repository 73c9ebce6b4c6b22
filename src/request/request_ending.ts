/**
 * Ends a request whose process ends before its response is complete, with a
 * response that is true at that moment.
 */

import type { ServerResponse } from "node:http";
import { RequestError, RequestErrorType } from "../errors.ts";
import { toNotSent } from "./entry_admission.ts";
import { createShutdownError } from "./shutdown_admission.ts";

/** How a request ends; each step of the request replaces what has changed. */
export interface EndingSteps {
  /** Returns the type of the error that is true now. */
  readonly type: () => RequestErrorType;
  /** Sends the error, or the response if it is known. */
  readonly respond: (error: RequestError) => void;
  /** Stores what became of the request. */
  readonly record: () => Promise<void>;
}

/** How one request ends if the process does. */
export class RequestEnding {
  readonly #response: ServerResponse;
  #hasEnded = false;
  #steps: EndingSteps = {
    type: () => RequestErrorType.NotRun,
    respond: () => this.#response.destroy(),
    record: () => Promise.resolve(),
  };

  private constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Creates the ending of a request that was not sent to a server. */
  static create(response: ServerResponse): RequestEnding {
    return new RequestEnding(response);
  }

  /** Whether `end` has sent a response; nothing else may be sent then. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Replaces steps as the request proceeds. */
  update(steps: Partial<EndingSteps>): void {
    this.#steps = { ...this.#steps, ...steps };
  }

  /**
   * Responds at once unless the response is complete; resolves once what became
   * of the request is stored, or the first attempt at it has failed.
   */
  async end(): Promise<void> {
    if (this.#hasEnded || this.#response.writableEnded) return;
    this.#hasEnded = true;
    const { type, respond, record } = this.#steps;
    respond(createEndError(type()));
    await record();
  }
}

function createEndError(type: RequestErrorType): RequestError {
  if (type === RequestErrorType.NotRun) return createShutdownError();
  if (type === RequestErrorType.NotSent) {
    return toNotSent(createShutdownError());
  }
  return new RequestError(type, "this entry has shut down");
}
