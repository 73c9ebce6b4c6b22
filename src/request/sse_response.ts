/** Writes an answer as server-sent events, no faster than the caller reads. */

import type { ServerResponse } from "node:http";
import { RequestError } from "../errors.ts";
import type { RequestId } from "../ids.ts";
import type { CompletionChunk } from "./generation.ts";
import { errorBody } from "./error_response.ts";

/** What stays the same in all events of an answer. */
export interface SseResponseOptions {
  readonly request: RequestId;
  readonly generation: string;
  /** Name of the service, as the caller asked for it. */
  readonly model: string;
}

/** A caller that reads nothing for so long is cut off, in ms. */
const WRITE_STALL_MS = 60_000;

/** One event stream towards a caller. */
export class SseResponse {
  readonly #response: ServerResponse;
  readonly #before: string;

  private constructor(response: ServerResponse, header: SseResponseOptions) {
    this.#response = response;
    const fields = JSON.stringify({
      id: header.generation,
      object: "text_completion",
      created: Math.floor(Date.now() / 1_000),
      model: header.model,
    });
    this.#before = `\ndata: ${
      fields.slice(0, -1)
    },"choices":[{"index":0,"text":`;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-request-id": header.request,
    });
  }

  /** Opens the stream by sending its headers. */
  static create(
    response: ServerResponse,
    header: SseResponseOptions,
  ): SseResponse {
    return new SseResponse(response, header);
  }

  /** Writes a part; resolves when the caller can take more. */
  write(
    { text, cursor, finishReason: finish }: CompletionChunk,
  ): Promise<void> | undefined {
    const reason = finish === undefined ? "null" : `"${finish}"`;
    const event = `id: ${cursor}${this.#before}${JSON.stringify(text)}` +
      `,"logprobs":null,"finish_reason":${reason}}]}\n\n`;
    if (this.#response.write(event) || this.#response.destroyed) {
      return undefined;
    }
    return waitForDrain(this.#response);
  }

  /** Ends a whole answer. */
  close(): void {
    this.#response.end("data: [DONE]\n\n");
  }

  /** Ends an answer that is not whole. */
  fail(refusal: RequestError, request: RequestId): void {
    const body = JSON.stringify(errorBody(refusal, request));
    this.#response.end(`event: error\ndata: ${body}\n\n`);
  }
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => response.destroy(), WRITE_STALL_MS);
    const settle = () => {
      clearTimeout(timer);
      response.off("drain", settle);
      response.off("close", settle);
      resolve();
    };
    response.on("drain", settle);
    response.on("close", settle);
  });
}
