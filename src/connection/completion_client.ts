/** A caller of the system: asks for a completion and keeps what it receives. */

import { type ClientRequest, request } from "node:http";
import { performance } from "node:perf_hooks";
import { createParser } from "eventsource-parser";
import { splitAddress } from "./http_call.ts";

/** What a caller asks for. */
export interface CompletionClientOptions {
  /** IP and port of an entry. */
  readonly address: string;
  /** Bearer key of the customer. */
  readonly key: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly rank?: string;
  /** Cursor of the last event received earlier. */
  readonly lastEventId?: string;
  readonly resumeText?: string;
}

/** How an answer ended. */
export interface CompletionResult {
  readonly status: number;
  /** `done`, the type of an error, or `cut` when the connection closed. */
  readonly outcome: string;
  readonly message: string;
}

/** A streamed answer that grows as its events arrive. */
export class CompletionClient {
  readonly #outgoing: ClientRequest;
  readonly #startMs = performance.now();
  readonly #waiters = new Set<() => void>();
  readonly ended: Promise<CompletionResult>;
  #text = "";
  #cursor = "";
  #eventCount = 0;
  #firstMs = Number.NaN;
  #lastMs = 0;
  readonly #pausesMs: number[] = [];
  #end: CompletionResult | undefined;

  private constructor(ask: CompletionClientOptions) {
    const { host, port } = splitAddress(ask.address);
    const body = JSON.stringify({
      model: ask.service,
      prompt: ask.prompt,
      max_tokens: ask.maxTokens,
      stream: true,
      rank: ask.rank,
      resume_text: ask.resumeText,
    });
    this.#outgoing = request({
      host,
      port,
      method: "POST",
      path: "/v1/completions",
      agent: false,
      headers: {
        authorization: `Bearer ${ask.key}`,
        "content-type": "application/json",
        ...(ask.lastEventId === undefined
          ? {}
          : { "last-event-id": ask.lastEventId }),
      },
    });
    this.ended = this.#read();
    this.#outgoing.end(body);
  }

  /** Sends the request. */
  static create(ask: CompletionClientOptions): CompletionClient {
    return new CompletionClient(ask);
  }

  /** Count of events received. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** The text received so far. */
  get text(): string {
    return this.#text;
  }

  /** Count of tokens received; each begins with a space. */
  get tokenCount(): number {
    return this.#text.split(" ").length - 1;
  }

  /** Cursor of the last event. */
  get cursor(): string {
    return this.#cursor;
  }

  /** Time to the first event, in ms. */
  get firstEventMs(): number {
    return this.#firstMs;
  }

  /** Times between one event and the next, in ms. */
  get eventGapsMs(): readonly number[] {
    return this.#pausesMs;
  }

  /** Longest time between two events, in ms. */
  get longestEventGapMs(): number {
    return Math.max(0, ...this.#pausesMs);
  }

  /** Time from the request to its last event, in ms. */
  get totalMs(): number {
    return this.#lastMs - this.#startMs;
  }

  /** Goes away without waiting for the end. */
  close(): void {
    this.#outgoing.destroy();
  }

  /** Resolves once so many tokens have arrived, or the answer has ended. */
  async waitForTokens(count: number): Promise<void> {
    while (this.tokenCount < count && this.#end === undefined) {
      await new Promise<void>((resolve) => this.#waiters.add(resolve));
    }
  }

  #read(): Promise<CompletionResult> {
    return new Promise((resolve) => {
      let status = 0;
      const finish = (outcome: string, message = "") => {
        if (this.#end !== undefined) return;
        this.#end = { status, outcome, message };
        this.#wake();
        resolve(this.#end);
      };
      const parser = createParser({
        onEvent: ({ event, data, id }) => {
          if (data === "[DONE]") return finish("done");
          const value = JSON.parse(data);
          if (event === "error") {
            return finish(value.error.type, value.error.message);
          }
          this.#take(value.choices[0].text, id ?? "");
        },
      });
      this.#outgoing.once("response", (response) => {
        status = response.statusCode ?? 0;
        response.setEncoding("utf8");
        let body = "";
        response.on("data", (text: string) => {
          if (status === 200) parser.feed(text);
          else body += text;
        });
        response.once("error", () => finish("cut"));
        response.once("close", () => {
          if (status === 200) return finish("cut");
          const { error } = JSON.parse(body);
          finish(error.type, error.message);
        });
      });
      this.#outgoing.on("error", () => finish("cut"));
    });
  }

  #take(text: string, cursor: string): void {
    const now = performance.now();
    if (this.#eventCount === 0) this.#firstMs = now - this.#startMs;
    else this.#pausesMs.push(now - this.#lastMs);
    this.#eventCount++;
    this.#lastMs = now;
    this.#text += text;
    this.#cursor = cursor;
    this.#wake();
  }

  #wake(): void {
    for (const wake of this.#waiters) wake();
    this.#waiters.clear();
  }
}
