/** Writes a completion as server-sent events, at the pace of the caller. */

import type { ServerResponse } from "node:http";
import { RequestError } from "../errors.ts";
import { errorBody } from "./error_response.ts";
import { type ResponseTarget, writeHead } from "./exchange.ts";
import type { CompletionChunk } from "./generation.ts";

/** The fields that all events of a response share. */
export interface SseResponseOptions {
  readonly generation: string;
  /** Name of the service, as the caller requested it. */
  readonly model: string;
}

/** A caller that reads nothing for this long is disconnected, in ms. */
const WRITE_STALL_TIMEOUT_MS = 60_000;

/** One event stream to a caller. */
export class SseResponse {
  readonly #target: ResponseTarget;
  readonly #response: ServerResponse;
  readonly #eventPrefix: string;

  private constructor(target: ResponseTarget, options: SseResponseOptions) {
    this.#target = target;
    this.#response = target.response;
    const fields = JSON.stringify({
      id: options.generation,
      object: "text_completion",
      created: Math.floor(Date.now() / 1_000),
      model: options.model,
    });
    this.#eventPrefix = `\ndata: ${
      fields.slice(0, -1)
    },"choices":[{"index":0,"text":`;
    writeHead(target, {
      status: 200,
      headers: {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        "x-request-id": target.id,
      },
    });
  }

  /** Opens the stream by sending the response headers. */
  static create(
    target: ResponseTarget,
    options: SseResponseOptions,
  ): SseResponse {
    return new SseResponse(target, options);
  }

  /** Writes a chunk, unless the stream has ended; returns a promise to await while the buffer is full. */
  write(
    { text, cursor, finishReason }: CompletionChunk,
  ): Promise<void> | undefined {
    if (this.#response.writableEnded) return undefined;
    const reason = finishReason === undefined ? "null" : `"${finishReason}"`;
    const event = `id: ${cursor}${this.#eventPrefix}${JSON.stringify(text)}` +
      `,"logprobs":null,"finish_reason":${reason}}]}\n\n`;
    if (this.#response.write(event) || this.#response.destroyed) {
      return undefined;
    }
    return waitForDrain(this.#response);
  }

  /** Ends a complete response. */
  close(): void {
    if (this.#response.writableEnded) return;
    this.#response.end("data: [DONE]\n\n");
  }

  /** Ends an incomplete response with an error event. */
  fail(error: RequestError): void {
    if (this.#response.writableEnded) return;
    const body = JSON.stringify(errorBody(error, this.#target.id));
    this.#response.end(`event: error\ndata: ${body}\n\n`);
  }
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => response.destroy(), WRITE_STALL_TIMEOUT_MS);
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
